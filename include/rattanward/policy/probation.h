#pragma once

#include <cstddef>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/upstream_table.h"

namespace rattanward::policy {

/// @brief Records the time to first token of an attempt. For a probing upstream
/// it ends the probation, or bans it again if it exceeds the limit.
/// @param upstream Upstream that the attempt runs on.
/// @param wait Time from the start of the attempt to its first token.
void RecordFirstToken(UpstreamState* upstream, Duration wait, TimePoint now);

/// @brief Bans upstreams whose time to first token is an outlier relative to
/// the median of their failure domain, and moves those whose ban has ended to
/// probing.
/// @param list Upstreams of one target.
/// Complexity: n log n in the length of the list.
/// @note At most half of the upstreams of a failure domain are on probation at
/// the same time.
void UpdateProbation(const UpstreamTable::List& list, TimePoint now);

}  // namespace rattanward::policy
