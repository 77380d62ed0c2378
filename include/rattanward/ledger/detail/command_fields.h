#pragma once

#include <type_traits>

#include "rattanward/ledger/commands.h"

namespace rattanward::ledger {

/// @brief Matches T and const T, so that one VisitFields() serves both reading
/// and writing.
template <class Self, class T>
concept MaybeConst = std::is_same_v<std::remove_const_t<Self>, T>;

// VisitFields(value, visitor) passes the encoded fields of a struct to the
// visitor in order. Adding, removing or reordering fields changes the format on
// the wire and in the log.

void VisitFields(MaybeConst<ClaimKey> auto& v, auto& visit) {
  visit(v.account, v.key);
}
void VisitFields(MaybeConst<StoredOutcome> auto& v, auto& visit) {
  visit(v.verdict, v.status, v.content_type, v.has_body, v.body);
}
void VisitFields(MaybeConst<ConfigApply> auto& v, auto& visit) {
  visit(v.command_id, v.expected, v.text);
}
void VisitFields(MaybeConst<ClaimBegin> auto& v, auto& visit) {
  visit(v.claim, v.body_hash, v.attempt, v.owner, v.window);
}
void VisitFields(MaybeConst<ClaimRelease> auto& v, auto& visit) {
  visit(v.claim, v.attempt, v.window);
}
void VisitFields(MaybeConst<ClaimFinish> auto& v, auto& visit) {
  visit(v.claim, v.attempt, v.outcome);
}
void VisitFields(MaybeConst<ClaimsAbandon> auto& v, auto& visit) {
  visit(v.owner);
}
void VisitFields(MaybeConst<FencingTake> auto& v, auto& visit) {
  visit(v.command_id, v.resource, v.holder);
}
void VisitFields(MaybeConst<UpstreamDrain> auto& v, auto& visit) {
  visit(v.command_id, v.upstream, v.drained);
}
void VisitFields(MaybeConst<QuarantineChange> auto& v, auto& visit) {
  visit(v.command_id, v.fingerprint, v.quarantined);
}
void VisitFields(MaybeConst<EntryRegister> auto& v, auto& visit) {
  visit(v.process, v.vm, v.failure_domain);
}
void VisitFields(MaybeConst<EntryForget> auto& v, auto& visit) {
  visit(v.command_id, v.process, v.vm);
}
void VisitFields(MaybeConst<LogTimeAdvance> auto&, auto& visit) { visit(); }
void VisitFields(MaybeConst<RoutingDeclare> auto& v, auto& visit) {
  visit(v.version, v.text);
}
void VisitFields(MaybeConst<UsageStore> auto& v, auto& visit) {
  visit(v.window, v.counts);
}
void VisitFields(MaybeConst<RoutingHeld> auto& v, auto& visit) {
  visit(v.version);
}
void VisitFields(MaybeConst<StampedCommand> auto& v, auto& visit) {
  visit(v.time, v.command);
}
void VisitFields(MaybeConst<Done> auto&, auto& visit) { visit(); }
void VisitFields(MaybeConst<ConfigCommitted> auto& v, auto& visit) {
  visit(v.version);
}
void VisitFields(MaybeConst<ConfigConflict> auto& v, auto& visit) {
  visit(v.newest);
}
void VisitFields(MaybeConst<ClaimTaken> auto& v, auto& visit) {
  visit(v.attempt);
}
void VisitFields(MaybeConst<ClaimRunning> auto& v, auto& visit) {
  visit(v.owner);
}
void VisitFields(MaybeConst<ClaimStored> auto& v, auto& visit) {
  visit(v.outcome);
}
void VisitFields(MaybeConst<FencingTaken> auto& v, auto& visit) {
  visit(v.number);
}
void VisitFields(MaybeConst<Refused> auto& v, auto& visit) {
  visit(v.code, v.message);
}

}  // namespace rattanward::ledger
