#pragma once

#include <algorithm>
#include <cstdint>

#include "rattanward/domain/request_class.h"

namespace rattanward::policy {

/// Share of an upstream's capacity that is reserved for each higher tier, in
/// thousandths.
inline constexpr std::uint32_t kReservePermille = 100;

/// @brief Trunk reservation: load limit below which a request of a tier may
/// start on an upstream.
/// @param capacity Requests that the upstream runs concurrently.
/// @param tier Tier of the request to start.
/// @return The capacity minus the reservation for the higher tiers; at least 1
/// unless the capacity is 0.
/// @note An upstream with a capacity of 1 reserves nothing.
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
