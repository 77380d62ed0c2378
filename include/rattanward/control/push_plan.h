#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief Form in which a control VM pushes routes to an entry that runs an
/// older version.
enum class RoutingPushKind : std::uint8_t { kNone, kDifference, kFullText };

/// @brief The push that is due.
struct RoutingPushStep {
  RoutingPushKind kind = RoutingPushKind::kNone;
  /// Version that a difference starts from; 0 for other kinds.
  ConfigVersion base;

  friend bool operator==(const RoutingPushStep&,
                         const RoutingPushStep&) = default;
};

/// @brief Decides when one control VM pushes routes to one entry.
/// @note Does no I/O and reads no clock. Every control VM is connected to every
/// entry. The leader pushes at once, and followers push only to an entry that
/// stays behind, so that an entry does not receive each change from every
/// control VM. While a push is in flight, the next difference starts from its
/// version. Routes whose push had no effect are sent again as full text.
class PushPlan {
 public:
  /// @brief Returns the push to send now and records it as sent.
  /// @param newest Version of the newest routes.
  /// @param entry_version Version that the entry last reported.
  /// @param leads Whether this control VM is a confirmed leader.
  /// @param now Current monotonic time.
  RoutingPushStep Next(ConfigVersion newest, ConfigVersion entry_version,
                       bool leads, TimePoint now);

 private:
  RoutingPushStep RecordPush(RoutingPushKind kind, ConfigVersion base,
                             ConfigVersion newest, TimePoint now);

  std::optional<TimePoint> behind_since_;
  /// Versions that the entry may report while pushes are in flight; empty if no
  /// push is in flight.
  std::set<ConfigVersion> expected_versions_;
  ConfigVersion last_pushed_;
  TimePoint last_push_at_;
};

}  // namespace rattanward::control
