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
  if (buckets_.empty() || buckets_.back().second < second) {
    buckets_.push_back({second, 0});
  }
  buckets_.back().events += events;
  total_ += events;
}

std::uint32_t SlidingCount::Count(TimePoint now) {
  while (!buckets_.empty() && now >= ExpiryOf(buckets_.front())) {
    total_ -= buckets_.front().events;
    buckets_.pop_front();
  }
  return total_;
}

Duration SlidingCount::UntilNextExpiry(TimePoint now) const {
  if (buckets_.empty()) {
    return Duration(0);
  }
  return std::max(Duration(0), ExpiryOf(buckets_.front()) - now);
}

TimePoint SlidingCount::ExpiryOf(const Bucket& bucket) const {
  return TimePoint(std::chrono::seconds(bucket.second + 1)) + window_;
}

}  // namespace rattanward::policy
