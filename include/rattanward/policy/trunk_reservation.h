#pragma once

#include <algorithm>
#include <cstdint>

#include "rattanward/domain/request_class.h"

namespace rattanward::policy {

/// Share of an upstream's concurrency kept free for each tier above, in
/// thousandths.
inline constexpr std::uint32_t kReservePermille = 100;

/// @brief Requests that may run on an upstream for one of a tier to start.
/// @param capacity Requests that the upstream runs at once.
/// @param tier Tier of the request that wants to start.
/// @return The capacity less what is reserved for the tiers above, at least 1
/// when there is any capacity.
/// @note An upstream with room for one request reserves nothing.
constexpr std::uint32_t TrunkLimit(std::uint32_t capacity, Tier tier) {
  constexpr std::uint32_t kWholePermille = 1000;
  if (capacity == 0) {
    return 0;
  }
  const std::uint32_t reserved =
      (capacity * tier.value * kReservePermille + kWholePermille - 1) /
      kWholePermille;
  return std::max(1U, capacity - std::min(capacity, reserved));
}

}  // namespace rattanward::policy
