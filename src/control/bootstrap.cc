#include "rattanward/control/bootstrap.h"

#include <algorithm>

namespace rattanward::control {
namespace {

bool SameEndpoints(const consensus::Membership& membership,
                   const std::vector<Endpoint>& endpoints) {
  return membership.members.size() == endpoints.size() &&
         std::all_of(membership.members.begin(), membership.members.end(),
                     [&](const consensus::Member& member) {
                       return std::find(endpoints.begin(), endpoints.end(),
                                        member.endpoint) != endpoints.end();
                     });
}

/// Returns the membership that another voter reports if it contains this data
/// folder as a voter and has exactly the given endpoints.
std::optional<consensus::Membership> StartedMembership(
    const protocol::VoterHello& self, const std::vector<Endpoint>& endpoints,
    const protocol::VoterHello& other) {
  const auto membership = consensus::DecodeMembership(other.membership);
  if (membership && consensus::IsVoter(membership.value(), self.id) &&
      SameEndpoints(membership.value(), endpoints)) {
    return membership.value();
  }
  return std::nullopt;
}

}  // namespace

std::optional<consensus::Membership> InitialMembership(
    const protocol::VoterHello& self,
    const std::vector<Endpoint>& initial_voters,
    const std::map<Endpoint, protocol::VoterHello>& hellos) {
  consensus::Membership membership;
  bool complete = true;
  for (const Endpoint& endpoint : initial_voters) {
    if (endpoint == self.peer_endpoint) {
      membership.members.push_back(
          {self.id, endpoint, consensus::MemberRole::kVoter});
      continue;
    }
    const auto it = hellos.find(endpoint);
    if (it == hellos.end()) {
      complete = false;
      continue;
    }
    if (!it->second.membership.empty()) {
      return StartedMembership(self, initial_voters, it->second);
    }
    membership.members.push_back(
        {it->second.id, endpoint, consensus::MemberRole::kVoter});
  }
  const bool includes_self = consensus::IsVoter(membership, self.id);
  if (!complete || !includes_self) {
    return std::nullopt;
  }
  std::sort(membership.members.begin(), membership.members.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return membership;
}

}  // namespace rattanward::control
