#include "rattanward/control/push_plan.h"

namespace rattanward::control {
namespace {

/// Time in which the leader's push reaches an entry and its report comes back.
constexpr Duration kLeaderGoesFirst{std::chrono::milliseconds(400)};
/// Time after which a push that is not heeded had no effect.
constexpr Duration kNoEffect{std::chrono::milliseconds(1000)};

}  // namespace

RoutingPushStep PushPlan::Next(ConfigVersion newest, ConfigVersion runs,
                               bool leads, TimePoint now) {
  if (runs >= newest) {
    behind_since_.reset();
    expected_.clear();
    return {};
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (!leads && now - *behind_since_ < kLeaderGoesFirst) {
    return {};
  }
  const bool none_on_its_way = expected_.empty();
  const bool others_pushed = !none_on_its_way && expected_.count(runs) == 0;
  if (none_on_its_way || others_pushed) {
    expected_ = {runs};
    return Push(RoutingPushKind::kDifference, runs, newest, now);
  }
  if (now - pushed_at_ >= kNoEffect) {
    return Push(RoutingPushKind::kWhole, ConfigVersion{}, newest, now);
  }
  if (pushed_ < newest) {
    return Push(RoutingPushKind::kDifference, pushed_, newest, now);
  }
  return {};
}

RoutingPushStep PushPlan::Push(RoutingPushKind kind, ConfigVersion base,
                               ConfigVersion newest, TimePoint now) {
  expected_.insert(newest);
  pushed_ = newest;
  pushed_at_ = now;
  return {kind, base};
}

}  // namespace rattanward::control
