#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/proxy/exchange.h"

// The second attempt of a request whose first one is slow.

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Timeout for a new connection to an upstream.
constexpr Duration kConnectTimeout{std::chrono::milliseconds(300)};

}  // namespace

/// Whether a second attempt may run beside the current one.
bool Exchange::MayHedge() const {
  return stage_.sent() && is_retryable() && !stream_started_ &&
         !response_begun_ && !hedge_ && !relay_peer_ && !request_.relayed &&
         !request_.traits.resumes_stream &&
         attempts_ < request_.route->max_attempts;
}

void Exchange::ScheduleHedge() {
  hedge_timer_.cancel();
  if (!MayHedge()) {
    return;
  }
  const std::optional<Duration> delay = owner_.HedgeDelay(*this);
  if (!delay || *delay >= RemainingTime()) {
    return;
  }
  hedge_timer_.expires_after(*delay);
  hedge_timer_.async_wait([weak = weak_from_this()](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self && self->MayHedge()) {
      self->StartHedge();
    }
  });
}

void Exchange::StartHedge() {
  std::optional<HedgePlacement> placement = owner_.PlaceHedge(*this);
  if (!placement) {
    return;
  }
  ++attempts_;
  hedge_ = std::make_shared<HedgeAttempt>(*this, std::move(*placement));
  owner_.Log(EventId::kRequestHedged, *this,
             {{"hedge", hedge_->placement().upstream.str()},
              {"after_ms", MillisecondText(MonotonicNow() - sent_at_)},
              {"left_ms", MillisecondText(RemainingTime())},
              {"work", std::to_string(hedge_->placement().work)}});
  const auto hedge = hedge_;
  hedge->Send(owner_.dialect().MakeUpstreamRequest(
                  request_.request.head,
                  MakeForwardingInfo(hedge->placement().upstream),
                  request_.request.body->size()),
              request_.request.body,
              std::min(kConnectTimeout, RemainingTime()));
}

ResponseTraits Exchange::ReadHedgeResponse(
    const http::ResponseHead& head) const {
  return owner_.dialect().ReadResponse(head, request_.traits.attempt);
}

/// Replaces the current attempt, which is cancelled, by the hedge.
void Exchange::AdoptHedge() {
  const auto self = shared_from_this();
  const auto hedge = std::exchange(hedge_, nullptr);
  const HedgePlacement& placement = hedge->placement();
  may_have_run_ =
      may_have_run_ || (stage_.sent() && stage_.connection()->sent_any());
  Release();
  excluded_.insert(upstream_);
  upstream_ = placement.upstream;
  upstream_start_ = placement.upstream_start;
  upstream_version_ = placement.upstream_version;
  stage_.Send(placement.connection);
  charge_ = placement.charge;
  last_byte_at_ = MonotonicNow();
  body_.clear();
  attempt_ended_ = false;
  response_begun_ = false;
  response_framing_ = http::Framing::kNone;
  splitter_.DiscardPartialEvent();
  // The connection calls the hedge until its answer ends.
  adopted_hedge_ = hedge;
  owner_.OnHedgeEnded(*this, placement, HedgeEnd::kWon, {});
  hedge->Replay();
}

/// Goes on with the hedge after the first attempt has failed. Returns false if
/// there is none.
bool Exchange::FallBackToHedge() {
  if (!hedge_) {
    return false;
  }
  AdoptHedge();
  return true;
}

void Exchange::OnHedgeFailed(const ResponseTraits& traits) {
  const auto hedge = std::exchange(hedge_, nullptr);
  may_have_run_ = may_have_run_ || (hedge->sent_any() && !traits.not_run);
  excluded_.insert(hedge->placement().upstream);
  owner_.OnHedgeEnded(*this, hedge->placement(), HedgeEnd::kFailed, traits);
}

void Exchange::CancelHedge() {
  hedge_timer_.cancel();
  if (!hedge_) {
    return;
  }
  const auto hedge = std::exchange(hedge_, nullptr);
  hedge->Cancel();
  owner_.OnHedgeEnded(*this, hedge->placement(), HedgeEnd::kCancelled, {});
}

}  // namespace rattanward::proxy
