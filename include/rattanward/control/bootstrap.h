#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/domain/ids.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::control {

/// @brief Determines the membership with which a blank data folder may
/// bootstrap a cluster.
/// @param self Hello of this control VM.
/// @param initial_voters Endpoints of the initial voters, this control VM
/// included.
/// @param hellos Newest hello of each endpoint.
/// @return The initial membership, identical at every initial voter, or
/// std::nullopt if this control VM must not bootstrap: an initial voter has not
/// sent a hello yet, this control VM is not an initial voter, or the cluster
/// already exists without this data folder. In the last case it waits until
/// the leader adds it.
/// @note A voter that has already started reports its membership, which is
/// adopted only if it contains the id of this data folder. A voter whose data
/// folder was erased therefore cannot rejoin under its former identity.
std::optional<consensus::Membership> InitialMembership(
    const protocol::VoterHello& self,
    const std::vector<Endpoint>& initial_voters,
    const std::map<Endpoint, protocol::VoterHello>& hellos);

}  // namespace rattanward::control
