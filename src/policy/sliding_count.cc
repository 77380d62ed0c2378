#include "rattanward/policy/sliding_count.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

void SlidingCount::Add(std::uint32_t events, TimePoint now) {
  const std::int64_t second = SecondOf(now);
  if (seconds_.empty() || seconds_.back().second < second) {
    seconds_.push_back({second, 0});
  }
  seconds_.back().events += events;
  total_ += events;
}

std::uint32_t SlidingCount::Count(TimePoint now) {
  while (!seconds_.empty() && now >= LeavesAt(seconds_.front())) {
    total_ -= seconds_.front().events;
    seconds_.pop_front();
  }
  return total_;
}

Duration SlidingCount::UntilNextLeaves(TimePoint now) const {
  if (seconds_.empty()) {
    return Duration(0);
  }
  return std::max(Duration(0), LeavesAt(seconds_.front()) - now);
}

TimePoint SlidingCount::LeavesAt(const Second& counted) const {
  return TimePoint(std::chrono::seconds(counted.second + 1)) + window_;
}

}  // namespace rattanward::policy
