#include "rattanward/control/member_keeper.h"

#include <algorithm>

namespace rattanward::control {
namespace {

using consensus::MemberProgress;
using consensus::MemberRole;
using consensus::MembershipChange;
using Kind = consensus::MembershipChange::Kind;

const MemberProgress* Find(const std::vector<MemberProgress>& progress,
                           const VoterId& id) {
  const auto found =
      std::find_if(progress.begin(), progress.end(),
                   [&](const MemberProgress& p) { return p.member.id == id; });
  return found == progress.end() ? nullptr : &*found;
}

bool IsVoter(const MemberProgress& member) {
  return member.member.role == MemberRole::kVoter;
}

std::size_t Voters(const std::vector<MemberProgress>& progress) {
  return static_cast<std::size_t>(
      std::count_if(progress.begin(), progress.end(), IsVoter));
}

/// Whether a member's address answers under another data folder's id, which
/// is a voter already.
bool Replaced(const MemberProgress& member,
              const std::vector<MemberProgress>& progress) {
  return std::any_of(
      progress.begin(), progress.end(), [&](const MemberProgress& other) {
        return other.member.id != member.member.id && IsVoter(other) &&
               other.active && other.member.endpoint == member.member.endpoint;
      });
}

}  // namespace

std::optional<MembershipChange> MemberKeeper::Next(
    const std::vector<MemberProgress>& progress, consensus::LogIndex committed,
    const std::vector<HeardVoter>& heard, TimePoint now) {
  NoteActive(progress, now);
  if (auto change = Remove(progress, heard, now)) {
    return change;
  }
  if (auto change = Promote(progress, committed)) {
    return change;
  }
  return Join(progress, heard, now);
}

std::optional<MembershipChange> MemberKeeper::Join(
    const std::vector<MemberProgress>& progress,
    const std::vector<HeardVoter>& heard, TimePoint now) const {
  for (const HeardVoter& voter : heard) {
    if (now - voter.heard > options_.fresh) {
      continue;
    }
    const MemberProgress* member = Find(progress, voter.id);
    if (member == nullptr || member->member.endpoint != voter.endpoint) {
      return MembershipChange{Kind::kAddLearner, voter.id, voter.endpoint};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::Promote(
    const std::vector<MemberProgress>& progress,
    consensus::LogIndex committed) const {
  for (const MemberProgress& member : progress) {
    if (!IsVoter(member) && member.active && member.match >= committed) {
      return MembershipChange{Kind::kPromote, member.member.id, {}};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::Remove(
    const std::vector<MemberProgress>& progress,
    const std::vector<HeardVoter>& heard, TimePoint now) const {
  const std::size_t voters = Voters(progress);
  for (const MemberProgress& member : progress) {
    if (member.active) {
      continue;
    }
    if (Replaced(member, progress) && voters > options_.wanted_voters) {
      return MembershipChange{Kind::kRemove, member.member.id, {}};
    }
    const bool heard_lately =
        std::any_of(heard.begin(), heard.end(), [&](const HeardVoter& h) {
          return h.id == member.member.id && now - h.heard <= options_.fresh;
        });
    const bool spare = !IsVoter(member) || voters > options_.wanted_voters;
    if (spare && !heard_lately &&
        SilentFor(member.member.id, now) >= options_.lost_after) {
      return MembershipChange{Kind::kRemove, member.member.id, {}};
    }
  }
  return std::nullopt;
}

void MemberKeeper::NoteActive(const std::vector<MemberProgress>& progress,
                              TimePoint now) {
  std::erase_if(active_, [&](const auto& item) {
    return Find(progress, item.first) == nullptr;
  });
  for (const MemberProgress& member : progress) {
    const auto known = std::find_if(
        active_.begin(), active_.end(),
        [&](const auto& item) { return item.first == member.member.id; });
    if (known == active_.end()) {
      active_.emplace_back(member.member.id, now);
    } else if (member.active) {
      known->second = now;
    }
  }
}

Duration MemberKeeper::SilentFor(const VoterId& id, TimePoint now) const {
  const auto known =
      std::find_if(active_.begin(), active_.end(),
                   [&](const auto& item) { return item.first == id; });
  return known == active_.end() ? Duration::zero() : now - known->second;
}

}  // namespace rattanward::control
