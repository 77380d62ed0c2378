#include "rattanward/consensus/node.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {

Node::Impl::Impl(VoterId id, NodeOptions options, PersistedState state,
                 TimePoint now)
    : id_(std::move(id)),
      options_(options),
      random_(options.seed),
      now_(now),
      hard_state_(std::move(state.hard_state)),
      log_(std::move(state.snapshot), std::move(state.entries)),
      last_leader_contact_(now) {
  commit_index_ = log_.snapshot()->last.index;
  last_emitted_ = commit_index_;
  first_unsaved_ = log_.last_index() + 1;
  reported_role_.term = hard_state_.term;
  ResetElectionDeadline();
}

void Node::Impl::AdvanceTime(TimePoint now) {
  now_ = std::max(now_, now);
  // A leader without recent responses from a quorum may be cut off or may have
  // been frozen, and another leader may exist by now. It steps down before it
  // handles any other input.
  if (role_ == Role::kLeader &&
      now_ - confirmed_round_sent_at_ > options_.election_timeout) {
    BecomeFollower(hard_state_.term, VoterId());
  }
}

void Node::Impl::Tick(TimePoint now) {
  AdvanceTime(now);
  if (role_ == Role::kLeader) {
    if (now_ - last_round_sent_at_ >= options_.heartbeat) {
      StartHeartbeatRound();
    }
  } else if (now_ >= election_deadline_ &&
             log_.IsVoterSince(commit_index_, id_)) {
    StartPreVote();
  }
}

void Node::Impl::Receive(const Message& message, TimePoint now) {
  if (message.to != id_ || message.from == id_) {
    return;
  }
  AdvanceTime(now);
  // HandleVoteRequest() decides itself whether to adopt a higher term.
  if (const auto* vote = std::get_if<VoteRequest>(&message.body)) {
    HandleVoteRequest(message, *vote);
    return;
  }
  const auto* append = std::get_if<AppendRequest>(&message.body);
  const auto* chunk = std::get_if<SnapshotChunk>(&message.body);
  const bool from_leader = append != nullptr || chunk != nullptr;
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, VoterId());
  }
  if (message.term < hard_state_.term) {
    // The response tells a deposed leader the higher term.
    if (from_leader) {
      Send(message.from, AppendResponse{});
    }
    // A pre-vote can come from a voter whose term is still lower.
    if (const auto* response = std::get_if<VoteResponse>(&message.body)) {
      HandleVoteResponse(message, *response);
    }
    return;
  }
  if (append != nullptr) {
    HandleAppend(message, *append);
  } else if (chunk != nullptr) {
    HandleSnapshotChunk(message, *chunk);
  } else if (const auto* response =
                 std::get_if<AppendResponse>(&message.body)) {
    HandleAppendResponse(message, *response);
  } else if (const auto* vote = std::get_if<VoteResponse>(&message.body)) {
    HandleVoteResponse(message, *vote);
  } else if (const auto* snapshot_response =
                 std::get_if<SnapshotResponse>(&message.body)) {
    HandleSnapshotResponse(message, *snapshot_response);
  }
}

Result<LogPosition> Node::Impl::Propose(std::string payload, TimePoint now) {
  AdvanceTime(now);
  if (role_ != Role::kLeader) {
    return MakeError(ErrorCode::kNotLeader, "this voter is not the leader");
  }
  if (payload.size() > kMaxPayloadBytes) {
    return MakeError(ErrorCode::kFrameTooLarge,
                     "command of " + std::to_string(payload.size()) +
                         " bytes exceeds the limit of " +
                         std::to_string(kMaxPayloadBytes));
  }
  AppendLocal(EntryType::kCommand, std::move(payload));
  return log_.last();
}

void Node::Impl::Compact(LogIndex applied, std::string state) {
  if (applied <= log_.snapshot()->last.index || applied > last_emitted_) {
    return;
  }
  log_.Compact(applied, std::move(state), options_.trailing_entries);
  pending_output_.snapshot = *log_.snapshot();
}

