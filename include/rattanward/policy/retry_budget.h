#pragma once

#include <array>
#include <cstdint>

#include "rattanward/domain/request_class.h"

namespace rattanward::policy {

/// @brief Limits retries to a share of successes, separately for each tier.
/// @note Each tier has its own budget, so that no tier can use up another's.
class RetryBudget {
 public:
  /// Maximum number of retries that a tier can accumulate.
  static constexpr std::uint32_t kMaxSavedRetries = 50;
  /// Retries available to a tier before its first success.
  static constexpr std::uint32_t kInitialRetries = 10;

  /// @brief Sets the ratio of retries to successes.
  /// @param permille Retries per thousand successes; 0 forbids retries.
  void SetShare(std::uint32_t permille);

  /// @brief Records a request that completed.
  void RecordSuccess(Tier tier);

  /// @brief Takes one retry from the tier's budget.
  /// @return False if the budget is used up.
  bool TryTake(Tier tier);

 private:
  std::uint32_t permille_ = 0;
  /// Available retries of each tier, in thousandths of a retry.
  std::array<std::uint32_t, Tier::kCount> saved_milli_{};
  /// Whether the tiers have received kInitialRetries.
  bool initialized_ = false;
};

}  // namespace rattanward::policy
