#include "rattanward/control/push_plan.h"

namespace rattanward::control {
namespace {

/// A follower pushes only after this delay. Within it, the leader's push
/// reaches the entry and the entry's report arrives here.
constexpr Duration kFollowerPushDelay{std::chrono::milliseconds(400)};
/// A push that the entry has not applied within this time had no effect.
constexpr Duration kPushTimeout{std::chrono::milliseconds(1000)};

}  // namespace

RoutingPushStep PushPlan::Next(ConfigVersion newest,
                               ConfigVersion entry_version, bool leads,
                               TimePoint now) {
  if (entry_version >= newest) {
    behind_since_.reset();
    expected_versions_.clear();
    return {};
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  if (!leads && now - *behind_since_ < kFollowerPushDelay) {
    return {};
  }
  const bool none_in_flight = expected_versions_.empty();
  const bool others_pushed =
      !none_in_flight && expected_versions_.count(entry_version) == 0;
  if (none_in_flight || others_pushed) {
    expected_versions_ = {entry_version};
    return RecordPush(RoutingPushKind::kDifference, entry_version, newest, now);
  }
  if (now - last_push_at_ >= kPushTimeout) {
    return RecordPush(RoutingPushKind::kFullText, ConfigVersion{}, newest, now);
  }
  if (last_pushed_ < newest) {
    return RecordPush(RoutingPushKind::kDifference, last_pushed_, newest, now);
  }
  return {};
}

RoutingPushStep PushPlan::RecordPush(RoutingPushKind kind, ConfigVersion base,
                                     ConfigVersion newest, TimePoint now) {
  expected_versions_.insert(newest);
  last_pushed_ = newest;
  last_push_at_ = now;
  return {kind, base};
}

}  // namespace rattanward::control
