#pragma once

#include <cstddef>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/upstream_table.h"

namespace rattanward::policy {

/// @brief Notes a first token on an upstream; a probe ends or renews probation.
/// @param upstream Where the attempt runs.
/// @param wait Time from the start of the attempt to its first token.
/// @param now The current moment.
void RecordFirstToken(UpstreamState* upstream, Duration wait, TimePoint now);

/// @brief Puts upstreams on probation whose first tokens come late, measured
/// against the median of their failure domain, and lets those probe whose ban
/// has ended.
/// @param list Upstreams of one target.
/// @param now The current moment.
/// @note At most half of the upstreams of a domain are banned at once.
/// Complexity: n log n in the length of the list.
void UpdateProbation(const UpstreamTable::List& list, TimePoint now);

}  // namespace rattanward::policy
