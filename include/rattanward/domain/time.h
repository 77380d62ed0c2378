#pragma once

#include <chrono>
#include <cstdint>
#include <string>

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

/// @brief Whole milliseconds of a duration as text, for logs and messages.
inline std::string MillisecondText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace rattanward
