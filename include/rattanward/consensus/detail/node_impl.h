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

/// @brief State of a node; its members are grouped into a file per concern.
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
  /// A snapshot on its way to a member.
  struct SnapshotTransfer {
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t offset = 0;
    /// The chunk at offset is to be sent.
    bool chunk_due = true;
  };
  /// What a leader keeps of another member.
  struct Peer {
    LogIndex match = 0;
    LogIndex next = 1;
    /// A position is sought at which both logs agree; one request at a time.
    bool probing = false;
    bool probe_sent = false;
    bool heartbeat_due = true;
    std::uint64_t acked_round = 0;
    std::optional<TimePoint> acked_sent_at;
    std::optional<SnapshotTransfer> transfer;
  };
  struct HeartbeatRound {
    std::uint64_t number = 0;
    TimePoint sent_at;
  };
  struct PendingRead {
    ReadId id = 0;
    LogIndex index = 0;
    std::uint64_t round = 0;
  };
  /// A snapshot that arrives in chunks.
  struct IncomingSnapshot {
    LogPosition last;
    std::string data;
  };

  // Node: time, terms and output.
  void AdvanceTime(TimePoint now);
  void BecomeFollower(Term term, const VoterId& leader);
  void ResetElectionDeadline();
  void Send(const VoterId& to, MessageBody body);
  void AppendLocal(EntryType type, std::string payload);
  std::size_t CountVoters(const std::set<VoterId>& ids) const;
  void TakeCommitted(Output* out);
  void TakeRoleChange(Output* out);

  // Elections.
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void RequestVotes(bool pre_vote);
  bool HasRecentLeaderContact() const;
  void HandleVoteRequest(const Message& message, const VoteRequest& request);
  void HandleVoteResponse(const Message& message, const VoteResponse& response);

  // Replication, the leader's side.
  void UpdatePeers();
  void Replicate(const VoterId& to, Peer* peer);
  void SendAppend(const VoterId& to, Peer* peer);
  void SendHeartbeat(const VoterId& to, Peer* peer);
  void SendSnapshotChunk(const VoterId& to, Peer* peer);
  void HandleAppendResponse(const Message& message,
                            const AppendResponse& response);
  void HandleSnapshotResponse(const Message& message,
                              const SnapshotResponse& response);
  void AdvanceCommit();

  // Replication, the follower's side.
  void HandleAppend(const Message& message, const AppendRequest& request);
  std::optional<LogIndex> ConflictRetryIndex(
      const AppendRequest& request) const;
  bool AppendEntries(const AppendRequest& request);
  void HandleSnapshotChunk(const Message& message, const SnapshotChunk& chunk);
  void InstallSnapshot(const SnapshotChunk& last_chunk);

  // Heartbeat rounds, lease and reads.
  void StartHeartbeatRound();
  void AcknowledgeRound(Peer* peer, std::uint64_t round);
  void ConfirmRounds();
  void TakeConfirmedReads(Output* out);
  void FailReads();

  // Membership.
  Result<Membership> MembershipAfter(const MembershipChange& change) const;
  Status CheckChange(const MembershipChange& change,
                     const Membership& changed) const;
  bool IsActive(const VoterId& id, TimePoint now) const;

  VoterId id_;
  NodeOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;

  HardState hard_state_;
  detail::Log log_;
  LogIndex commit_index_ = 0;
  /// Last committed entry that TakeOutput has handed out.
  LogIndex last_emitted_ = 0;
  /// First entry that TakeOutput has not handed out for the disk.
  LogIndex first_unsaved_ = 1;

  Role role_ = Role::kFollower;
  VoterId leader_;
  TimePoint election_deadline_;
  TimePoint last_leader_contact_;
  std::set<VoterId> votes_;
  std::optional<IncomingSnapshot> incoming_snapshot_;

  std::map<VoterId, Peer> peers_;
  LogIndex term_start_index_ = 0;
  TimePoint last_round_sent_at_;
  std::uint64_t current_round_ = 0;
  /// Rounds sent within the election timeout, oldest first.
  std::deque<HeartbeatRound> rounds_;
  std::uint64_t confirmed_round_ = 0;
  /// When the newest round that a quorum acknowledged was sent; the time of
  /// the election until there is one.
  TimePoint confirmed_round_sent_at_;
  bool read_round_due_ = false;
  std::vector<PendingRead> pending_reads_;

  RoleChange reported_role_;
  Output pending_output_;
};

}  // namespace rattanward::consensus
