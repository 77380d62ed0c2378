#include <algorithm>
#include <functional>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {

Status Node::Impl::Read(ReadId id, TimePoint now) {
  Advance(now);
  if (role_ != Role::kLeader) {
    return MakeError(ErrorCode::kNotLeader, "this voter is not the leader");
  }
  reads_.push_back({id, std::max(commit_, term_start_), round_ + 1});
  read_round_due_ = true;
  return outcome::success();
}

void Node::Impl::StartRound() {
  read_round_due_ = false;
  last_round_ = now_;
  rounds_.push_back({++round_, now_});
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
      round < rounds_.front().number || round > round_) {
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
    acked.push_back(peer == peers_.end() ? round_ : peer->second.acked_round);
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
    confirmed_at_ = rounds_[round - rounds_.front().number].sent_at;
  }
}

bool Node::Impl::HoldsLease(TimePoint now) const {
  return role_ == Role::kLeader && commit_ >= term_start_ &&
         now - confirmed_at_ < options_.lease;
}

void Node::Impl::TakeReads(Output* out) {
  const auto confirmed = [this](const PendingRead& read) {
    return read.round <= confirmed_round_ && read.index <= commit_;
  };
  for (const PendingRead& read : reads_) {
    if (confirmed(read)) {
      out->reads.push_back({read.id, read.index});
    }
  }
  reads_.erase(std::remove_if(reads_.begin(), reads_.end(), confirmed),
               reads_.end());
}

void Node::Impl::FailReads() {
  for (const PendingRead& read : reads_) {
    pending_.failed_reads.push_back(read.id);
  }
  reads_.clear();
}

}  // namespace rattanward::consensus
