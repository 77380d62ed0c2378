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

/// Whether the member is active and its disk holds everything committed. Voters
/// count at any position: they have the vote already.
bool Stands(const MemberProgress& member, consensus::LogIndex committed) {
  return member.active && (IsVoter(member) || member.match >= committed);
}

/// The members, with those that are leaving as inactive ones.
std::vector<MemberProgress> WithoutLeaving(
    std::vector<MemberProgress> progress,
    const std::vector<DiscoveredVoter>& discovered) {
  for (MemberProgress& member : progress) {
    const bool leaving =
        std::any_of(discovered.begin(), discovered.end(),
                    [&](const DiscoveredVoter& voter) {
                      return voter.id == member.member.id && voter.leaving;
                    });
    member.active = member.active && !leaving;
  }
  return progress;
}

}  // namespace

std::optional<MembershipChange> MemberKeeper::Next(
    const std::vector<MemberProgress>& members, consensus::LogIndex committed,
    const std::vector<DiscoveredVoter>& discovered, TimePoint now) {
  RecordActivity(members, now);
  const std::vector<MemberProgress> progress =
      WithoutLeaving(members, discovered);
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
    if (voter.leaving || now - voter.last_heard > options_.hello_lifetime) {
      continue;
    }
    const MemberProgress* member = Find(progress, voter.id);
    if (member == nullptr || member->member.endpoint != voter.endpoint) {
      return MembershipChange{Kind::kAddLearner, voter.id, voter.endpoint};
    }
  }
  return std::nullopt;
}

std::size_t MemberKeeper::TargetVoters(
    const std::vector<MemberProgress>& progress,
    consensus::LogIndex committed) const {
  const auto standing = static_cast<std::size_t>(std::count_if(
      progress.begin(), progress.end(),
      [&](const MemberProgress& p) { return Stands(p, committed); }));
  const std::size_t odd = standing == 0 ? 0 : (standing - 1) / 2 * 2 + 1;
  return std::max(options_.wanted_voters, std::min(odd, options_.max_voters));
}

/// Control VMs that stand by vote, too: those that they replace may end all at
/// the same moment, sooner than anybody could be promoted.
std::optional<MembershipChange> MemberKeeper::ChoosePromotion(
    const std::vector<MemberProgress>& progress,
    consensus::LogIndex committed) const {
  if (CountActiveVoters(progress) >= TargetVoters(progress, committed)) {
    return std::nullopt;
  }
  for (const MemberProgress& member : progress) {
    if (!IsVoter(member) && Stands(member, committed)) {
      return MembershipChange{Kind::kPromote, member.member.id, {}};
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::ChooseRemoval(
    const std::vector<MemberProgress>& progress,
    const std::vector<DiscoveredVoter>& discovered, TimePoint now) const {
  const std::size_t voters = CountVoters(progress);
  for (const MemberProgress& member : progress) {
    if (member.active) {
      continue;
    }
    // Beyond the wanted number, an inactive voter only raises the quorum. If it
    // comes back, it becomes a learner.
    if (IsVoter(member) && voters > options_.wanted_voters) {
      return MembershipChange{Kind::kRemove, member.member.id, {}};
    }
    const bool heard_recently = std::any_of(
        discovered.begin(), discovered.end(), [&](const DiscoveredVoter& h) {
          return h.id == member.member.id &&
                 now - h.last_heard <= options_.hello_lifetime;
        });
    if (!IsVoter(member) && !heard_recently &&
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
