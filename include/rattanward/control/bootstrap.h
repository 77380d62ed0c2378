#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/domain/ids.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::control {

/// @brief Decides whether a blank data folder may start a new cluster.
/// @param self This control VM.
/// @param initial_voters Endpoints of the new cluster, this one included.
/// @param heard The newest hello from each endpoint.
/// @return The first membership, the same at every initial voter; nothing
/// while a voter is missing, or if the cluster exists already and does not
/// know this data folder: then it waits to be added.
/// @note A voter that has started already tells its membership. It counts only
/// if it names this very folder, so a folder that was emptied never comes back
/// as the voter it was.
std::optional<consensus::Membership> InitialMembership(
    const protocol::VoterHello& self,
    const std::vector<Endpoint>& initial_voters,
    const std::map<Endpoint, protocol::VoterHello>& hellos);

}  // namespace rattanward::control
