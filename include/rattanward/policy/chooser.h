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

/// @brief What one choice of an upstream depends on.
struct ChoiceQuery {
  Tier tier;
  /// The class's floor is due: the reservation for higher tiers is lifted.
  bool floor_due = false;
  /// Hash of the prompt's start; 0 means none.
  std::uint64_t prefix = 0;
  /// Upstreams of earlier attempts, which are not tried again.
  std::vector<UpstreamId> tried;
  /// Set when every upstream of the target is on probation.
  bool ignore_probation = false;
  /// A further condition on the upstream; may be empty.
  std::function<bool(const UpstreamState&)> allowed;
  TimePoint now;
};

/// @brief Whether a tier's request may start on an upstream.
/// @note Capacity, trunk reservation, draining, probation and recent failures
/// are checked. An entry that runs nothing there may start one request of the
/// top tier or with its floor due, though other entries fill the upstream.
bool CanStartOn(const UpstreamState& upstream, const ChoiceQuery& query);

/// @brief Requests of a tier that this entry can have running on an upstream.
std::uint32_t SlotsFor(const UpstreamState& upstream, Tier tier);

/// @brief Chooses upstreams by load: power of two choices, own domain first.
class Chooser {
 public:
  /// @param local Failure domain of this entry.
  /// @param seed Seed of the random choices.
  Chooser(FailureDomain own_domain, std::uint64_t seed);

  /// @brief Chooses among the upstreams of a target.
  /// @param list Upstreams that announce the target.
  /// @param query The request's side of the choice.
  /// @return Null if none has a place.
  /// Complexity: linear in the length of the list.
  UpstreamState* Choose(const UpstreamTable::List& list,
                        const ChoiceQuery& query);

 private:
  void CollectCandidates(const UpstreamTable::List& list,
                         const ChoiceQuery& query);
  UpstreamState* PickOfTwo(const UpstreamTable::List& list);

  FailureDomain own_domain_;
  std::mt19937_64 random_;
  /// Kept between calls, so that a choice allocates nothing.
  UpstreamTable::List same_domain_;
  UpstreamTable::List other_domains_;
};

}  // namespace rattanward::policy
