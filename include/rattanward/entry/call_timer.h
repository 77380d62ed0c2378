#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "rattanward/domain/time.h"

namespace rattanward::entry {

/// @brief Calls a function once after a delay.
/// @note Not thread-safe. The function is released when it has been called,
/// replaced or cancelled.
class CallTimer {
 public:
  using Callback = std::function<void()>;

  CallTimer() = default;
  CallTimer(const CallTimer&) = delete;
  CallTimer& operator=(const CallTimer&) = delete;
  virtual ~CallTimer() = default;

  /// @brief Calls the function after the delay, in place of a function that
  /// was started before and not called yet.
  virtual void Start(Duration delay, Callback callback) = 0;
  virtual void Cancel() = 0;
};

/// @brief Creates the timers of an attempt and of its calls.
using CallTimerFactory = std::function<std::unique_ptr<CallTimer>()>;

/// @brief Returns a factory of timers that run on an event loop.
/// @param io Must outlive the timers.
CallTimerFactory MakeCallTimerFactory(asio::io_context& io);

}  // namespace rattanward::entry
