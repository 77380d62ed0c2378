#pragma once

#include <algorithm>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief When a refused caller should come again.
/// @param expected When the cause of the refusal should be over.
/// @param left Time that the caller has left.
/// @return The expected time, but no later than leaves the caller two thirds
/// of its time: one that is told more does not come again.
inline Duration RetryAdvice(Duration expected, Duration remaining) {
  constexpr int kPercent = 100;
  constexpr int kMaxPercentOfRemaining = 32;
  constexpr Duration kMinAdvice{std::chrono::milliseconds(20)};
  return std::max(
      std::min(expected, remaining * kMaxPercentOfRemaining / kPercent),
      kMinAdvice);
}

}  // namespace rattanward::policy
