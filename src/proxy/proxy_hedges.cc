#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Work of making one token of an answer, in prompt tokens to be read.
constexpr std::uint64_t kReadTokensPerMadeToken = 10;

policy::HedgeKind KindOf(const Exchange& exchange) {
  return {exchange.routed().route->name, exchange.placement().service};
}

std::uint64_t ExpectedOutputTokens(const RequestTraits& traits) {
  return traits.expected_output_tokens > 0 ? traits.expected_output_tokens
                                           : traits.max_output_tokens / 2;
}

std::string_view HedgeEndName(HedgeEnd end) {
  switch (end) {
    case HedgeEnd::kWon:
      return "won";
    case HedgeEnd::kCancelled:
      return "cancelled";
    case HedgeEnd::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace

std::uint32_t Proxy::HedgePermille(const ServiceName& service) const {
  const RoutedService* declared = table_->FindService(service);
  return declared == nullptr
             ? 0
             : declared->hedge_permille.value_or(options_.hedge_permille);
}

/// Work of a request, in the unit of its service.
std::uint64_t Proxy::HedgeWorkOf(const Exchange& exchange,
                                 const policy::PlacementCharge& charge) const {
  if (placer_.HasEngines(exchange.placement().service)) {
    return charge.pending_prefill_tokens +
           kReadTokensPerMadeToken *
               ExpectedOutputTokens(exchange.routed().traits);
  }
  return static_cast<std::uint64_t>(
      hedges_.UsualTime(KindOf(exchange), MonotonicNow()).count());
}

void Proxy::EarnHedgeBudget(const Exchange& exchange,
                            const policy::PlacementCharge& charge) {
  const ServiceName& service = exchange.placement().service;
  const std::uint32_t permille = HedgePermille(service);
  if (permille > 0 && !exchange.relay_peer()) {
    hedges_.RecordRequest(service, HedgeWorkOf(exchange, charge), permille);
  }
}

std::optional<Duration> Proxy::HedgeDelay(const Exchange& exchange) const {
  if (HedgePermille(exchange.placement().service) == 0) {
    return std::nullopt;
  }
  return hedges_.Delay(KindOf(exchange), exchange.placement().target,
                       MonotonicNow());
}

/// Whether any request waits for a service.
bool Proxy::HasWaiting(const ServiceName& service) const {
  return std::any_of(exchanges_.begin(), exchanges_.end(),
                     [&](const std::shared_ptr<Exchange>& exchange) {
                       return exchange->waiting() &&
                              exchange->placement().service == service;
                     });
}

std::optional<HedgePlacement> Proxy::PlaceHedge(Exchange& exchange) {
  const TimePoint now = MonotonicNow();
  const ServiceName& service = exchange.placement().service;
  std::set<UpstreamId> excluded = exchange.excluded();
  excluded.insert(exchange.upstream());
  if (stop_plan_ || !MayStart(exchange) || !RestrictVersions(exchange) ||
      !CheckNotQuarantined(exchange.routed().fingerprint,
                           exchange.placement().prompt)) {
    return std::nullopt;
  }
  const auto upstream = placer_.Choose(exchange.placement(), excluded, now);
  if (!upstream) {
    meter_.CountHedge(HedgeCount::kNoRoom);
    return std::nullopt;
  }
  HedgePlacement placement;
  placement.upstream = *upstream;
  placement.upstream_start = StartOf(*upstream);
  placement.upstream_version = VersionOf(*upstream);
  placement.sent_at = now;
  policy::PlacementCharge expected;
  expected.pending_prefill_tokens =
      placer_.UncachedTokensAt(*upstream, exchange.placement());
  placement.work = HedgeWorkOf(exchange, expected);
  policy::ServiceRoom room = placer_.RoomOf(service, now);
  room.waiting = HasWaiting(service);
  const policy::HedgeVerdict verdict =
      hedges_.Decide(service, placement.work, room);
  if (verdict != policy::HedgeVerdict::kStart) {
    meter_.CountHedge(verdict == policy::HedgeVerdict::kNoRoom
                          ? HedgeCount::kNoRoom
                          : HedgeCount::kNoBudget);
    return std::nullopt;
  }
  if (!TryTakeRetry(exchange)) {
    meter_.CountHedge(HedgeCount::kNoBudget);
    return std::nullopt;
  }
  placement.connection = Connect(*upstream);
  if (!placement.connection) {
    meter_.CountHedge(HedgeCount::kNoRoom);
    return std::nullopt;
  }
  placement.charge = placer_.RecordSend(*upstream, exchange.placement(), now);
  meter_.CountHedge(HedgeCount::kStarted);
  return placement;
}

void Proxy::OnHedgeEnded(const Exchange& exchange,
                         const HedgePlacement& placement, HedgeEnd end,
                         const ResponseTraits& traits) {
  const TimePoint now = MonotonicNow();
  const ServiceName& service = exchange.placement().service;
  const auto ran =
      static_cast<std::uint64_t>((now - placement.sent_at).count());
  if (!placer_.HasEngines(service) && ran > placement.work) {
    hedges_.RecordExcess(service, ran - placement.work);
  }
  meter_.CountHedge(end == HedgeEnd::kWon         ? HedgeCount::kWon
                    : end == HedgeEnd::kCancelled ? HedgeCount::kCancelled
                                                  : HedgeCount::kFailed);
  Log(EventId::kHedgeEnded, exchange,
      {{"hedge", placement.upstream.str()},
       {"result", std::string(HedgeEndName(end))},
       {"ran_ms", MillisecondText(now - placement.sent_at)}});
  if (end == HedgeEnd::kWon) {
    return;  // The exchange holds the connection and the charge now.
  }
  const bool may_have_begun =
      placement.connection->sent_any() && !traits.not_run;
  if (may_have_begun) {
    OnHedgeLetGo(exchange, placement, end == HedgeEnd::kFailed);
  }
  if (end == HedgeEnd::kFailed) {
    RecordHedgeFailure(placement, traits, now);
  }
  placer_.ReleaseCharge(placement.upstream, placement.charge);
  pool_.Release(placement.upstream, placement.connection, now);
  ScheduleDrain();
}

void Proxy::RecordHedgeFailure(const HedgePlacement& placement,
                               const ResponseTraits& traits, TimePoint now) {
  if (traits.leaving) {
    const membership::InstanceStart upstream{placement.upstream,
                                             placement.upstream_start};
    OnRelayedLeaving(upstream);
  }
  if (traits.backoff_for) {
    placer_.RecordBackoff(placement.upstream, *traits.backoff_for, now);
    return;
  }
  placer_.RecordOutcome(placement.upstream, false);
  if (traits.not_run) {
    placer_.RecordFailure(placement.upstream, false, now);
  }
}

}  // namespace rattanward::proxy
