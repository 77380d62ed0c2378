#pragma once

#include <vector>

#include "rattanward/membership/instance_directory.h"

namespace rattanward::membership {

/// @brief The starts that announced their exit by draining, by their own
/// answers or by deregistering.
/// @param records Records as received or merged.
/// @param directory Directory into which the records have been merged. An
/// instance that a later start has replaced at its address is gone without
/// having announced it.
std::vector<InstanceStart> PlannedExits(
    const std::vector<InstanceRecord>& records,
    const InstanceDirectory& directory);

}  // namespace rattanward::membership
