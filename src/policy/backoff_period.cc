#include "rattanward/policy/backoff_period.h"

#include <algorithm>

namespace rattanward::policy {

Duration BackoffPeriod::Ask(Duration backoff_for, TimePoint now) {
  const Duration counted = std::min(backoff_for, kLongest);
  end_ = std::max(end_, now + counted);
  return counted;
}

bool BackoffPeriod::Allows(std::uint32_t running, double share, double spread,
                           TimePoint now) const {
  if (Over(now)) {
    return true;
  }
  if (Active(now)) {
    return false;
  }
  const std::chrono::duration<double> returned = now - end_;
  const std::chrono::duration<double> return_time = kReturnTime;
  // The spread decides when the first request returns; less than one request
  // is the part of an entry among many.
  const double allowed =
      std::max(share, 1.0) * (returned / return_time) + spread;
  return running + 1 <= allowed;
}

bool WaitsForBackoffEnd(TimePoint backoff_end, TimePoint deadline,
                        TimePoint now) {
  return backoff_end - now <= (deadline - now) / 2;
}

}  // namespace rattanward::policy
