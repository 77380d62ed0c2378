#pragma once

#include <algorithm>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Retry-after for a refused caller.
/// @param expected Time until the cause of the refusal should be over.
/// @param remaining Time until the caller's deadline.
/// @return The expected time, limited so that the caller keeps about two thirds
/// of its remaining time. Callers that are told to wait longer do not retry.
inline Duration RetryAdvice(Duration expected, Duration remaining) {
  constexpr int kPercent = 100;
  constexpr int kMaxPercentOfRemaining = 32;
  constexpr Duration kMinAdvice{std::chrono::milliseconds(20)};
  return std::max(
      std::min(expected, remaining * kMaxPercentOfRemaining / kPercent),
      kMinAdvice);
}

}  // namespace rattanward::policy
