#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::membership {

/// @brief An entry that can relay messages within its failure domain.
struct RelayCandidate {
  FailureDomain failure_domain;
  Endpoint endpoint;

  friend bool operator==(const RelayCandidate&,
                         const RelayCandidate&) = default;
};

/// @brief Chooses one relay in each failure domain other than the own one.
/// @param candidates The known relays, in any failure domain.
/// @param own_domain Failure domain of the entry that asks.
/// @param rotation Selects the relay, modulo the number of candidates in a
/// domain. A number that differs from report to report spreads the work and
/// limits the effect of a failed relay to single reports.
/// @return The endpoints, ordered by failure domain.
/// Complexity: n log d for n candidates in d failure domains.
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
