#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief What a control VM sends to an entry that does not run the newest
/// routes.
enum class RoutingPushKind : std::uint8_t { kNone, kDifference, kFullText };

/// @brief A push that is due, and the version that a difference starts from.
struct RoutingPushStep {
  RoutingPushKind kind = RoutingPushKind::kNone;
  ConfigVersion base;

  friend bool operator==(const RoutingPushStep&,
                         const RoutingPushStep&) = default;
};

/// @brief Decides when one control VM pushes routes to one entry.
/// @note Pure. Every control VM is connected to every entry; the leader pushes
/// at once, the others only to an entry that stays behind. A push on its way is
/// what the next difference starts from; what had no effect is sent again as
/// whole text.
class PushPlan {
 public:
  /// @brief Says what to send now, and notes it as sent.
  /// @param newest Version of the newest routes.
  /// @param runs Version that the entry says it runs.
  /// @param leads Whether this control VM leads.
  RoutingPushStep Next(ConfigVersion newest, ConfigVersion entry_version,
                       bool leads, TimePoint now);

 private:
  RoutingPushStep RecordPush(RoutingPushKind kind, ConfigVersion base,
                             ConfigVersion newest, TimePoint now);

  std::optional<TimePoint> behind_since_;
  /// Versions that the entry may run while pushes are on their way; empty if
  /// none is.
  std::set<ConfigVersion> expected_versions_;
  ConfigVersion last_pushed_;
  TimePoint last_push_at_;
};

}  // namespace rattanward::control
