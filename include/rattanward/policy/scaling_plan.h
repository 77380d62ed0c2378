#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/need_history.h"
#include "rattanward/policy/scaling_layout.h"

namespace rattanward::policy {

/// @brief What is to be ordered now, and what it follows from.
struct ScalingDecision {
  /// Upstreams that the demand needs: as predicted, at its peak, on average.
  double need = 0;
  double peak = 0;
  double mean = 0;
  /// Upstreams wanted in all, and those present.
  std::uint32_t wanted = 0;
  std::uint32_t present = 0;
  /// Upstreams that the plan leads to.
  std::uint32_t planned = 0;
  /// Numbers that differ from those expected; the additions come first.
  std::vector<ScalingTarget> targets;

  /// @brief Whether fewer can be ordered than the demand needs.
  bool is_short() const { return planned < need; }

  friend bool operator==(const ScalingDecision&,
                         const ScalingDecision&) = default;
};

/// @brief Plans the upstreams of one service; see docs/design/scaling.md.
/// @note Pure: no I/O, and the time is a parameter. To be told of the present
/// state regularly, also where another process gives the orders.
class ScalingPlan {
 public:
  /// Present upstreams times this are kept where spot upstreams are offered.
  /// Bursts of up to 2.7 times a class's load last 4 to 9 s, and a new upstream
  /// serves after 4 s, so room for them has to be there before. At 0.18 of the
  /// regular price the addition costs a ninth of what was there at the start.
  static constexpr double kStandingCapacity = 1.6;

  /// @brief Records the upstreams and the number that the demand needs.
  void Observe(const std::vector<DomainPools>& pools, double need,
               TimePoint now);

  /// @brief Decides what to order, by the last state observed.
  /// @param pools The same as told to Observe().
  /// @return No targets until the first upstreams are known.
  ScalingDecision Decide(const ScalingTerms& terms,
                         std::vector<DomainPools> pools, TimePoint now);

 private:
  /// A condition that has to hold for a while.
  class Delay {
   public:
    bool Passed(bool holds, Duration time, TimePoint now);

   private:
    std::optional<TimePoint> since_;
  };
  /// The upstreams that were there first.
  struct Start {
    TimePoint seen_at;
    TimePoint changed_at;
    std::uint32_t live = 0;
    std::uint32_t regular = 0;
    /// Whether the first sight was of a fleet that had been planned before.
    bool planned_before = false;
    bool settled = false;
  };
  /// Numbers of upstreams that the plan follows from.
  struct Wanted {
    /// For the demand, by its trend and its recent peak.
    std::uint32_t need = 0;
    /// For the demand now, by its trend.
    std::uint32_t need_now = 0;
    /// Of both kinds, with the capacity for bursts.
    std::uint32_t total = 0;
    /// Regular upstreams: at least, and after a reduction.
    std::uint32_t regular_floor = 0;
    std::uint32_t regular_goal = 0;
  };

  void ObserveStart(const std::vector<DomainPools>& pools, TimePoint now);
  double AssumedNeed() const;
  std::uint32_t StandingCapacity(bool spot_offered) const;
  Wanted WantedNow(const ScalingTerms& terms,
                   const ScalingLayout& layout) const;
  void PlanRegular(const Wanted& wanted, ScalingLayout* layout, TimePoint now);
  void PlanSpot(const Wanted& wanted, ScalingLayout* layout, TimePoint now);

  NeedHistory history_;
  /// The need as predicted at each decision.
  NeedHistory predicted_;
  std::optional<Start> start_;
  Delay regular_excess_;
  Delay spot_excess_;
};

}  // namespace rattanward::policy
