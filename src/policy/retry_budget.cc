#include "rattanward/policy/retry_budget.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kOneRetry = 1000;

std::size_t Index(Tier tier) {
  return std::min<std::size_t>(tier.value, Tier::kCount - 1);
}

}  // namespace

void RetryBudget::SetShare(std::uint32_t permille) {
  permille_ = permille;
  if (!started_) {
    saved_.fill(kInitial * kOneRetry);
    started_ = true;
  }
}

void RetryBudget::Success(Tier tier) {
  std::uint32_t& saved = saved_[Index(tier)];
  saved = std::min(saved + permille_, kMaxSaved * kOneRetry);
}

bool RetryBudget::TryTake(Tier tier) {
  std::uint32_t& saved = saved_[Index(tier)];
  if (permille_ == 0 || saved < kOneRetry) {
    return false;
  }
  saved -= kOneRetry;
  return true;
}

}  // namespace rattanward::policy
