#include <algorithm>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {

Result<LogPosition> Node::Impl::ChangeMembership(const MembershipChange& change,
                                                 TimePoint now) {
  AdvanceTime(now);
  if (role_ != Role::kLeader) {
    return MakeError(ErrorCode::kNotLeader, "this voter is not the leader");
  }
  // Changing one member at a time, and only after an entry of this term is
  // committed, ensures that the quorums of successive memberships overlap.
  if (!membership_committed() || commit_index_ < term_start_index_) {
    return MakeError(ErrorCode::kVoterChangePending,
                     "the latest membership change or the first entry of the "
                     "term is not committed yet");
  }
  Result<Membership> changed = MembershipAfter(change);
  if (!changed.has_value()) {
    return changed.error();
  }
  const Status allowed = CheckChange(change, changed.value());
  if (!allowed.has_value()) {
    return allowed.error();
  }
  AppendLocal(EntryType::kMembership, EncodeMembership(changed.value()));
  UpdatePeers();
  return log_.last();
}

Result<Membership> Node::Impl::MembershipAfter(
    const MembershipChange& change) const {
  Membership changed = log_.membership();
  auto& members = changed.members;
  const auto found = std::find_if(
      members.begin(), members.end(),
      [&](const Member& member) { return member.id == change.id; });
  if (change.kind == MembershipChange::Kind::kAddLearner) {
    if (found != members.end()) {
      found->endpoint = change.endpoint;
      return changed;
    }
    members.push_back({change.id, change.endpoint, MemberRole::kLearner});
    std::sort(members.begin(), members.end(),
              [](const Member& a, const Member& b) { return a.id < b.id; });
    return changed;
  }
  if (found == members.end()) {
    return MakeError(ErrorCode::kUnknownVoter,
                     "no member with id " + change.id.str());
  }
  if (change.kind == MembershipChange::Kind::kPromote) {
    found->role = MemberRole::kVoter;
  } else {
    members.erase(found);
  }
  return changed;
}

Status Node::Impl::CheckChange(const MembershipChange& change,
                               const Membership& changed) const {
  if (VoterCount(changed) == 0) {
    return MakeError(ErrorCode::kLastVoter, "the only voter can't be removed");
  }
  // A learner that lacks committed entries must not count towards the quorum.
  const auto peer = peers_.find(change.id);
  if (change.kind == MembershipChange::Kind::kPromote && peer != peers_.end() &&
      (peer->second.match < commit_index_ || !IsActive(change.id, now_))) {
    return MakeError(ErrorCode::kLearnerBehind,
                     "learner is behind or inactive: its log is synced up to " +
                         std::to_string(peer->second.match) +
                         "; the commit index is " +
                         std::to_string(commit_index_));
  }
  // An operator's mistake must not leave the group without a quorum.
  std::size_t active = 0;
  for (const Member& member : changed.members) {
    active +=
        member.role == MemberRole::kVoter && IsActive(member.id, now_) ? 1 : 0;
  }
  if (active < QuorumSize(changed)) {
    return MakeError(ErrorCode::kNoQuorum,
                     "only " + std::to_string(active) + " of " +
                         std::to_string(VoterCount(changed)) +
                         " voters would be active after the change");
  }
  return outcome::success();
}

bool Node::Impl::IsActive(const VoterId& id, TimePoint now) const {
  if (id == id_) {
    return true;
  }
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.acked_sent_at.has_value() &&
         now - *peer->second.acked_sent_at <= options_.election_timeout;
}

void Node::Impl::UpdatePeers() {
  const Membership& membership = log_.membership();
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    peer = FindMember(membership, peer->first) == nullptr ? peers_.erase(peer)
                                                          : std::next(peer);
  }
  for (const Member& member : membership.members) {
    if (member.id != id_ && peers_.find(member.id) == peers_.end()) {
      peers_[member.id].next = log_.last_index() + 1;
    }
  }
}

std::vector<MemberProgress> Node::Impl::Progress(TimePoint now) const {
  std::vector<MemberProgress> progress;
  if (role_ != Role::kLeader) {
    return progress;
  }
  for (const Member& member : log_.membership().members) {
    const auto peer = peers_.find(member.id);
    const LogIndex match =
        peer == peers_.end() ? log_.last_index() : peer->second.match;
    progress.push_back({member, match, IsActive(member.id, now)});
  }
  std::stable_partition(
      progress.begin(), progress.end(),
      [this](const MemberProgress& p) { return p.member.id != id_; });
  return progress;
}

}  // namespace rattanward::consensus
