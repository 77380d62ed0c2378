#pragma once

#include <array>
#include <cstdint>

#include "rattanward/domain/request_class.h"

namespace rattanward::policy {

/// @brief Retries allowed as a share of successes, counted tier by tier.
/// @note Each tier has its own budget, so that no tier can spend another's.
class RetryBudget {
 public:
  /// Retries that a tier can save up.
  static constexpr std::uint32_t kMaxSavedRetries = 50;
  /// Retries that a tier has before its first success.
  static constexpr std::uint32_t kInitialRetries = 10;

  /// @brief Sets the share of successes that may be spent on retries.
  /// @param permille Retries for each thousand successes; 0 forbids retries.
  void SetShare(std::uint32_t permille);

  /// @brief Notes a request that ended whole.
  void RecordSuccess(Tier tier);

  /// @brief Spends one retry.
  /// @return False if the tier's budget is spent.
  bool TryTake(Tier tier);

 private:
  std::uint32_t permille_ = 0;
  /// Saved retries of each tier, in thousandths.
  std::array<std::uint32_t, Tier::kCount> saved_milli_{};
  bool initialized_ = false;
};

}  // namespace rattanward::policy
