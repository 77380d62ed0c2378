#include <algorithm>
#include <string>

#include "rattanward/policy/probation.h"
#include "rattanward/policy/standard_dispatcher.h"

namespace rattanward::policy {
namespace {

/// Time for which an upstream gets no new requests after a crash or a failed
/// connect.
constexpr Duration kAvoidAfterFailure = std::chrono::seconds(1);
/// Time for which an upstream gets no new requests after it refused one because
/// of its load.
constexpr Duration kAvoidAfterRefusal = std::chrono::milliseconds(100);
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);

/// Whether the outcome of an attempt indicates that the upstream crashed. An
/// error status or an invalid answer does not.
bool IndicatesCrash(const AttemptResult& result) {
  if (result.end == AttemptEnd::kSilent) {
    return true;
  }
  if (result.end != AttemptEnd::kBroken || result.verdict == Verdict::kNotRun) {
    return false;
  }
  switch (result.error.code) {
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kUpstreamMalformed:
    case ErrorCode::kWrongRequestId:
    case ErrorCode::kStreamGap:
      return false;
    default:
      return true;
  }
}

/// Time for which the upstream gets no new requests. It is zero after an error
/// answer; otherwise a request that always fails could block the upstream for
/// all others.
Duration AvoidDuration(const AttemptResult& result) {
  if (result.end == AttemptEnd::kRefused) {
    return kAvoidAfterRefusal;
  }
  const bool unreachable =
      result.end == AttemptEnd::kConnectFailed || IndicatesCrash(result);
  return unreachable ? kAvoidAfterFailure : Duration(0);
}

/// Whether the upstream asked for back-off, and the request surely has not run.
bool WasTurnedAway(const AttemptResult& result) {
  return result.end == AttemptEnd::kRefused && result.backoff_for.has_value();
}

/// Whether the upstream may go on with a request whose attempt has ended here.
bool MayStillRun(const AttemptResult& result) {
  const bool let_go = result.end == AttemptEnd::kCallerLeft ||
                      result.end == AttemptEnd::kBroken;
  return let_go && result.verdict != Verdict::kNotRun &&
         !IndicatesCrash(result);
}

bool MayBeRetried(AttemptEnd end) {
  return end == AttemptEnd::kRefused || end == AttemptEnd::kConnectFailed ||
         end == AttemptEnd::kBroken || end == AttemptEnd::kSilent;
}

}  // namespace

void StandardDispatcher::FirstToken(const RequestId& request, TimePoint now) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end() || it->second.upstream.empty() ||
      it->second.first_token) {
    return;
  }
  OpenRequest& open = it->second;
  UpstreamState* upstream = upstreams_.Find(open.upstream);
  if (upstream == nullptr) {
    return;
  }
  abandoned_.RecordAlive({open.upstream}, now);
  for (RunningAttempt& attempt : upstream->running) {
    if (attempt.request == request) {
      attempt.first_token_seen = true;
      open.first_token = now;
      const Duration wait = now - attempt.started;
      latency_.RecordFirstToken(open.declared.name, open.target, wait, now);
      RecordFirstToken(upstream, wait, now);
    }
  }
}

std::vector<Decision> StandardDispatcher::Finish(const AttemptResult& result,
                                                 TimePoint now) {
  const auto it = open_requests_.find(result.request);
  if (it == open_requests_.end() || it->second.upstream.empty() ||
      it->second.attempt != result.attempt) {
    return {};
  }
  OpenRequest& open = it->second;
  const UpstreamState* upstream = upstreams_.Find(open.upstream);
  std::vector<Target> targets = {open.target};
  if (upstream != nullptr) {
    targets = TargetsOf(upstream->announcement);
  }
  Decisions out;
  RecordAttemptEnd(open, result, now);
  open.upstream = {};
  open.turned_away += WasTurnedAway(result) ? 1 : 0;
  open.verdict = Strongest(open.verdict, result.verdict);
  if (result.end == AttemptEnd::kCompleted) {
    retry_budget_.RecordSuccess(open.declared.tier);
    Close(result.request);
  } else if (result.end == AttemptEnd::kCallerLeft) {
    Close(result.request);
  } else {
    FinishFailed(&open, result, &out, now);
  }
  for (const Target& target : targets) {
    DispatchWaiting(target, &out, now);
    RefuseWithoutUpstream(target, &out);
  }
  return out;
}

