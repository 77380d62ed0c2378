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
  Result<LogPosition> Change(const MembershipChange& change, TimePoint now);
  void Compact(LogIndex applied, std::string state);
  Output TakeOutput();

  const VoterId& id() const { return id_; }
  Role role() const { return role_; }
  Term term() const { return hard_state_.term; }
  const VoterId& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  const detail::Log& log() const { return log_; }
  bool membership_committed() const {
    return log_.membership_index() <= commit_;
  }
  bool HoldsLease(TimePoint now) const;
  std::vector<MemberProgress> Progress(TimePoint now) const;

 private:
  /// A snapshot on its way to a member.
  struct Transfer {
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t offset = 0;
    /// The chunk at offset is to be sent.
    bool due = true;
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
    std::optional<Transfer> transfer;
  };
  struct Round {
    std::uint64_t number = 0;
    TimePoint sent_at;
  };
  struct PendingRead {
    ReadId id = 0;
    LogIndex index = 0;
    std::uint64_t round = 0;
  };
  /// A snapshot that arrives in chunks.
  struct Incoming {
    LogPosition last;
    std::string data;
  };

  // Node: time, terms and output.
  void Advance(TimePoint now);
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
  bool HeardFromLeader() const;
  void HandleVoteRequest(const Message& message, const VoteRequest& request);
  void HandleVoteAnswer(const Message& message, const VoteAnswer& answer);

  // Replication, the leader's side.
  void SyncPeers();
  void Replicate(const VoterId& to, Peer* peer);
  void SendAppend(const VoterId& to, Peer* peer);
  void SendHeartbeat(const VoterId& to, Peer* peer);
  void SendChunk(const VoterId& to, Peer* peer);
  void HandleAppendAnswer(const Message& message, const AppendAnswer& answer);
  void HandleSnapshotAnswer(const Message& message,
                            const SnapshotAnswer& answer);
  void AdvanceCommit();

  // Replication, the follower's side.
  void HandleAppend(const Message& message, const AppendRequest& request);
  std::optional<LogIndex> Conflict(const AppendRequest& request) const;
  bool AppendEntries(const AppendRequest& request);
  void HandleChunk(const Message& message, const SnapshotChunk& chunk);
  void Install(const SnapshotChunk& last_chunk);

  // Heartbeat rounds, lease and reads.
  void StartRound();
  void AcknowledgeRound(Peer* peer, std::uint64_t round);
  void ConfirmRounds();
  void TakeReads(Output* out);
  void FailReads();

  // Membership.
  Result<Membership> Changed(const MembershipChange& change) const;
  Status CheckChange(const MembershipChange& change,
                     const Membership& changed) const;
  bool Active(const VoterId& id, TimePoint now) const;

  VoterId id_;
  NodeOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;

  HardState hard_state_;
  detail::Log log_;
  LogIndex commit_ = 0;
  /// Last committed entry that TakeOutput has handed out.
  LogIndex emitted_ = 0;
  /// First entry that TakeOutput has not handed out for the disk.
  LogIndex unsaved_ = 1;

  Role role_ = Role::kFollower;
  VoterId leader_;
  TimePoint election_deadline_;
  TimePoint leader_contact_;
  std::set<VoterId> votes_;
  std::optional<Incoming> incoming_;

  std::map<VoterId, Peer> peers_;
  LogIndex term_start_ = 0;
  TimePoint last_round_;
  std::uint64_t round_ = 0;
  /// Rounds sent within the election timeout, oldest first.
  std::deque<Round> rounds_;
  std::uint64_t confirmed_round_ = 0;
  /// When the newest round that a quorum acknowledged was sent; the time of
  /// the election until there is one.
  TimePoint confirmed_at_;
  bool read_round_due_ = false;
  std::vector<PendingRead> reads_;

  RoleChange reported_;
  Output pending_;
};

}  // namespace rattanward::consensus
