#pragma once

#include <cstdint>
#include <deque>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Counts events in a sliding time window with a resolution of 1 s.
/// @note Never counts too few: events expire up to 1 s late.
class SlidingCount {
 public:
  /// @param window Length of the window.
  explicit SlidingCount(Duration window) : window_(window) {}

  /// @brief Adds events that happen now.
  void Add(std::uint32_t events, TimePoint now);

  /// @brief Number of events in the window that ends now.
  std::uint32_t Count(TimePoint now);

  /// @brief Time until the oldest events expire; 0 if there are none.
  Duration UntilNextExpiry(TimePoint now) const;

 private:
  struct Bucket {
    /// Whole seconds since the epoch of TimePoint.
    std::int64_t second = 0;
    std::uint32_t events = 0;
  };

  TimePoint ExpiryOf(const Bucket& bucket) const;

  Duration window_;
  std::deque<Bucket> buckets_;
  std::uint32_t total_ = 0;
};

}  // namespace rattanward::policy
