#pragma once

#include <cstdint>
#include <deque>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Limits on retries of one service, over all entries together.
struct RetryLimits {
  /// Retries allowed for each request.
  double ratio = 0.2;
  /// Retries allowed per window in addition to the ratio, over all entries.
  double fixed_retries = 10;
  Duration window{std::chrono::seconds(10)};

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// @brief Limits the retries of one service at one entry.
/// @note The ratio applies to this entry's own requests, so the sum over all
/// entries keeps to it without coordination. The fixed part is divided by the
/// number of entries. A safety margin covers entries that join, leave or
/// restart within a window.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimits limits) : limits_(limits) {}

  /// @brief Records a request of a caller.
  void RecordRequest(TimePoint now);

  /// @brief Takes one retry from the allowance.
  /// @param entries Entries that share the fixed part.
  /// @return False if the allowance is used up.
  bool TryTake(std::size_t entries, TimePoint now);

 private:
  static void Expire(std::deque<TimePoint>* times, TimePoint before);

  RetryLimits limits_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace rattanward::policy
