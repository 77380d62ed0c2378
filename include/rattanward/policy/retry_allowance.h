#pragma once

#include <cstdint>
#include <deque>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Limits that all entries keep to together.
struct RetryLimits {
  /// Repeats allowed for each request.
  double ratio = 0.2;
  /// Repeats allowed in a window, beside the ratio, over all entries.
  double fixed_retries = 10;
  Duration window{std::chrono::seconds(10)};

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

/// @brief Counts the repeats of one service at one entry.
/// @note The ratio is of this entry's own requests, so it adds up by itself;
/// the fixed part is divided by the number of entries. A margin bears with
/// entries that come and go.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimits limits) : limits_(limits) {}

  /// @brief Notes a request of a caller.
  void RecordRequest(TimePoint now);

  /// @brief Takes one repeat.
  /// @param entries Entries that share the fixed part.
  /// @return False if the allowance is spent.
  bool TryTake(std::size_t entries, TimePoint now);

 private:
  static void Expire(std::deque<TimePoint>* times, TimePoint before);

  RetryLimits limits_;
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace rattanward::policy
