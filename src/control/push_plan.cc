#include "rattanward/control/push_plan.h"

namespace rattanward::control {
namespace {

/// Time in which the leader's push reaches an entry and its report comes back.
constexpr Duration kLeaderGoesFirst{std::chrono::milliseconds(400)};
/// Time after which a push that is not heeded had no effect.
constexpr Duration kNoEffect{std::chrono::milliseconds(1000)};

}  // namespace

RoutingPushKind PushPlan::Next(ConfigVersion newest, ConfigVersion runs,
                               bool leads, TimePoint now) {
  if (runs >= newest) {
    behind_since_.reset();
    return RoutingPushKind::kNothing;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  const bool same = pushed_ == newest && pushed_base_ == runs;
  if (same && now - pushed_at_ < kNoEffect) {
    return RoutingPushKind::kNothing;
  }
  if (!leads && now - *behind_since_ < kLeaderGoesFirst) {
    return RoutingPushKind::kNothing;
  }
  pushed_ = newest;
  pushed_base_ = runs;
  pushed_at_ = now;
  return same ? RoutingPushKind::kWhole : RoutingPushKind::kDifference;
}

}  // namespace rattanward::control