Output Node::Impl::TakeOutput() {
  if (role_ == Role::kLeader) {
    if (read_round_due_) {
      StartHeartbeatRound();
    }
    for (auto& [to, peer] : peers_) {
      Replicate(to, &peer);
    }
    AdvanceCommit();
  }
  if (first_unsaved_ <= log_.last_index()) {
    pending_output_.entries =
        log_.Slice(first_unsaved_, std::numeric_limits<std::size_t>::max());
    first_unsaved_ = log_.last_index() + 1;
  }
  TakeCommitted(&pending_output_);
  TakeConfirmedReads(&pending_output_);
  TakeRoleChange(&pending_output_);
  return std::exchange(pending_output_, Output());
}

void Node::Impl::TakeCommitted(Output* out) {
  for (; last_emitted_ < commit_index_; ++last_emitted_) {
    out->committed.push_back(log_.EntryAt(last_emitted_ + 1));
  }
}

void Node::Impl::TakeRoleChange(Output* out) {
  const RoleChange current{role_, hard_state_.term, leader_};
  if (!(current == reported_role_)) {
    reported_role_ = current;
    out->role_change = current;
  }
}

void Node::Impl::BecomeFollower(Term term, const VoterId& leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, VoterId()};
    pending_output_.hard_state = hard_state_;
  }
  if (role_ != Role::kFollower) {
    FailReads();
    peers_.clear();
    rounds_.clear();
    votes_.clear();
    ResetElectionDeadline();
  }
  role_ = Role::kFollower;
  leader_ = leader;
}

void Node::Impl::ResetElectionDeadline() {
  std::uniform_int_distribution<Duration::rep> extra(
      0, options_.election_timeout.count());
  election_deadline_ =
      now_ + options_.election_timeout + Duration(extra(random_));
}

void Node::Impl::Send(const VoterId& to, MessageBody body) {
  pending_output_.messages.push_back(
      {id_, to, hard_state_.term, std::move(body)});
}

void Node::Impl::AppendLocal(EntryType type, std::string payload) {
  log_.Append(
      {log_.last_index() + 1, hard_state_.term, type, std::move(payload)});
}

Node::Node(VoterId id, NodeOptions options, PersistedState state, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(id), options, std::move(state),
                                   now)) {}
Node::~Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;

void Node::Tick(TimePoint now) { impl_->Tick(now); }
void Node::Receive(const Message& message, TimePoint now) {
  impl_->Receive(message, now);
}
Result<LogPosition> Node::Propose(std::string payload, TimePoint now) {
  return impl_->Propose(std::move(payload), now);
}
Status Node::Read(ReadId id, TimePoint now) { return impl_->Read(id, now); }
Result<LogPosition> Node::ChangeMembership(const MembershipChange& change,
                                           TimePoint now) {
  return impl_->ChangeMembership(change, now);
}
void Node::Compact(LogIndex applied, std::string state) {
  impl_->Compact(applied, std::move(state));
}
Output Node::TakeOutput() { return impl_->TakeOutput(); }

const VoterId& Node::id() const { return impl_->id(); }
Role Node::role() const { return impl_->role(); }
Term Node::term() const { return impl_->term(); }
const VoterId& Node::leader() const { return impl_->leader(); }
std::optional<Endpoint> Node::leader_endpoint() const {
  const Member* member = FindMember(membership(), leader());
  return member == nullptr ? std::nullopt
                           : std::optional<Endpoint>(member->endpoint);
}
LogIndex Node::commit_index() const { return impl_->commit_index(); }
LogIndex Node::last_index() const { return impl_->log().last_index(); }
LogIndex Node::snapshot_index() const {
  return impl_->log().snapshot()->last.index;
}
const Membership& Node::membership() const { return impl_->log().membership(); }
bool Node::membership_committed() const {
  return impl_->membership_committed();
}
bool Node::HoldsLease(TimePoint now) const { return impl_->HoldsLease(now); }
std::vector<MemberProgress> Node::Progress(TimePoint now) const {
  return impl_->Progress(now);
}

}  // namespace rattanward::consensus
