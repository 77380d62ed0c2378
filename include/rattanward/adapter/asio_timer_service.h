#pragma once

#include <time.h>  // NOLINT(modernize-deprecated-headers): CLOCK_BOOTTIME

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "rattanward/domain/time.h"
#include "rattanward/port/clock.h"

namespace rattanward::adapter {

/// @brief The current moment of the process's monotonic time line.
/// @note Counts the time that a VM spent suspended, unlike steady_clock, so
/// that a lease is over when a suspended process wakes.
inline TimePoint MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// @brief Timers on an io_context; see port::TimerService.
/// @note Callbacks run on the thread that runs the io_context. A stopped
/// service calls nothing more; the io_context must outlive the service.
class AsioTimerService {
 public:
  using Callback = std::function<void(TimePoint)>;

  explicit AsioTimerService(asio::io_context& io)
      : io_(io), alive_(std::make_shared<bool>(true)) {}
  ~AsioTimerService() { Stop(); }
  AsioTimerService(const AsioTimerService&) = delete;
  AsioTimerService& operator=(const AsioTimerService&) = delete;

  /// @brief The current moment of the monotonic time line.
  TimePoint Now() const { return MonotonicNow(); }

  /// @brief Calls fn once after the delay.
  void After(Duration delay, Callback fn) {
    Wait(std::make_shared<asio::steady_timer>(io_), delay, Duration::zero(),
         std::make_shared<Callback>(std::move(fn)), alive_);
  }

  /// @brief Calls fn again and again, with the period between two calls.
  void Every(Duration period, Callback fn) {
    Wait(std::make_shared<asio::steady_timer>(io_), period, period,
         std::make_shared<Callback>(std::move(fn)), alive_);
  }

  /// @brief Ends all subscriptions; to be called on the io_context's thread.
  void Stop() { *alive_ = false; }

 private:
  static void Wait(const std::shared_ptr<asio::steady_timer>& timer,
                   Duration delay, Duration period,
                   const std::shared_ptr<Callback>& fn,
                   const std::shared_ptr<bool>& alive) {
    timer->expires_after(delay);
    timer->async_wait([timer, period, fn, alive](const asio::error_code& e) {
      if (e || !*alive) {
        return;
      }
      (*fn)(MonotonicNow());
      if (*alive && period != Duration::zero()) {
        Wait(timer, period, period, fn, alive);
      }
    });
  }

  asio::io_context& io_;
  std::shared_ptr<bool> alive_;
};

static_assert(port::TimerService<AsioTimerService>);

}  // namespace rattanward::adapter
