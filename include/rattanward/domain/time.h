#pragma once

#include <chrono>
#include <cstdint>

namespace rattanward {

/// @brief Span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Tag of the monotonic time line that decisions are made on.
/// @note It has no now(): the time comes in by a port or as a parameter.
struct MonotonicClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

/// @brief Moment on a process's monotonic time line.
using TimePoint = MonotonicClock::time_point;

}  // namespace rattanward
