#pragma once

#include <cstdint>
#include <optional>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Place of an entry among the live ones.
struct RoomShare {
  std::uint32_t index = 0;
  /// Number of live entries; 0 if the leader doesn't know them all.
  std::uint32_t entries = 0;

  friend bool operator==(const RoomShare&, const RoomShare&) = default;
};

/// @brief Requests that an entry may have at an upstream at the same time, so
/// that all entries together stay below its room without news of each other.
/// @param slots Requests that the upstream runs at the same time.
/// @param first Index of the entry with which what can't be divided evenly
/// begins; see NextFirst().
/// @param confirmed Whether a leader has confirmed the share lately.
/// @return 0 for some entries where they are more than the slots.
std::uint32_t RoomPartOf(std::uint32_t slots, std::uint32_t first,
                         const RoomShare& share, bool confirmed);

/// @brief Index with which the next upstream of the service begins, so that the
/// entries get the same number of places, but for one.
std::uint32_t NextFirst(std::uint32_t slots, std::uint32_t first,
                        const RoomShare& share);

/// @brief An entry's part of the room of one upstream as it changes.
/// @note Pure: the time is a parameter. A part shrinks at once and grows only
/// after a while, when the entries that had it before have learnt of it.
/// Answers the load of callers whose upstreams fail when they reject many
/// requests.
class RoomPart {
 public:
  /// Time after which a part grows.
  static constexpr Duration kGrowDelay = std::chrono::seconds(1);
  /// Time after a rejection in which nothing is sent.
  static constexpr Duration kRejectionPause = std::chrono::seconds(1);
  /// Time after a rejection or a start in which the part is smaller.
  static constexpr Duration kRecovery = std::chrono::seconds(4);

  /// @brief The part that the entry's share gives it now.
  void SetWanted(std::uint32_t wanted, TimePoint now);

  /// @brief The upstream rejected a request, here or at another entry.
  void RecordRejection(TimePoint now);

  /// @brief The upstream has just started: its load comes back gradually.
  void RecordStart(TimePoint now) { recovers_from_ = now; }

  /// @brief Requests that may be at the upstream at the same time.
  std::uint32_t Allowed(TimePoint now) const;

 private:
  std::uint32_t part_ = 0;
  std::uint32_t wanted_ = 0;
  /// Time from which a larger part has been wanted.
  std::optional<TimePoint> grows_since_;
  std::optional<TimePoint> recovers_from_;
};

}  // namespace rattanward::policy
