#include <algorithm>
#include <functional>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {

Status Node::Impl::Read(ReadId id, TimePoint now) {
  AdvanceTime(now);
  if (role_ != Role::kLeader) {
    return MakeError(ErrorCode::kNotLeader, "this voter is not the leader");
  }
  // Only a round sent after the request proves that this node was still the
  // leader when the read was requested. This holds at any clock rate.
  pending_reads_.push_back(
      {id, std::max(commit_index_, term_start_index_), current_round_ + 1});
  read_round_due_ = true;
  return outcome::success();
}

void Node::Impl::StartHeartbeatRound() {
  read_round_due_ = false;
  last_round_sent_at_ = now_;
  rounds_.push_back({++current_round_, now_});
  while (now_ - rounds_.front().sent_at > options_.election_timeout) {
    rounds_.pop_front();
  }
  for (auto& [to, peer] : peers_) {
    peer.heartbeat_due = true;
  }
  ConfirmRounds();
}

void Node::Impl::AcknowledgeRound(Peer* peer, std::uint64_t round) {
  if (round <= peer->acked_round || rounds_.empty() ||
      round < rounds_.front().number || round > current_round_) {
    return;
  }
  peer->acked_round = round;
  peer->acked_sent_at = rounds_[round - rounds_.front().number].sent_at;
  ConfirmRounds();
}

void Node::Impl::ConfirmRounds() {
  std::vector<std::uint64_t> acked;
  for (const Member& member : log_.membership().members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    acked.push_back(peer == peers_.end() ? current_round_
                                         : peer->second.acked_round);
  }
  const std::size_t quorum = QuorumSize(log_.membership());
  if (acked.size() < quorum) {
    return;
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  const std::uint64_t round = acked[quorum - 1];
  if (round > confirmed_round_ && !rounds_.empty() &&
      round >= rounds_.front().number) {
    confirmed_round_ = round;
    confirmed_round_sent_at_ = rounds_[round - rounds_.front().number].sent_at;
  }
}

bool Node::Impl::HoldsLease(TimePoint now) const {
  // The lease counts from the sending of the round. A leader that was frozen
  // therefore holds no lease when it resumes.
  return role_ == Role::kLeader && commit_index_ >= term_start_index_ &&
         now - confirmed_round_sent_at_ < options_.lease;
}

void Node::Impl::TakeConfirmedReads(Output* out) {
  const auto confirmed = [this](const PendingRead& read) {
    return read.round <= confirmed_round_ && read.index <= commit_index_;
  };
  for (const PendingRead& read : pending_reads_) {
    if (confirmed(read)) {
      out->reads.push_back({read.id, read.index});
    }
  }
  pending_reads_.erase(
      std::remove_if(pending_reads_.begin(), pending_reads_.end(), confirmed),
      pending_reads_.end());
}

void Node::Impl::FailReads() {
  for (const PendingRead& read : pending_reads_) {
    pending_output_.failed_reads.push_back(read.id);
  }
  pending_reads_.clear();
}

}  // namespace rattanward::consensus
