#include <asio/post.hpp>
#include <string>
#include <vector>

#include "rattanward/policy/retry_advice.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Retry-After while the balancer may still choose this entry again.
constexpr Duration kRetryAfterBeforeNotice{std::chrono::milliseconds(250)};
/// Retry-After once new connections go to other entries.
constexpr Duration kRetryAfterNotice{std::chrono::milliseconds(20)};
/// Event loop rounds in which answers that have arrived are passed on before
/// the final ones are given. A round handles up to 128 sockets.
constexpr int kLastRounds = 40;

}  // namespace

policy::AnswerLength Proxy::LengthOf(const Exchange& exchange) {
  const RequestTraits& traits = exchange.routed().traits;
  return {traits.max_output_tokens, traits.expected_output_tokens};
}

void Proxy::BeginShutdown(const policy::StopPlan& plan) {
  stop_plan_ = plan;
  RefuseTooLate();
}

void Proxy::CloseIdle() {
  refusing_ = true;
  server_.CloseAfterResponses();
  relay_server_.CloseAfterResponses();
}

void Proxy::StopListening() {
  server_.StopListening();
  relay_server_.StopListening();
}

bool Proxy::MayEndInTime(const Exchange& exchange) const {
  if (!stop_plan_) {
    return true;
  }
  const TimePoint now = MonotonicNow();
  const auto expected = run_times_.Expected(exchange.routed().route->name,
                                            exchange.placement().service,
                                            LengthOf(exchange), now);
  return stop_plan_->MayBegin(now, expected, exchange.deadline());
}

Error Proxy::StopError(const std::string& reason, Duration remaining) const {
  Error error = MakeError(ErrorCode::kShuttingDown, reason);
  const bool noticed = !stop_plan_ || !stop_plan_->Takes(MonotonicNow());
  error.retry_after = policy::RetryAdvice(
      noticed ? kRetryAfterNotice : kRetryAfterBeforeNotice, remaining);
  return error;
}

/// Refuses a waiting request that can't end before this entry does.
bool Proxy::RefuseIfTooLate(Exchange& exchange) const {
  if (MayEndInTime(exchange)) {
    return false;
  }
  exchange.Refuse(StopError("entry stops before the request could end",
                            exchange.deadline() - MonotonicNow()));
  return true;
}

/// Also refuses requests that less urgent ones may not overtake in the queue.
void Proxy::RefuseTooLate() {
  if (!stop_plan_) {
    return;
  }
  const std::vector<std::shared_ptr<Exchange>> open(exchanges_.begin(),
                                                    exchanges_.end());
  for (const auto& exchange : open) {
    if (exchange->waiting()) {
      RefuseIfTooLate(*exchange);
    }
  }
  ScheduleDrain();
}

void Proxy::EndOpen() {
  if (ending_ || !stop_plan_) {
    return;
  }
  ending_ = true;
  refusing_ = true;
  StopListening();
  for (const auto& exchange : exchanges_) {
    exchange->ReadAll();
  }
  const TimePoint now = MonotonicNow();
  last_round_at_ = now + (stop_plan_->ends_at() - now) / 2;
  EndOpenAfter(kLastRounds);
}

/// Posted handlers let the event loop look for input in between.
void Proxy::EndOpenAfter(int rounds) {
  if (rounds > 0 && MonotonicNow() < last_round_at_) {
    asio::post(io_, [this, rounds] { EndOpenAfter(rounds - 1); });
  } else {
    EndOpenNow();
  }
}

void Proxy::EndOpenNow() {
  const std::vector<std::shared_ptr<Exchange>> open(exchanges_.begin(),
                                                    exchanges_.end());
  for (const auto& exchange : open) {
    exchange->EndForStop(
        StopError("entry stops", exchange->deadline() - MonotonicNow()));
  }
  server_.CloseAfterResponses();
  relay_server_.CloseAfterResponses();
}

}  // namespace rattanward::proxy
