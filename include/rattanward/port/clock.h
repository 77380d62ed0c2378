#pragma once

#include <concepts>
#include <functional>

#include "rattanward/domain/time.h"

namespace rattanward::port {

/// @brief Timers of the control thread; parts subscribe to it.
/// @note Callbacks run on the control thread and must not block.
template <class T>
concept TimerService = requires(T service, Duration period,
                                std::function<void(TimePoint)> fn) {
  /// The current moment of the monotonic time line.
  { service.Now() } -> std::same_as<TimePoint>;
  /// Calls fn once after the delay.
  service.After(period, fn);
  /// Calls fn again and again, with the period between two calls.
  service.Every(period, fn);
};

}  // namespace rattanward::port
