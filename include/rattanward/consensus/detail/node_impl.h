#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rattanward/consensus/detail/log.h"
#include "rattanward/consensus/node.h"

namespace rattanward::consensus {

/// @brief Implementation of Node.
/// @note The definitions are split over the node*.cc files by concern.
class Node::Impl {
 public:
  Impl(VoterId id, NodeOptions options, PersistedState state, TimePoint now);

  void Tick(TimePoint now);
  void Receive(const Message& message, TimePoint now);
  Result<LogPosition> Propose(std::string payload, TimePoint now);
  Status Read(ReadId id, TimePoint now);
  Result<LogPosition> ChangeMembership(const MembershipChange& change,
                                       TimePoint now);
  void Compact(LogIndex applied, std::string state);
  Output TakeOutput();

  const VoterId& id() const { return id_; }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const VoterId& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_index_; }
  const detail::Log& log() const { return log_; }
  bool membership_committed() const {
    return log_.membership_index() <= commit_index_;
  }
  bool HoldsLease(TimePoint now) const;
  std::vector<MemberProgress> Progress(TimePoint now) const;

 private:
  /// Snapshot that the leader is sending to a member in chunks.
  struct SnapshotTransfer {
    std::shared_ptr<const Snapshot> snapshot;
    /// Offset of the current chunk within the state, in bytes.
    std::uint64_t offset = 0;
    /// The chunk at `offset` has not been sent yet.
    bool chunk_due = true;
  };
  /// Replication state that the leader keeps for each other member.
  struct Peer {
    /// Highest index known to match the leader's log on the member's disk.
    LogIndex match = 0;
    /// Index of the next entry to send.
    LogIndex next = 1;
    /// The leader is searching for the last position at which both logs match.
    /// Only one request is in flight meanwhile.
    bool probing = false;
    bool probe_sent = false;
    bool heartbeat_due = true;
    /// Latest heartbeat round that the member acknowledged, and when that round
    /// was sent.
    std::uint64_t acked_round = 0;
    std::optional<TimePoint> acked_sent_at;
    /// Set while the member needs a snapshot instead of entries.
    std::optional<SnapshotTransfer> transfer;
  };
  /// Heartbeat sent to all peers. Rounds are numbered consecutively.
  struct HeartbeatRound {
    std::uint64_t number = 0;
    TimePoint sent_at;
  };
  struct PendingRead {
    ReadId id = 0;
    /// The state machine must have applied this index before the read.
    LogIndex index = 0;
    /// A quorum must acknowledge this round, which starts after the request.
    std::uint64_t round = 0;
  };
  /// Snapshot that a follower is receiving in chunks.
  struct IncomingSnapshot {
    LogPosition last;
    std::string data;
  };

  // Time, terms and output of the node.
  /// Sets the current time. A leader steps down if no quorum acknowledged a
  /// heartbeat round that was sent within the election timeout.
  void AdvanceTime(TimePoint now);
  /// Becomes a follower of `leader`, which is empty if unknown, and adopts
  /// `term` if it is higher than the current one.
  void BecomeFollower(Term term, const VoterId& leader);
  void ResetElectionDeadline();
  void Send(const VoterId& to, MessageBody body);
  /// Appends a new entry of the current term to the leader's own log.
  void AppendLocal(EntryType type, std::string payload);
  /// Number of the given ids that are voters in the latest membership.
  std::size_t CountVoters(const std::set<VoterId>& ids) const;
  /// Moves newly committed entries to the output.
  void TakeCommitted(Output* out);
  /// Reports the role, term and leader if any of them has changed.
  void TakeRoleChange(Output* out);

  // Elections.
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void RequestVotes(bool pre_vote);
  /// Whether votes must be refused because a leader may hold a lease.
  bool HasRecentLeaderContact() const;
  void HandleVoteRequest(const Message& message, const VoteRequest& request);
  void HandleVoteResponse(const Message& message, const VoteResponse& response);

  // Replication, leader.
  /// Adds and removes peers to match the latest membership.
  void UpdatePeers();
  /// Sends entries, a probe, a snapshot chunk or a heartbeat, as needed.
  void Replicate(const VoterId& to, Peer* peer);
  void SendAppend(const VoterId& to, Peer* peer);
  void SendHeartbeat(const VoterId& to, Peer* peer);
  void SendSnapshotChunk(const VoterId& to, Peer* peer);
  void HandleAppendResponse(const Message& message,
                            const AppendResponse& response);
  void HandleSnapshotResponse(const Message& message,
                              const SnapshotResponse& response);
  /// Commits the entries that a quorum has on disk. The leader's own entries
  /// count before they are synced, because the caller syncs each Output before
  /// it applies the committed entries.
  void AdvanceCommit();

  // Replication, follower.
  void HandleAppend(const Message& message, const AppendRequest& request);
  /// Returns the index with which the leader should retry if the log does not
  /// contain `request.previous`, or std::nullopt if it does.
  std::optional<LogIndex> ConflictRetryIndex(
      const AppendRequest& request) const;
  /// Appends missing entries and replaces conflicting ones. Returns false if
  /// the entries would leave a gap.
  bool AppendEntries(const AppendRequest& request);
  void HandleSnapshotChunk(const Message& message, const SnapshotChunk& chunk);
  void InstallSnapshot(const SnapshotChunk& last_chunk);

  // Heartbeat rounds, lease and reads.
  void StartHeartbeatRound();
  void AcknowledgeRound(Peer* peer, std::uint64_t round);
  /// Updates the latest round that a quorum acknowledged.
  void ConfirmRounds();
  void TakeConfirmedReads(Output* out);
  void FailReads();

  // Membership.
  Result<Membership> MembershipAfter(const MembershipChange& change) const;
  Status CheckChange(const MembershipChange& change,
                     const Membership& changed) const;
  /// See MemberProgress::active.
  bool IsActive(const VoterId& id, TimePoint now) const;

  VoterId id_;
  NodeOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;

  HardState hard_state_;
  detail::Log log_;
  LogIndex commit_index_ = 0;
  /// Last entry that TakeOutput() returned as committed or a snapshot covers.
  LogIndex last_emitted_ = 0;
  /// First entry that TakeOutput() has not yet returned for writing to disk.
  LogIndex first_unsaved_ = 1;

  Role role_ = Role::kFollower;
  VoterId leader_;
  TimePoint election_deadline_;
  /// Last contact from a leader; the start time until there is one.
  TimePoint last_leader_contact_;
  /// Votes or pre-votes received in the current election.
  std::set<VoterId> votes_;
  std::optional<IncomingSnapshot> incoming_snapshot_;

  // State of a leader.
  std::map<VoterId, Peer> peers_;
  /// Index of the no-op entry with which this leader's term starts.
  LogIndex term_start_index_ = 0;
  TimePoint last_round_sent_at_;
  /// Number of the latest heartbeat round.
  std::uint64_t current_round_ = 0;
  /// Rounds sent within the election timeout, oldest first.
  std::deque<HeartbeatRound> rounds_;
  /// Latest round that a quorum acknowledged.
  std::uint64_t confirmed_round_ = 0;
  /// When that round was sent; the time of the election until this leader has
  /// a confirmed round.
  TimePoint confirmed_round_sent_at_;
  /// A pending read needs a new heartbeat round.
  bool read_round_due_ = false;
  std::vector<PendingRead> pending_reads_;

  /// Last state reported in Output::role_change.
  RoleChange reported_role_;
  /// Actions collected for the next TakeOutput().
  Output pending_output_;
};

}  // namespace rattanward::consensus