void StandardDispatcher::RecordAttemptEnd(const OpenRequest& open,
                                          const AttemptResult& result,
                                          TimePoint now) {
  if (IndicatesCrash(result)) {
    RecordCrash(open.upstream, now);
  }
  UpstreamState* upstream = upstreams_.Find(open.upstream);
  if (upstream != nullptr && result.backoff_for) {
    const Duration counted = upstream->backoff.Ask(*result.backoff_for, now);
    events_.push_back({EventId::kUpstreamBackoff,
                       {{"request", open.info.id.str()},
                        {"upstream", open.upstream.str()},
                        {"backoff_ms", MillisecondText(counted)}}});
  } else if (upstream != nullptr) {
    upstream->avoid_until =
        std::max(upstream->avoid_until, now + AvoidDuration(result));
  }
  const RunningAttempt ended =
      upstreams_.AttemptEnded(open.upstream, open.info.id, now);
  if (MayStillRun(result)) {
    abandoned_.Add({open.upstream}, ended, now);
  }
  const auto running = running_by_fingerprint_.find(open.info.fingerprint);
  if (running != running_by_fingerprint_.end() && --running->second == 0) {
    running_by_fingerprint_.erase(running);
  }
  if (result.end != AttemptEnd::kCompleted) {
    return;
  }
  quarantine_.RecordCompletion(open.info.fingerprint);
  AddChangedParts(part_quarantine_.RecordSuccess(open.info.shared_parts, now));
  const TimePoint first = open.first_token.value_or(now);
  if (!open.first_token) {
    latency_.RecordFirstToken(open.declared.name, open.target,
                              now - ended.started, now);
  }
  latency_.RecordCompletion(open.declared.name, open.target,
                            result.output_tokens, now - first, now);
}

void StandardDispatcher::RecordCrash(const UpstreamId& upstream,
                                     TimePoint now) {
  const UpstreamState* state = upstreams_.Find(upstream);
  // A path that this entry has lost shows nothing of the upstream. One that is
  // leaving as announced cuts what it still runs.
  if (state == nullptr || state->path_lost || state->announcement.draining) {
    return;
  }
  std::vector<RunningAttempt> ran = abandoned_.TakeCrashed({upstream}, now);
  ran.insert(ran.end(), state->running.begin(), state->running.end());
  for (const RunningAttempt& attempt : ran) {
    quarantine_.AddDeath(attempt.fingerprint, upstream, now);
    AddChangedParts(part_quarantine_.RecordCrash(attempt.known_at_start, now));
  }
}

std::optional<Error> StandardDispatcher::CheckRetry(const OpenRequest& open,
                                                    const AttemptResult& result,
                                                    TimePoint now) {
  Error error = result.error;
  if (IsQuarantined(open.info)) {
    return CheckStartable(open, now);
  }
  if (!MayBeRetried(result.end) || result.answer_begun ||
      (!open.info.idempotent && open.verdict != Verdict::kNotRun)) {
    return error;
  }
  // An upstream that asks for back-off has not attempted the request.
  const bool turned_away = WasTurnedAway(result);
  if (open.attempt - open.turned_away >= config_.limits.max_attempts) {
    error.retry_after = kRetryAfterFailure;
    return error;
  }
  if (auto refusal = CheckStartable(open, now)) {
    return refusal;
  }
  if (!upstreams_.HasAvailableUpstream(open.target)) {
    return UnavailableError(open.target);
  }
  if (result.end != AttemptEnd::kConnectFailed && !turned_away &&
      !retry_budget_.TryTake(open.declared.tier)) {
    error.code = ErrorCode::kRetryBudgetSpent;
    error.message = "the retry budget of the tier is exhausted";
    error.retry_after = kRetryAfterFailure;
    return error;
  }
  return std::nullopt;
}

void StandardDispatcher::FinishFailed(OpenRequest* open,
                                      const AttemptResult& result,
                                      Decisions* out, TimePoint now) {
  if (const auto retry_refusal = CheckRetry(*open, result, now)) {
    RefuseOpen(open->info.id, *retry_refusal, out);
    return;
  }
  Enqueue(*open);
}

}  // namespace rattanward::policy
