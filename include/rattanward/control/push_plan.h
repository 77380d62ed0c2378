#pragma once

#include <cstdint>
#include <optional>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief What a control VM sends to an entry that does not run the newest
/// routes.
enum class RoutingPushKind : std::uint8_t { kNothing, kDifference, kWhole };

/// @brief Decides when one control VM pushes routes to one entry.
/// @note Pure. Every control VM is connected to every entry; the leader pushes
/// at once, the others only to an entry that stays behind. What had no effect
/// is sent again as whole text.
class PushPlan {
 public:
  /// @brief Says what to send now, and notes it as sent.
  /// @param newest Version of the newest routes.
  /// @param runs Version that the entry says it runs.
  /// @param leads Whether this control VM leads.
  RoutingPushKind Next(ConfigVersion newest, ConfigVersion runs, bool leads,
                       TimePoint now);

 private:
  std::optional<TimePoint> behind_since_;
  ConfigVersion pushed_;
  ConfigVersion pushed_base_;
  TimePoint pushed_at_;
};

}  // namespace rattanward::control
