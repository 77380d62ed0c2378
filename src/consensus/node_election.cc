#include <tuple>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {
namespace {

/// @brief Whether a log ending at `candidate` is at least as up to date as one
/// ending at `own`. This prevents the election of a leader that lacks committed
/// entries.
bool IsUpToDate(const LogPosition& candidate, const LogPosition& own) {
  return std::tie(candidate.term, candidate.index) >=
         std::tie(own.term, own.index);
}

}  // namespace

std::size_t Node::Impl::CountVoters(const std::set<VoterId>& ids) const {
  std::size_t count = 0;
  for (const VoterId& id : ids) {
    count += IsVoter(log_.membership(), id) ? 1 : 0;
  }
  return count;
}

void Node::Impl::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_ = VoterId();
  votes_ = {id_};
  ResetElectionDeadline();
  if (CountVoters(votes_) >= QuorumSize(log_.membership())) {
    StartElection();
  } else {
    RequestVotes(/*pre_vote=*/true);
  }
}

void Node::Impl::StartElection() {
  role_ = Role::kCandidate;
  hard_state_ = {hard_state_.term + 1, id_};
  pending_output_.hard_state = hard_state_;
  votes_ = {id_};
  ResetElectionDeadline();
  if (CountVoters(votes_) >= QuorumSize(log_.membership())) {
    BecomeLeader();
  } else {
    RequestVotes(/*pre_vote=*/false);
  }
}

void Node::Impl::RequestVotes(bool pre_vote) {
  const Term candidate_term = hard_state_.term + (pre_vote ? 1 : 0);
  for (const Member& member : log_.membership().members) {
    if (member.role == MemberRole::kVoter && member.id != id_) {
      Send(member.id, VoteRequest{pre_vote, candidate_term, log_.last()});
    }
  }
}

void Node::Impl::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = id_;
  votes_.clear();
  incoming_snapshot_.reset();
  peers_.clear();
  rounds_.clear();
  pending_reads_.clear();
  read_round_due_ = false;
  confirmed_round_ = current_round_;
  confirmed_round_sent_at_ = now_;
  UpdatePeers();
  AppendLocal(EntryType::kNoOp, std::string());
  term_start_index_ = log_.last_index();
  StartHeartbeatRound();
}

bool Node::Impl::HasRecentLeaderContact() const {
  return role_ == Role::kLeader ||
         now_ - last_leader_contact_ < options_.election_timeout;
}

void Node::Impl::HandleVoteRequest(const Message& message,
                                   const VoteRequest& request) {
  // Ignoring the request keeps the lease of the current leader valid and
  // prevents a voter that was cut off from deposing a working leader.
  if (HasRecentLeaderContact()) {
    return;
  }
  if (!request.pre_vote && request.candidate_term > hard_state_.term) {
    BecomeFollower(request.candidate_term, VoterId());
  }
  VoteResponse response{request.pre_vote, request.candidate_term, false};
  const bool up_to_date = IsUpToDate(request.last, log_.last());
  if (request.pre_vote) {
    response.granted = request.candidate_term > hard_state_.term && up_to_date;
  } else if (request.candidate_term == hard_state_.term && up_to_date &&
             (hard_state_.voted_for.empty() ||
              hard_state_.voted_for == message.from)) {
    response.granted = true;
    hard_state_.voted_for = message.from;
    pending_output_.hard_state = hard_state_;
    ResetElectionDeadline();
  }
  Send(message.from, response);
}

void Node::Impl::HandleVoteResponse(const Message& message,
                                    const VoteResponse& response) {
  // Responses to an earlier election are ignored.
  const bool awaited = response.pre_vote
                           ? role_ == Role::kPreCandidate &&
                                 response.candidate_term == hard_state_.term + 1
                           : role_ == Role::kCandidate &&
                                 response.candidate_term == hard_state_.term;
  if (!awaited || !response.granted) {
    return;
  }
  votes_.insert(message.from);
  if (CountVoters(votes_) < QuorumSize(log_.membership())) {
    return;
  }
  if (response.pre_vote) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

}  // namespace rattanward::consensus
