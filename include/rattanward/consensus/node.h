#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/consensus/message.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::consensus {

/// @brief Timing and batching parameters of a node.
struct NodeOptions {
  /// Interval between two heartbeat rounds of a leader.
  Duration heartbeat{std::chrono::milliseconds(100)};
  /// Minimum time without contact from a leader before an election starts. Each
  /// wait is drawn at random between this and twice this.
  Duration election_timeout{std::chrono::milliseconds(1000)};
  /// Duration of the leader lease. It starts when the latest heartbeat round
  /// that a quorum acknowledged was sent. Must be less than election_timeout.
  Duration lease{std::chrono::milliseconds(700)};
  /// Maximum payload of all entries in one AppendRequest, in bytes. A single
  /// larger entry is still sent.
  std::size_t max_append_bytes = 256U << 10U;
  /// Maximum state in one SnapshotChunk, in bytes.
  std::size_t max_chunk_bytes = 256U << 10U;
  /// Maximum unacknowledged entries in flight to one member.
  std::uint64_t max_inflight_entries = 4096;
  /// Entries covered by the snapshot that stay in memory, so that a member that
  /// is slightly behind doesn't need the whole snapshot.
  std::uint64_t trailing_entries = 256;
  /// Seed of the random election timeouts.
  std::uint64_t seed = 1;

  friend bool operator==(const NodeOptions&, const NodeOptions&) = default;
};

/// @brief Current role of a node in an election term.
enum class Role : std::uint8_t {
  kFollower,
  /// Asks whether an election would succeed, without raising its term.
  kPreCandidate,
  kCandidate,
  kLeader
};

/// @brief Identifier of a read request, chosen by the caller of Node::Read().
using ReadId = std::uint64_t;

/// @brief Read that may be served once the state machine has applied `index`.
struct ConfirmedRead {
  ReadId id = 0;
  LogIndex index = 0;

  friend bool operator==(const ConfirmedRead&, const ConfirmedRead&) = default;
};

/// @brief State of a node after a change of its role, term or known leader.
struct RoleChange {
  Role role = Role::kFollower;
  Term term = 0;
  /// Leader of the term; empty if unknown.
  VoterId leader;

  friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

/// @brief Actions that the caller must carry out for a node.
/// @note Write and sync hard_state, snapshot and entries first. Only then send
/// messages, apply committed entries and answer reads. Otherwise a crash could
/// take back a vote or an acknowledgement that another member relied on.
struct Output {
  std::optional<HardState> hard_state;
  /// Replaces the stored snapshot and the entries up to it. Later stored
  /// entries are kept unless discard_log is set.
  std::optional<Snapshot> snapshot;
  /// Set if the snapshot came from the leader. Discard all stored entries, and
  /// restore the state machine from the snapshot before applying `committed`.
  bool discard_log = false;
  /// Entries to store; they replace all stored entries from
  /// entries.front().index onwards.
  std::vector<Entry> entries;
  std::vector<Message> messages;
  /// Newly committed entries to apply, in log order, each exactly once.
  std::vector<Entry> committed;
  std::vector<ConfirmedRead> reads;
  /// Reads that can't be confirmed because this node lost leadership; retry at
  /// the new leader.
  std::vector<ReadId> failed_reads;
  std::optional<RoleChange> role_change;

  /// @brief Whether there is anything to write and sync.
  bool NeedsSync() const {
    return hard_state.has_value() || snapshot.has_value() || !entries.empty();
  }
  friend bool operator==(const Output&, const Output&) = default;
};

/// @brief Change of a single member of the replication group.
struct MembershipChange {
  enum class Kind : std::uint8_t {
    /// Adds a learner, or updates the endpoint if the id is already a member.
    kAddLearner,
    /// Makes a learner a voter once it has all committed entries.
    kPromote,
    /// Removes a learner or voter.
    kRemove,
  };
  Kind kind = Kind::kAddLearner;
  VoterId id;
  /// Used by kAddLearner only.
  Endpoint endpoint;

