#include <utility>

#include "rattanward/domain/result.h"
#include "rattanward/policy/admission.h"
#include "rattanward/policy/standard_dispatcher.h"

namespace rattanward::policy {
namespace {

/// Quantile of the first-token time that admission uses as its estimate.
constexpr std::uint32_t kAdmissionQuantilePermille = 750;
constexpr std::uint32_t kMedianPermille = 500;

}  // namespace

std::vector<Decision> StandardDispatcher::Submit(const RequestInfo& request,
                                                 TimePoint now) {
  if (const auto error = CheckRequest(request)) {
    return {Refuse{request.id, *error}};
  }
  const RequestClass& declared = *FindClass(config_, request.request_class);
  bool admitted = false;
  const std::size_t occupancy_before = queue_.TotalOccupancy();
  const auto displaced = AdmitToAccount(request, declared.tier, &admitted, now);
  const bool occupancy_freed = queue_.TotalOccupancy() < occupancy_before;
  if (!admitted) {
    Error error = MakeError(
        ErrorCode::kAccountLimit,
        "client account '" + request.account.str() + "' is at its limit");
    error.retry_after = accounts_.RetryAfter(request.account, now);
    return {Refuse{request.id, error}};
  }
  const Target target = TargetOf(request);
  OpenRequest open{request,          declared, target, 0,   {},
                   Verdict::kNotRun, {},       {},     true};
  // The displaced request counts towards the account's limits until it is
  // certain that the new one is kept.
  open.counted = !displaced;
  Enqueue(open);
  open_requests_.emplace(request.id, std::move(open));
  Decisions out;
  DispatchWaiting(target, &out, now);
  Decisions admission;
  const bool kept = AdmitWaiting(request.id, occupancy_freed, &admission, now);
  if (displaced && kept) {
    RefuseDisplaced(*displaced, request.id, &out, now);
  } else if (displaced) {
    // The new request was refused, so the displaced one returns to the queue.
    queue_.Push(*displaced);
  }
  out.insert(out.end(), admission.begin(), admission.end());
  return out;
}

std::optional<Error> StandardDispatcher::CheckRequest(
    const RequestInfo& request) const {
  if (config_.classes.empty()) {
    return MakeError(ErrorCode::kNoConfiguration,
                     "this entry has no configuration yet");
  }
  if (FindClass(config_, request.request_class) == nullptr) {
    return MakeError(
        ErrorCode::kUnknownClass,
        "request class '" + request.request_class.str() + "' is not declared");
  }
  if (open_requests_.contains(request.id)) {
    return MakeError(ErrorCode::kAlreadyRunning,
                     "request id '" + request.id.str() +
                         "' is already in use at this entry");
  }
  if (quarantine_.StatusOf(request.fingerprint) ==
      QuarantineStatus::kQuarantined) {
    return QuarantinedError();
  }
  const Target target = TargetOf(request);
  if (!upstreams_.HasAvailableUpstream(target)) {
    return UnavailableError(target);
  }
  return std::nullopt;
}

std::optional<QueuedRequest> StandardDispatcher::AdmitToAccount(
    const RequestInfo& request, Tier tier, bool* admitted, TimePoint now) {
  *admitted = accounts_.TryStart(request.account, now) == AccountRefusal::kNone;
  if (*admitted) {
    return std::nullopt;
  }
  auto displaced = queue_.DisplaceFromAccount(request.account, tier);
  *admitted = displaced.has_value();
  return displaced;
}

void StandardDispatcher::RefuseDisplaced(const QueuedRequest& displaced,
                                         const RequestId& by, Decisions* out,
                                         TimePoint now) {
  Error error = MakeError(ErrorCode::kAccountLimit,
                          "displaced by a higher-tier request of the account");
  error.retry_after = accounts_.RetryAfter(displaced.account, now);
  open_requests_.at(displaced.id).counted = false;
  open_requests_.at(by).counted = true;
  RefuseOpen(displaced.id, error, out);
}

bool StandardDispatcher::AdmitWaiting(const RequestId& id, bool occupancy_freed,
                                      Decisions* out, TimePoint now) {
  if (!queue_.Contains(id)) {
    return open_requests_.contains(id);
  }
  const OpenRequest& open = open_requests_.at(id);
  const Duration wait = ExpectedSlotWait(open.target, open.declared, now);
  const Duration first_token = latency_.FirstTokenWait(
      open.declared.name, open.target, kAdmissionQuantilePermille, now);
  if (const auto error =
          CheckDeadline({now, DeadlineOf(open), wait, first_token})) {
    queue_.Remove(id);
    RefuseOpen(id, *error, out);
    return false;
  }
  if (const auto error = CheckStop(open, wait, now)) {
    queue_.Remove(id);
    RefuseOpen(id, *error, out);
    return false;
  }
  if (occupancy_freed) {
    return true;
  }
  const auto shed = queue_.Shed(id, LateCutoff(open.target, now));
  if (!shed) {
    return true;
  }
  const bool own_class = shed->request_class == open.declared.name;
  Error error = MakeError(
      own_class ? ErrorCode::kQueueFull : ErrorCode::kDisplaced,
      own_class ? "the queue of the request class is full"
                : "displaced by a request of the same or a higher tier");
  error.retry_after = RetryAfterBacklog(wait);
  RefuseOpen(shed->id, error, out);
  return shed->id != id;
}

Duration StandardDispatcher::ExpectedSlotWait(const Target& target,
                                              const RequestClass& declared,
                                              TimePoint now) const {
  const Duration own_time =
      latency_.ServiceTime(declared, target, kMedianPermille, now);
  WorkAhead own{1, own_time};
  std::vector<WorkAhead> ahead;
  for (const ClassBacklog& backlog :
       queue_.BacklogAhead(target, declared.name, LateCutoff(target, now))) {
    const RequestClass* other = FindClass(config_, backlog.request_class);
    if (backlog.request_class == declared.name) {
      own.requests = backlog.waiting;
    }
    if (other != nullptr) {
      ahead.push_back(
          {backlog.waiting,
           latency_.ServiceTime(*other, target, kMedianPermille, now)});
    }
  }
  std::uint32_t slots = 0;
  for (const UpstreamState* upstream : upstreams_.Serving(target)) {
    slots += SlotsFor(*upstream, declared.tier);
  }
  const Duration by_tier = ExpectedWait(ahead, slots);
  if (declared.floor_permille == 0) {
    return by_tier;
  }
  return std::min(by_tier,
                  ExpectedFloorWait(own, declared.floor_permille, slots));
}

}  // namespace rattanward::policy
