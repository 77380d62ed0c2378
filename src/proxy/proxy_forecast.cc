#include <algorithm>
#include <string>

#include "rattanward/policy/retry_advice.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// A shorter wait doesn't change the pace of the engines.
constexpr Duration kMinRetryAfter{std::chrono::milliseconds(250)};

policy::StreamKind KindOf(const Exchange& exchange) {
  return {exchange.routed().route->name, exchange.placement().service};
}

}  // namespace

/// Tokens in events of an answer; 0 if they are unknown.
std::uint64_t Proxy::TokensOf(const Exchange& exchange, std::uint64_t events) {
  const RoutedService* service =
      exchange.routed().table->FindService(exchange.placement().service);
  const bool known = exchange.streams() && service != nullptr &&
                     service->engine &&
                     !exchange.routed().traits.resumes_stream;
  return known ? events * service->engine->tokens_per_event : 0;
}

void Proxy::OnPace(const Exchange& exchange, Duration time,
                   std::uint64_t events) {
  end_forecast_.RecordPace(KindOf(exchange), time, TokensOf(exchange, events),
                           MonotonicNow());
}

void Proxy::RecordLength(const Exchange& exchange) {
  const std::uint64_t tokens = TokensOf(exchange, exchange.events());
  if (tokens > 0) {
    end_forecast_.RecordLength(KindOf(exchange), LengthOf(exchange), tokens,
                               MonotonicNow());
  }
}

/// A relayed request counts at the entry that sends it to the upstream.
void Proxy::RecordWork(const Exchange& exchange,
                       const policy::PlacementCharge& charge) {
  if (exchange.relay_peer()) {
    return;
  }
  const RoutedAccount* account = exchange.routed().account;
  shares_.Record(exchange.share_key(),
                 policy::WorkOf(charge.pending_prefill_tokens,
                                policy::ExpectedTokens(LengthOf(exchange))),
                 account == nullptr ? 1 : account->weight, MonotonicNow());
}

/// Time until the first event at the engine that would bring it first.
std::optional<Duration> Proxy::ExpectedFirstEvent(
    const Exchange& exchange) const {
  return placer_.ExpectedFirstEvent(exchange.placement(), exchange.excluded(),
                                    MonotonicNow());
}

/// Refuses a request that waits for an engine once it can't finish in time, not
/// even by an optimistic forecast. Returns whether it was refused.
bool Proxy::RefuseIfUnattainable(Exchange& exchange, TimePoint now) {
  if (!exchange.streams() || !exchange.is_unsent() ||
      !exchange.TakeForecast(now)) {
    return false;
  }
  const Duration left = exchange.deadline() - now;
  const policy::StreamKind kind = KindOf(exchange);
  const policy::AnswerLength length = LengthOf(exchange);
  const auto to_end = end_forecast_.Expected(kind, length, Duration(0), now);
  if (!to_end) {
    return false;
  }
  const Duration first_event =
      ExpectedFirstEvent(exchange).value_or(Duration(0));
  if (first_event + *to_end <= left ||
      !refusal_order_.MayRefuse(exchange.placement(), now)) {
    return false;
  }
  Error error = MakeError(
      ErrorCode::kDeadlineUnattainable,
      "no engine can finish the request in time: first event expected after " +
          MillisecondText(first_event) + " ms, then " +
          std::to_string(end_forecast_.OptimisticTokens(kind, length, now)) +
          " tokens in " + MillisecondText(*to_end) + " ms");
  error.retry_after =
      policy::RetryAdvice(std::max(first_event, kMinRetryAfter), left);
  meter_.RecordUnattainable();
  exchange.Refuse(error);
  return true;
}

}  // namespace rattanward::proxy
