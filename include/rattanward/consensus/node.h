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

/// @brief Timing and batching of a node.
struct NodeOptions {
  /// Time between two heartbeats of a leader.
  Duration heartbeat{std::chrono::milliseconds(100)};
  /// Silence of the leader after which an election may start; each wait is
  /// drawn between this and twice this.
  Duration election_timeout{std::chrono::milliseconds(1000)};
  /// How long after its sending a heartbeat that a quorum acknowledged still
  /// confirms the leader; less than election_timeout.
  Duration lease{std::chrono::milliseconds(700)};
  /// Entries of one AppendRequest, in bytes of payload.
  std::size_t max_append_bytes = 256U << 10U;
  /// State in one SnapshotChunk, in bytes.
  std::size_t max_chunk_bytes = 256U << 10U;
  /// Unacknowledged entries of one member before the leader waits.
  std::uint64_t max_inflight_entries = 4096;
  /// Entries kept in memory behind a snapshot, for members a little behind.
  std::uint64_t trailing_entries = 256;
  /// Seed of the election timeouts.
  std::uint64_t seed = 1;

  friend bool operator==(const NodeOptions&, const NodeOptions&) = default;
};

/// @brief What a node currently does.
enum class Role : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// @brief Number of a read request, chosen by the caller of Read().
using ReadId = std::uint64_t;

/// @brief A read that may be served once the state has applied the index.
struct ConfirmedRead {
  ReadId id = 0;
  LogIndex index = 0;

  friend bool operator==(const ConfirmedRead&, const ConfirmedRead&) = default;
};

/// @brief A change of role, term or known leader.
struct RoleChange {
  Role role = Role::kFollower;
  Term term = 0;
  /// Empty if unknown.
  VoterId leader;

  friend bool operator==(const RoleChange&, const RoleChange&) = default;
};

/// @brief Everything a node wants done, in the order of its fields.
/// @note First hard_state, snapshot and entries go to disk and are synced; only
/// then messages leave, committed entries are applied and reads are answered.
struct Output {
  std::optional<HardState> hard_state;
  /// Replaces the snapshot and every entry up to it; entries behind it stay
  /// only if discard_log is not set.
  std::optional<Snapshot> snapshot;
  /// The snapshot came from the leader: the log on disk is void, and the state
  /// machine is replaced by the snapshot's state before committed is applied.
  bool discard_log = false;
  /// Replace every entry on disk from entries.front().index on.
  std::vector<Entry> entries;
  std::vector<Message> messages;
  /// Newly committed, in order, each exactly once.
  std::vector<Entry> committed;
  std::vector<ConfirmedRead> reads;
  /// Reads that this node can't confirm any more; ask the leader.
  std::vector<ReadId> failed_reads;
  std::optional<RoleChange> role_change;

  /// @brief Whether something must reach the disk before the rest.
  bool NeedsSync() const {
    return hard_state.has_value() || snapshot.has_value() || !entries.empty();
  }
  friend bool operator==(const Output&, const Output&) = default;
};

/// @brief One step of changing who is a member.
struct MembershipChange {
  enum class Kind : std::uint8_t {
    /// Adds a learner; of a present member, only the endpoint changes.
    kAddLearner,
    /// Makes a caught-up learner a voter.
    kPromote,
    /// Removes a learner or voter.
    kRemove,
  };
  Kind kind = Kind::kAddLearner;
  VoterId id;
  /// For kAddLearner only.
  Endpoint endpoint;

  friend bool operator==(const MembershipChange&,
                         const MembershipChange&) = default;
};

/// @brief What a leader knows of one member.
struct MemberProgress {
  Member member;
  /// The member's disk holds the leader's log up to here.
  LogIndex match = 0;
  /// Answered a heartbeat that was sent within the election timeout.
  bool active = false;

  friend bool operator==(const MemberProgress&,
                         const MemberProgress&) = default;
};

/// @brief One member of a replicated log, without I/O.
/// @note Feed it inputs, then call TakeOutput() and do what it says before the
/// next input. Many inputs before one TakeOutput() share one disk sync. Time
/// never goes back between calls.
class Node {
 public:
  /// @param id The random id of the data folder.
  /// @param options Timing and batching.
  /// @param state What the data folder holds; empty for a new folder, which
  /// then waits until a leader adds it.
  /// @param now The time of the start; no vote is given within the election
  /// timeout after it, since this node may have acknowledged a lease.
  Node(VoterId id, NodeOptions options, PersistedState state, TimePoint now);
  ~Node();
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;

  /// @brief Lets time pass; call it at least twice a heartbeat.
  void Tick(TimePoint now);

  /// @brief Takes a message from another member.
  void Receive(const Message& message, TimePoint now);

  /// @brief Appends a command.
  /// @return Where the command stands. It is committed when an entry of this
  /// index and term comes out; another term there means that it never will.
  /// Errors: kNotLeader; kFrameTooLarge over kMaxPayloadBytes.
  Result<LogPosition> Propose(std::string payload, TimePoint now);

  /// @brief Asks for a linearizable read; ends in reads or failed_reads.
  /// Errors: kNotLeader.
  Status Read(ReadId id, TimePoint now);

  /// @brief Appends a change of membership.
  /// @return Where the change stands.
  /// Errors: kNotLeader; kVoterChangePending while another is uncommitted or
  /// the term has no committed entry yet; kUnknownVoter; kLearnerBehind;
  /// kLastVoter; kNoQuorum if the active voters would be no quorum afterwards.
  Result<LogPosition> ChangeMembership(const MembershipChange& change,
                                       TimePoint now);

  /// @brief Replaces the log up to an applied entry by a snapshot.
  /// @param applied Index of the last entry that the state includes.
  /// @param state The encoded state machine.
  /// @note Does nothing if a snapshot is as new, or the index not committed.
  void Compact(LogIndex applied, std::string state);

  /// @brief Everything to be done since the last call.
  Output TakeOutput();

  const VoterId& id() const;
  Role role() const;
  Term term() const;
  /// @brief The leader of the term; empty if unknown.
  const VoterId& leader() const;
  /// @brief Where the leader is reached; none if unknown.
  std::optional<Endpoint> leader_endpoint() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  /// @brief Index of the snapshot that the log starts after.
  LogIndex snapshot_index() const;
  /// @brief The newest membership in the log, committed or not.
  const Membership& membership() const;
  /// @brief Whether the newest membership is committed.
  bool membership_committed() const;

  /// @brief Whether a quorum has confirmed this leader within its lease.
  /// @note For status only; reads go by Read().
  bool HoldsLease(TimePoint now) const;

  /// @brief Progress of every member, itself included; empty if not leader.
  std::vector<MemberProgress> Progress(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::consensus
