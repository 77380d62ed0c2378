#pragma once

#include <algorithm>

#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief Rate limit of the calls to the platform, a token bucket.
/// @note Half of the accepted rate is used: a leader that has just lost its
/// lease may still have calls under way.
class DutyBudget {
 public:
  /// @param per_second Rate of calls that the platform accepts.
  explicit DutyBudget(double per_second)
      : rate_(per_second / 2), capacity_(std::max(1.0, rate_)) {
    available_ = capacity_;
  }

  /// @brief Takes one call, if the rate allows it.
  bool TryTake(TimePoint now) {
    if (now < blocked_until_) {
      return false;
    }
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    available_ = std::min(capacity_, available_ + passed.count() * rate_);
    if (available_ < 1) {
      return false;
    }
    available_ -= 1;
    return true;
  }

  /// @brief Allows no call before this time.
  void Block(TimePoint until) { blocked_until_ = until; }

 private:
  double rate_;
  double capacity_;
  double available_ = 0;
  TimePoint refilled_at_;
  TimePoint blocked_until_;
};

}  // namespace rattanward::control
