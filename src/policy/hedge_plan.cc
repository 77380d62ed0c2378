#include "rattanward/policy/hedge_plan.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::int64_t kPermille = 1000;
/// A request that takes longer than this share of its kind is slow.
constexpr std::uint32_t kSlowPermille = 950;
constexpr std::uint32_t kMedianPermille = 500;
/// Below this, a quantile says little.
constexpr std::size_t kMinSamples = 8;
/// Unused budget is kept for this many hedges. More would let a burst of slow
/// answers double the work of a service after a calm hour.
constexpr std::int64_t kSavedHedges = 3;
/// A hedge needs this share of the slots free. With fewer, it would delay the
/// requests of other callers.
constexpr std::uint64_t kMinFreePermille = 250;

bool HasRoom(const ServiceRoom& room) {
  const std::uint64_t free = room.slots - std::min(room.slots, room.running);
  return !room.waiting && room.slots > 0 &&
         free * kPermille >= kMinFreePermille * room.slots;
}

}  // namespace

void HedgePlan::RecordRequest(const ServiceName& service, std::uint64_t work,
                              std::uint32_t permille) {
  if (permille == 0 || work == 0) {
    return;
  }
  std::int64_t& budget = budgets_[service];
  const auto own = static_cast<std::int64_t>(work);
  const std::int64_t granted = own * permille / kPermille;
  budget = std::max(budget, std::min(budget + granted, kSavedHedges * own));
}

void HedgePlan::RecordTime(const HedgeKind& kind, Duration took,
                           TimePoint now) {
  if (times_us_.size() >= kMaxKinds && !times_us_.contains(kind)) {
    std::erase_if(times_us_, [now](const auto& known) {
      return known.second.Count(now) == 0;
    });
  }
  if (times_us_.size() < kMaxKinds || times_us_.contains(kind)) {
    times_us_[kind].Add(took.count(), now);
  }
}

Duration HedgePlan::Delay(const HedgeKind& kind, Duration target,
                          TimePoint now) const {
  const Duration needed = target / 2;
  const auto known = times_us_.find(kind);
  if (known == times_us_.end() || known->second.Count(now) < kMinSamples) {
    return needed;
  }
  return std::max(needed,
                  Duration(*known->second.Quantile(kSlowPermille, now)));
}

Duration HedgePlan::UsualTime(const HedgeKind& kind, TimePoint now) const {
  const auto known = times_us_.find(kind);
  if (known == times_us_.end()) {
    return Duration(0);
  }
  return Duration(known->second.Quantile(kMedianPermille, now).value_or(0));
}

HedgeVerdict HedgePlan::Decide(const ServiceName& service, std::uint64_t work,
                               const ServiceRoom& room) {
  if (!HasRoom(room)) {
    return HedgeVerdict::kNoRoom;
  }
  const auto budget = budgets_.find(service);
  const auto wanted = static_cast<std::int64_t>(work);
  if (work == 0 || budget == budgets_.end() || budget->second < wanted) {
    return HedgeVerdict::kNoBudget;
  }
  budget->second -= wanted;
  return HedgeVerdict::kStart;
}

void HedgePlan::RecordExcess(const ServiceName& service, std::uint64_t work) {
  if (work > 0) {
    budgets_[service] -= static_cast<std::int64_t>(work);
  }
}

std::int64_t HedgePlan::Budget(const ServiceName& service) const {
  const auto budget = budgets_.find(service);
  return budget == budgets_.end() ? 0 : budget->second;
}

}  // namespace rattanward::policy
