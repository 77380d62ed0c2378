#pragma once

#include <cstdint>
#include <deque>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Counts events of a moving window of time, by whole seconds.
/// @note It never counts too few: an event leaves up to a second late.
class SlidingCount {
 public:
  /// @param window Length of the window.
  explicit SlidingCount(Duration window) : window_(window) {}

  /// @brief Adds events at a moment.
  void Add(std::uint32_t events, TimePoint now);

  /// @brief Events in the window that ends now.
  std::uint32_t Count(TimePoint now);

  /// @brief Time until the oldest counted events leave the window.
  Duration UntilNextExpiry(TimePoint now) const;

 private:
  struct Bucket {
    std::int64_t second = 0;
    std::uint32_t events = 0;
  };

  TimePoint ExpiryOf(const Bucket& bucket) const;

  Duration window_;
  std::deque<Bucket> buckets_;
  std::uint32_t total_ = 0;
};

}  // namespace rattanward::policy
