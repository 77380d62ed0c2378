#pragma once

#include <type_traits>

#include "rattanward/ledger/commands.h"

namespace rattanward::ledger {

/// @brief Constrains Fields() to one struct, const or not.
template <class Self, class T>
concept Is = std::is_same_v<std::remove_const_t<Self>, T>;

// Fields(value, visitor) names the encoded fields of each struct in order.
// Adding a field changes the wire format.

void Fields(Is<ClaimKey> auto& v, auto& visit) { visit(v.account, v.key); }
void Fields(Is<StoredOutcome> auto& v, auto& visit) {
  visit(v.verdict, v.status, v.content_type, v.has_body, v.body);
}
void Fields(Is<ConfigApply> auto& v, auto& visit) {
  visit(v.command_id, v.expected, v.text);
}
void Fields(Is<ClaimBegin> auto& v, auto& visit) {
  visit(v.claim, v.body_hash, v.attempt, v.owner, v.window);
}
void Fields(Is<ClaimRelease> auto& v, auto& visit) {
  visit(v.claim, v.attempt, v.window);
}
void Fields(Is<ClaimFinish> auto& v, auto& visit) {
  visit(v.claim, v.attempt, v.outcome);
}
void Fields(Is<ClaimsAbandon> auto& v, auto& visit) { visit(v.owner); }
void Fields(Is<FencingTake> auto& v, auto& visit) {
  visit(v.command_id, v.resource, v.holder);
}
void Fields(Is<UpstreamDrain> auto& v, auto& visit) {
  visit(v.command_id, v.upstream, v.drained);
}
void Fields(Is<QuarantineChange> auto& v, auto& visit) {
  visit(v.command_id, v.fingerprint, v.quarantined);
}
void Fields(Is<EntryRegister> auto& v, auto& visit) {
  visit(v.process, v.vm, v.failure_domain);
}
void Fields(Is<EntryForget> auto& v, auto& visit) {
  visit(v.command_id, v.process, v.vm);
}
void Fields(Is<TimeMark> auto&, auto& visit) { visit(); }
void Fields(Is<RoutingDeclare> auto& v, auto& visit) {
  visit(v.version, v.text);
}
void Fields(Is<RoutingHeld> auto& v, auto& visit) { visit(v.version); }
void Fields(Is<StampedCommand> auto& v, auto& visit) {
  visit(v.time, v.command);
}
void Fields(Is<Done> auto&, auto& visit) { visit(); }
void Fields(Is<ConfigCommitted> auto& v, auto& visit) { visit(v.version); }
void Fields(Is<ConfigConflict> auto& v, auto& visit) { visit(v.newest); }
void Fields(Is<ClaimTaken> auto& v, auto& visit) { visit(v.attempt); }
void Fields(Is<ClaimRunning> auto& v, auto& visit) { visit(v.owner); }
void Fields(Is<ClaimStored> auto& v, auto& visit) { visit(v.outcome); }
void Fields(Is<FencingTaken> auto& v, auto& visit) { visit(v.number); }
void Fields(Is<Refused> auto& v, auto& visit) { visit(v.code, v.message); }

}  // namespace rattanward::ledger
