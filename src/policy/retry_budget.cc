#include "rattanward/policy/retry_budget.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kMilliPerRetry = 1000;

std::size_t Index(Tier tier) {
  return std::min<std::size_t>(tier.value, Tier::kCount - 1);
}

}  // namespace

void RetryBudget::SetShare(std::uint32_t permille) {
  permille_ = permille;
  if (!initialized_) {
    saved_milli_.fill(kInitialRetries * kMilliPerRetry);
    initialized_ = true;
  }
}

void RetryBudget::RecordSuccess(Tier tier) {
  std::uint32_t& saved_milli = saved_milli_[Index(tier)];
  saved_milli =
      std::min(saved_milli + permille_, kMaxSavedRetries * kMilliPerRetry);
}

bool RetryBudget::TryTake(Tier tier) {
  std::uint32_t& saved_milli = saved_milli_[Index(tier)];
  if (permille_ == 0 || saved_milli < kMilliPerRetry) {
    return false;
  }
  saved_milli -= kMilliPerRetry;
  return true;
}

}  // namespace rattanward::policy
