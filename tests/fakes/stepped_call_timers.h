#pragma once

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "rattanward/entry/call_timer.h"

namespace rattanward::fakes {

/// @brief Timers that expire only when the test says so.
class SteppedCallTimers {
 public:
  /// @note This object must outlive the timers.
  entry::CallTimerFactory Factory() {
    return [this] { return std::make_unique<Timer>(*this); };
  }

  /// @brief Expires the running timers, in the order of their start.
  /// @note Timers that are started meanwhile keep running.
  void ExpireAll() {
    const std::vector<Timer*> expired = running_;
    for (Timer* timer : expired) {
      // An earlier callback may have cancelled or destroyed this timer.
      if (IsRunning(timer)) {
        timer->Expire();
      }
    }
  }

  /// @brief Delay of the timer that was started last.
  Duration last_delay() const { return last_delay_; }

 private:
  class Timer : public entry::CallTimer {
   public:
    explicit Timer(SteppedCallTimers& owner) : owner_(owner) {}
    ~Timer() override { owner_.Remove(this); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void Start(Duration delay, Callback callback) override {
      Cancel();
      owner_.last_delay_ = delay;
      callback_ = std::move(callback);
      owner_.running_.push_back(this);
    }
    void Cancel() override {
      owner_.Remove(this);
      // Moved out first, since it may own the owner of this timer.
      const Callback released = std::exchange(callback_, nullptr);
    }

   private:
    friend class SteppedCallTimers;
    void Expire() {
      owner_.Remove(this);
      const Callback callback = std::exchange(callback_, nullptr);
      callback();
    }

    SteppedCallTimers& owner_;
    Callback callback_;
  };

  bool IsRunning(const Timer* timer) const {
    return std::find(running_.begin(), running_.end(), timer) != running_.end();
  }
  void Remove(const Timer* timer) {
    running_.erase(std::remove(running_.begin(), running_.end(), timer),
                   running_.end());
  }

  /// In the order of their start.
  std::vector<Timer*> running_;
  Duration last_delay_{0};
};

}  // namespace rattanward::fakes
