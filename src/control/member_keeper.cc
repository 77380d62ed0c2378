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

std::size_t CountVoters(const std::vector<MemberProgress>& progress) {
  return static_cast<std::size_t>(
      std::count_if(progress.begin(), progress.end(), IsVoter));
}

std::size_t CountActiveVoters(const std::vector<MemberProgress>& progress) {
  return static_cast<std::size_t>(std::count_if(
      progress.begin(), progress.end(),
      [](const MemberProgress& p) { return IsVoter(p) && p.active; }));
}

/// Whether an active voter with another id, that is another data folder, uses
/// the member's endpoint.
bool IsReplaced(const MemberProgress& member,
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
    const std::vector<DiscoveredVoter>& discovered, TimePoint now) {
  RecordActivity(progress, now);
  if (auto change = ChooseRemoval(progress, discovered, now)) {
    return change;
  }
  if (auto change = ChoosePromotion(progress, committed)) {
    return change;
  }
  return ChooseAddition(progress, discovered, now);
}

std::optional<MembershipChange> MemberKeeper::ChooseAddition(
    const std::vector<MemberProgress>& progress,
    const std::vector<DiscoveredVoter>& discovered, TimePoint now) const {
  for (const DiscoveredVoter& voter : discovered) {
    if (now - voter.last_heard > options_.hello_lifetime) {
      continue;
    }
    const MemberProgress* member = Find(progress, voter.id);
    if (member == nullptr || member->member.endpoint != voter.endpoint) {
      return MembershipChange{Kind::kAddLearner, voter.id, voter.endpoint};
    }
  }
  return std::nullopt;
}

/// A learner becomes a voter only if a voter is missing. One voter more than
/// wanted would raise the quorum without tolerating another loss: once a voter
/// then leaves for good, two further losses would cost the quorum.
std::optional<MembershipChange> MemberKeeper::ChoosePromotion(
    const std::vector<MemberProgress>& progress,
    consensus::LogIndex committed) const {
  if (CountActiveVoters(progress) >= options_.wanted_voters) {
    return std::nullopt;
  }
  for (const MemberProgress& member : progress) {
    if (!IsVoter(member) && member.active && member.match >= committed) {
      return MembershipChange{Kind::kPromote, member.member.id, {}};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::ChooseRemoval(
    const std::vector<MemberProgress>& progress,
    const std::vector<DiscoveredVoter>& discovered, TimePoint now) const {
  const std::size_t voters = CountVoters(progress);
  // An inactive voter that has been replaced only raises the quorum. If it
  // comes back, it becomes a learner.
  const bool has_replacement =
      voters > options_.wanted_voters &&
      CountActiveVoters(progress) >= options_.wanted_voters;
  for (const MemberProgress& member : progress) {
    if (member.active) {
      continue;
    }
    const bool replaced = has_replacement || (IsReplaced(member, progress) &&
                                              voters > options_.wanted_voters);
    if (IsVoter(member) && replaced) {
      return MembershipChange{Kind::kRemove, member.member.id, {}};
    }
    const bool heard_recently = std::any_of(
        discovered.begin(), discovered.end(), [&](const DiscoveredVoter& h) {
          return h.id == member.member.id &&
                 now - h.last_heard <= options_.hello_lifetime;
        });
    const bool removable = !IsVoter(member) || voters > options_.wanted_voters;
    if (removable && !heard_recently &&
        SilentFor(member.member.id, now) >= options_.removal_timeout) {
      return MembershipChange{Kind::kRemove, member.member.id, {}};
    }
  }
  return std::nullopt;
}

void MemberKeeper::RecordActivity(const std::vector<MemberProgress>& progress,
                                  TimePoint now) {
  std::erase_if(last_active_, [&](const auto& item) {
    return Find(progress, item.first) == nullptr;
  });
  for (const MemberProgress& member : progress) {
    const auto known = std::find_if(
        last_active_.begin(), last_active_.end(),
        [&](const auto& item) { return item.first == member.member.id; });
    if (known == last_active_.end()) {
      last_active_.emplace_back(member.member.id, now);
    } else if (member.active) {
      known->second = now;
    }
  }
}

Duration MemberKeeper::SilentFor(const VoterId& id, TimePoint now) const {
  const auto known =
      std::find_if(last_active_.begin(), last_active_.end(),
                   [&](const auto& item) { return item.first == id; });
  return known == last_active_.end() ? Duration::zero() : now - known->second;
}

}  // namespace rattanward::control
