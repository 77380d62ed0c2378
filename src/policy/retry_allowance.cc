#include "rattanward/policy/retry_allowance.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

/// Share of the declared limits that is used. Entries may join and leave within
/// a window, and each of them uses its part of the fixed retries.
constexpr double kUsedShare = 0.5;

}  // namespace

void RetryAllowance::RecordRequest(TimePoint now) {
  Expire(&requests_, now - limits_.window);
  requests_.push_back(now);
}

bool RetryAllowance::TryTake(std::size_t entries, TimePoint now) {
  Expire(&requests_, now - limits_.window);
  Expire(&retries_, now - limits_.window);
  const double own_fixed_retries =
      limits_.fixed_retries /
      static_cast<double>(std::max<std::size_t>(entries, 1));
  const double allowed =
      kUsedShare * (limits_.ratio * static_cast<double>(requests_.size()) +
                    own_fixed_retries);
  if (static_cast<double>(retries_.size()) + 1 > std::max(allowed, 1.0)) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

void RetryAllowance::Expire(std::deque<TimePoint>* times, TimePoint before) {
  while (!times->empty() && times->front() < before) {
    times->pop_front();
  }
}

}  // namespace rattanward::policy
