#include "rattanward/policy/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanward::policy {
namespace {

/// Time without another upstream after which those that were there first are
/// taken to be known.
constexpr Duration kStartSettled = std::chrono::seconds(1);
/// Time within which further ones still belong to them.
constexpr Duration kStartSpan = std::chrono::seconds(10);
/// Part of the mean need that regular upstreams carry.
constexpr double kRegularPart = 0.5;
/// Part of the recent peak for which regular upstreams are bought where spot
/// ones are refused. The peak would then use 80% of the slots rather than 60%;
/// refusals are over sooner than regular upstreams can be replaced again.
constexpr double kPeakPart = 0.75;
/// Regular upstreams kept above that when they are reduced, so that a small
/// rise of the mean doesn't bring them back.
constexpr double kRegularSpare = 1.1;
/// Smaller excesses are left: each change costs caches of prompts.
constexpr double kHysteresis = 1.15;
constexpr Duration kExcessTime = std::chrono::seconds(20);
/// Spot upstreams that have just become ready may still fail.
constexpr Duration kReplaceTime = std::chrono::seconds(2);
/// Part of the regular upstreams that one step gives back at most.
constexpr std::uint32_t kStepDivisor = 3;
/// Steps smaller than this part are put off, unless they are the last.
constexpr std::uint32_t kSmallStepDivisor = 10;
/// Numbers of spot upstreams are rounded up to multiples of this part of the
/// wanted number, so that they follow the regular ones in few steps.
constexpr std::uint32_t kSpotStepDivisor = 16;
/// Part of the wanted number that stays while regular upstreams occupy the room
/// of those that replace them.
constexpr double kCrowdedPart = 0.9;
/// A shortage below this part isn't worth an order: an upstream that crashed is
/// started again by the platform.
constexpr double kShortPart = 0.97;

std::uint32_t Ceil(double value) {
  // Sums of shares may exceed a whole number by rounding only.
  constexpr double kRounding = 1e-9;
  return static_cast<std::uint32_t>(
      std::ceil(std::max(0.0, value - kRounding)));
}

std::uint32_t Rest(std::uint32_t whole, std::uint32_t part) {
  return whole - std::min(whole, part);
}

/// Spot upstreams that are wanted beside the regular ones, so that without
/// those of any one failure domain the rest suffices for a need.
std::uint32_t SpotFor(std::uint32_t need, std::uint32_t total,
                      std::uint32_t regular, std::size_t domains) {
  double spot = Rest(total, regular);
  if (domains > 1) {
    const auto all = static_cast<double>(domains);
    spot = std::max(spot, Rest(need, regular) * all / (all - 1));
  }
  const std::uint32_t step = total / kSpotStepDivisor + 1;
  return (Ceil(spot) + step - 1) / step * step;
}

}  // namespace

bool ScalingPlan::Delay::Passed(bool holds, Duration time, TimePoint now) {
  if (!holds) {
    since_.reset();
    return false;
  }
  if (!since_) {
    since_ = now;
  }
  return now - *since_ >= time;
}

void ScalingPlan::Observe(const std::vector<DomainPools>& pools, double need,
                          TimePoint now) {
  history_.Record(need, now);
  ObserveStart(pools, now);
}

void ScalingPlan::ObserveStart(const std::vector<DomainPools>& pools,
                               TimePoint now) {
  std::uint32_t regular = 0;
  std::uint32_t spot = 0;
  for (const DomainPools& pool : pools) {
    regular += pool.regular.live;
    spot += pool.spot.live;
  }
  if (!start_ && regular + spot > 0) {
    start_ = Start{now, now, 0, 0, false, false};
  }
  if (!start_) {
    return;
  }
  if (!start_->settled) {
    if (regular + spot != start_->live) {
      start_->changed_at = now;
      start_->live = regular + spot;
    }
    start_->planned_before = start_->planned_before || spot > 0;
    start_->settled = now - start_->changed_at >= kStartSettled ||
                      now - start_->seen_at >= kStartSpan;
  }
  if (now - start_->seen_at < kStartSpan) {
    start_->regular = std::max(start_->regular, regular);
  }
}

/// Need that is assumed before there is demand: all slots of the upstreams that
/// were there first. Of a fleet that was planned before, the regular part was
/// half of the need at least.
double ScalingPlan::AssumedNeed() const {
  return start_->planned_before ? std::min(start_->live, 2 * start_->regular)
                                : start_->regular;
}

std::uint32_t ScalingPlan::StandingCapacity(bool spot_offered) const {
  if (!spot_offered) {
    return history_.covers_span() ? 0 : start_->regular;
  }
  return start_->planned_before ? start_->live
                                : Ceil(kStandingCapacity * start_->regular);
}

