#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/upstream_table.h"

namespace rattanward::policy {

/// @brief Request attributes that the choice of an upstream depends on.
struct ChoiceQuery {
  Tier tier;
  /// Whether the class's floor is due, which lifts the reservation for higher
  /// tiers.
  bool floor_due = false;
  /// Hash of the start of the prompt; 0 means none.
  std::uint64_t prefix = 0;
  /// Upstreams of earlier attempts, which are excluded.
  std::vector<UpstreamId> tried;
  /// Whether upstreams on probation are used like healthy ones; set when every
  /// usable upstream of the target is banned.
  bool ignore_probation = false;
  /// Additional condition on the upstream; may be empty.
  std::function<bool(const UpstreamState&)> allowed;
  TimePoint now;
};

/// @brief Whether a request may start on an upstream.
/// @note Checks capacity, trunk reservation, draining, probation and recent
/// failures. The load of other entries holds back neither the top tier nor a
/// request whose floor is due while this entry runs nothing on the upstream.
bool CanStartOn(const UpstreamState& upstream, const ChoiceQuery& query);

/// @brief Number of requests of a tier that this entry can run concurrently on
/// an upstream.
std::uint32_t SlotsFor(const UpstreamState& upstream, Tier tier);

/// @brief Chooses upstreams by load: power of two choices, with preference for
/// the entry's own failure domain.
class Chooser {
 public:
  /// @param own_domain Failure domain of this entry.
  /// @param seed Seed of the random choices.
  Chooser(FailureDomain own_domain, std::uint64_t seed);

  /// @brief Chooses among the upstreams of a target.
  /// @param list Upstreams that announce the target.
  /// @param query Attributes of the request.
  /// @return Null if the request can't start on any of them.
  /// Complexity: linear in the length of the list.
  UpstreamState* Choose(const UpstreamTable::List& list,
                        const ChoiceQuery& query);

 private:
  void CollectCandidates(const UpstreamTable::List& list,
                         const ChoiceQuery& query);
  UpstreamState* PickOfTwo(const UpstreamTable::List& list);

  FailureDomain own_domain_;
  std::mt19937_64 random_;
  /// Candidates of the current choice. They are members so that their memory is
  /// reused between calls.
  UpstreamTable::List same_domain_;
  UpstreamTable::List other_domains_;
};

}  // namespace rattanward::policy
