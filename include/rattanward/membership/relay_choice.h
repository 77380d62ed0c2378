#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::membership {

/// @brief An entry that may pass messages on within its failure domain.
struct RelayCandidate {
  FailureDomain failure_domain;
  Endpoint endpoint;

  friend bool operator==(const RelayCandidate&,
                         const RelayCandidate&) = default;
};

/// @brief One entry of each other failure domain that passes messages on.
/// @param own Failure domain of the entry that asks.
/// @param turn Any number that differs from report to report, so that the work
/// is shared and a relay that is down costs one turn.
/// Complexity: linear in the number of candidates, times a logarithm.
inline std::vector<Endpoint> ChooseRelays(
    const std::vector<RelayCandidate>& candidates,
    const FailureDomain& own_domain, std::uint64_t rotation) {
  std::map<FailureDomain, std::vector<Endpoint>> by_domain;
  for (const RelayCandidate& candidate : candidates) {
    if (candidate.failure_domain != own_domain) {
      by_domain[candidate.failure_domain].push_back(candidate.endpoint);
    }
  }
  std::vector<Endpoint> relays;
  relays.reserve(by_domain.size());
  for (const auto& [domain, endpoints] : by_domain) {
    relays.push_back(endpoints[rotation % endpoints.size()]);
  }
  return relays;
}

}  // namespace rattanward::membership