  friend bool operator==(const MembershipChange&,
                         const MembershipChange&) = default;
};

/// @brief Replication progress of a member, as known to the leader.
struct MemberProgress {
  Member member;
  /// Index up to which the member has the leader's log synced to disk.
  LogIndex match = 0;
  /// Whether the member acknowledged a heartbeat round that was sent within the
  /// last election timeout.
  bool active = false;

  friend bool operator==(const MemberProgress&,
                         const MemberProgress&) = default;
};

/// @brief Raft state machine of one member, without I/O.
/// @note After passing inputs, call TakeOutput() and carry out its actions
/// before passing the next input. Several inputs before one TakeOutput() share
/// one disk sync. The times passed to successive calls must not decrease.
class Node {
 public:
  /// @brief Restores a node from its data folder.
  /// @param id Random id of the data folder.
  /// @param options Timing and batching parameters.
  /// @param state Contents of the data folder. Empty for a new folder; the node
  /// then waits until a leader adds it as a member.
  /// @param now Start time. The node grants no votes for one election timeout
  /// after it, because it may have acknowledged a leader's lease before it
  /// stopped.
  Node(VoterId id, NodeOptions options, PersistedState state, TimePoint now);
  ~Node();
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;

  /// @brief Sends heartbeats and starts elections when they are due.
  /// @note Call at least twice per heartbeat interval.
  void Tick(TimePoint now);

  /// @brief Processes a message from another member.
  void Receive(const Message& message, TimePoint now);

  /// @brief Appends a command to the log.
  /// @return Position of the command. The command is committed once
  /// Output::committed contains an entry with this index and term. If the entry
  /// at this index has another term, the command will never be committed.
  /// Errors: kNotLeader; kFrameTooLarge if larger than kMaxPayloadBytes.
  Result<LogPosition> Propose(std::string payload, TimePoint now);

  /// @brief Requests a linearizable read. Its id is later reported in
  /// Output::reads or Output::failed_reads.
  /// Errors: kNotLeader.
  Status Read(ReadId id, TimePoint now);

  /// @brief Appends a membership change to the log.
  /// @return Position of the change.
  /// Errors: kNotLeader; kVoterChangePending if another change is uncommitted
  /// or no entry of the current term is committed yet; kUnknownVoter if a
  /// member to promote or remove doesn't exist; kLearnerBehind if the learner
  /// to promote lacks committed entries or is inactive; kLastVoter if no voter
  /// would remain; kNoQuorum if the active voters would not form a quorum after
  /// the change.
  Result<LogPosition> ChangeMembership(const MembershipChange& change,
                                       TimePoint now);

  /// @brief Replaces the log up to an applied entry with a snapshot.
  /// @param applied Index of the last entry included in the state.
  /// @param state Encoded state machine state.
  /// @note Does nothing if the current snapshot is at least as new, or if
  /// TakeOutput() has not yet returned the entry as committed.
  void Compact(LogIndex applied, std::string state);

  /// @brief Returns the actions accumulated since the last call.
  Output TakeOutput();

  const VoterId& id() const;
  Role role() const;
  Term term() const;
  /// @brief Leader of the current term; empty if unknown.
  const VoterId& leader() const;
  /// @brief Endpoint of the leader; std::nullopt if unknown.
  std::optional<Endpoint> leader_endpoint() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  /// @brief Index of the last entry included in the snapshot.
  LogIndex snapshot_index() const;
  /// @brief Latest membership in the log, committed or not.
  const Membership& membership() const;
  /// @brief Whether the latest membership is committed.
  bool membership_committed() const;

  /// @brief Whether this node is a leader with a valid lease.
  /// @note For status and for rejecting requests early. Linearizable reads need
  /// Read(), which is correct even if clocks run at different rates.
  bool HoldsLease(TimePoint now) const;

  /// @brief Progress of all members, this node last; empty unless leader.
  std::vector<MemberProgress> Progress(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::consensus
