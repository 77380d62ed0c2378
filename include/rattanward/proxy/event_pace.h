#pragma once

#include <cstdint>
#include <optional>

#include "rattanward/domain/time.h"

namespace rattanward::proxy {

/// @brief Measures the shortest time between the events of a stream: the pace
/// of its engine while it reads no prompt beside.
class EventPace {
 public:
  /// @brief Records that events have arrived together.
  void Record(std::uint64_t events, TimePoint now);

  /// @brief Discards all samples, for the next attempt of the request.
  void Reset() { *this = EventPace(); }

  /// @brief Half of the shortest time over three events in a row, which evens
  /// out that one of them is late by the network.
  /// @return None if there were no three events that arrived one by one.
  std::optional<Duration> shortest() const { return shortest_; }

 private:
  std::optional<TimePoint> last_;
  std::optional<TimePoint> before_last_;
  std::optional<Duration> shortest_;
};

}  // namespace rattanward::proxy