ScalingPlan::Wanted ScalingPlan::WantedNow(const ScalingTerms& terms,
                                           const ScalingLayout& layout) const {
  Wanted wanted;
  wanted.need_now = Ceil(history_.Predicted(terms.boot));
  const std::uint32_t most = layout.MostUpstreams();
  wanted.need =
      std::min(most, std::max(Ceil(predicted_.Peak()), Ceil(history_.Peak())));
  wanted.need_now = std::min(most, wanted.need_now);
  const std::uint32_t standing = StandingCapacity(layout.spot_offered());
  wanted.total = std::min(most, std::max(wanted.need, standing));
  if (!layout.spot_offered()) {
    wanted.regular_floor = wanted.total;
    wanted.regular_goal = wanted.total;
    return wanted;
  }
  wanted.regular_floor = Ceil(kRegularPart * history_.Mean(AssumedNeed()));
  const std::uint32_t spot_room = layout.SpotRoom();
  // Regular upstreams make up for spot ones that can't be had.
  const std::uint32_t without_spare =
      std::max(wanted.need_now, Ceil(kPeakPart * wanted.need));
  if (layout.RegularExpected() + spot_room < without_spare) {
    wanted.regular_floor =
        std::max(wanted.regular_floor, Rest(without_spare, spot_room));
  }
  wanted.regular_goal = Ceil(kRegularSpare * wanted.regular_floor);
  return wanted;
}

void ScalingPlan::PlanRegular(const Wanted& wanted, ScalingLayout* layout,
                              TimePoint now) {
  const std::uint32_t present = layout->Present();
  const std::uint32_t regular = layout->RegularExpected();
  if (regular < wanted.regular_floor) {
    layout->AddRegular(wanted.regular_floor - regular,
                       present < wanted.need ? ScalingReason::kDemand
                                             : ScalingReason::kRegularShare);
  }
  const bool excess = regular > Ceil(kHysteresis * wanted.regular_goal);
  const bool spot_offered = layout->spot_offered();
  const bool passed = regular_excess_.Passed(
      excess, spot_offered ? kReplaceTime : kExcessTime, now);
  if (!passed || layout->RegularLive() > regular) {
    return;  // The last step is not carried out yet.
  }
  const std::uint32_t beyond = regular - wanted.regular_goal;
  const bool crowded =
      layout->SpotRoom() < Rest(wanted.total, wanted.regular_goal);
  const std::uint32_t kept =
      spot_offered && crowded
          ? std::max(wanted.need, Ceil(kCrowdedPart * wanted.total))
          : wanted.total;
  const std::uint32_t step = regular / kStepDivisor + 1;
  const std::uint32_t drop = std::min({beyond, step, Rest(present, kept)});
  if (drop > 0 && drop >= std::min(beyond, regular / kSmallStepDivisor)) {
    layout->RemoveRegular(
        drop, spot_offered ? ScalingReason::kReplaced : ScalingReason::kExcess);
  }
}

void ScalingPlan::PlanSpot(const Wanted& wanted, ScalingLayout* layout,
                           TimePoint now) {
  const std::uint32_t regular =
      std::min(layout->RegularPlanned(),
               std::max(wanted.regular_goal, wanted.regular_floor));
  const std::size_t domains = layout->rows().size();
  const std::uint32_t spot =
      SpotFor(wanted.need_now, wanted.total, regular, domains);
  const std::uint32_t spot_at_peak =
      SpotFor(wanted.need, wanted.total, regular, domains);
  const std::uint32_t expected = layout->SpotExpected();
  const bool is_short = expected < kShortPart * spot;
  const bool excess = spot_excess_.Passed(
      expected > Ceil(kHysteresis * spot_at_peak), kExcessTime, now);
  const bool demand = layout->Present() < wanted.need;
  const std::vector<std::uint32_t> spread = layout->SpreadSpot(spot);
  const std::vector<std::uint32_t> at_peak = layout->SpreadSpot(spot_at_peak);
  for (std::size_t i = 0; i < domains; ++i) {
    ScalingLayout::Row& row = layout->rows()[i];
    const std::uint32_t has = row.pools.spot.expected;
    if (spread[i] > has && (is_short || spread[i] > Ceil(kHysteresis * has))) {
      row.spot = spread[i];
      row.spot_reason = demand     ? ScalingReason::kDemand
                        : is_short ? ScalingReason::kStanding
                                   : ScalingReason::kSpread;
    } else if (excess && at_peak[i] < has) {
      row.spot = at_peak[i];
      row.spot_reason = ScalingReason::kExcess;
    }
  }
}

ScalingDecision ScalingPlan::Decide(const ScalingTerms& terms,
                                    std::vector<DomainPools> pools,
                                    TimePoint now) {
  ScalingDecision decision;
  if (!start_ || !start_->settled) {
    return decision;
  }
  ScalingLayout layout(terms, std::move(pools));
  predicted_.Record(history_.Predicted(terms.boot), now);
  const Wanted wanted = WantedNow(terms, layout);
  decision.need = history_.Predicted(terms.boot);
  decision.peak = history_.Peak();
  decision.mean = history_.Mean(AssumedNeed());
  decision.wanted = wanted.total;
  decision.present = layout.Present();
  PlanRegular(wanted, &layout, now);
  if (layout.spot_offered()) {
    PlanSpot(wanted, &layout, now);
  }
  layout.ApplyTerms();
  decision.planned = layout.Planned();
  decision.targets = layout.Targets();
  return decision;
}

}  // namespace rattanward::policy
