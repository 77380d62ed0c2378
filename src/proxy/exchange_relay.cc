#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"
#include "rattanward/proxy/exchange.h"

namespace rattanward::proxy {
namespace {

using http::ClientFailure;

constexpr Duration kPeerConnectTimeout{std::chrono::milliseconds(300)};
/// The other entry gets less time than is left, so that its answer to a request
/// that it couldn't serve arrives before the deadline here.
constexpr Duration kAnswerMargin{std::chrono::milliseconds(30)};
/// A silence that an upstream in order may have.
constexpr Duration kShortSilence{std::chrono::milliseconds(1500)};

/// Whether another entry may serve a request that this one refuses.
bool AnotherEntryMayServe(ErrorCode code) {
  return code == ErrorCode::kNoPath || code == ErrorCode::kShuttingDown ||
         code == ErrorCode::kNoConfiguration || code == ErrorCode::kIsolated;
}

}  // namespace

bool StatusImpliesNotRun(int status) {
  constexpr int kTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

void RespondRefusal(http::ServerConnection& caller, const Error& error,
                    bool relayed) {
  http::ResponseHead head;
  if (relayed) {
    AddRelayFields(
        RelayedResponse{AnotherEntryMayServe(error.code), std::nullopt},
        &head.fields);
  }
  RespondError(caller, error, std::move(head.fields));
}

bool Exchange::RelayTo(const Endpoint& peer) {
  const Status allowed = owner_.MayStart(*this);
  if (!allowed) {
    Refuse(allowed.error());
    return true;
  }
  std::shared_ptr<http::ClientConnection> connection =
      owner_.ConnectToPeer(peer);
  if (!connection) {
    return false;
  }
  relay_peer_ = peer;
  relay_response_ = {};
  upstream_ = UpstreamId();
  upstream_start_ = 0;
  upstream_version_.clear();
  BeginAttempt(std::move(connection));
  owner_.Log(
      EventId::kRequestRelayed, *this,
      {{"peer", ToString(peer)},
       {"attempt", std::to_string(attempts_)},
       {"waited_ms", MillisecondText(sent_at_ - request_.request.arrived)},
       {"left_ms", MillisecondText(RemainingTime())}});
  ForwardingInfo info;
  info.left = std::max(RemainingTime() - kAnswerMargin, RemainingTime() / 2);
  if (stream_started_) {
    info.last_event_id = splitter_.last_id();
  }
  http::RequestHead head = owner_.dialect().MakeRelayedRequest(
      request_.request.head, info, request_.request.body->size());
  AddRelayFields(MakeRelayedRequest(), &head.fields);
  Transmit(head, kPeerConnectTimeout);
  return true;
}

RelayedRequest Exchange::MakeRelayedRequest() const {
  RelayedRequest relayed;
  relayed.routes = request_.table->version();
  relayed.attempts = attempts_ - 1;
  const bool goes_on = stream_version_ || request_.traits.resumes_stream;
  if (goes_on && !placement_.versions.empty()) {
    relayed.stream_version = *placement_.versions.begin();
  }
  return relayed;
}

/// The other entry has ended the request: its answer is final, unless it
/// couldn't serve the request at all.
void Exchange::FinishRelay() {
  if (relay_response_.unable) {
    --attempts_;
    relays_tried_.insert(*relay_peer_);
    owner_.OnPeerUnable(*this);
    Release();
    Requeue();
    return;
  }
  Release();
  if (may_have_run_ && StatusImpliesNotRun(response_.status)) {
    Fail(MakeError(ErrorCode::kUpstreamBroken,
                   "not run by the entry that it was relayed to, but maybe "
                   "before",
                   Verdict::kMayHaveRun));
    return;
  }
  request_.caller->Respond(response_, body_);
  End(EventId::kRequestFinished, {{"status", std::to_string(response_.status)},
                                  {"bytes", std::to_string(body_.size())}});
}

void Exchange::HandleRelayFailure(ClientFailure failure) {
  if (failure == ClientFailure::kNotSent) {
    --attempts_;
    if (!stage_.connection()->reused()) {
      relays_tried_.insert(*relay_peer_);
      owner_.OnPeerUnreachable(*this);
    }
    Release();
    Requeue();
    return;
  }
  may_have_run_ = true;
  // The other entry may have used every attempt that the route allows.
  const Error error = MakeError(ErrorCode::kUpstreamBroken,
                                "the entry that it was relayed to broke off",
                                Verdict::kMayHaveRun);
  Release();
  Fail(error);
}

bool Exchange::MayAbandonSilent(TimePoint now) const {
  return stage_.sent() && !relay_peer_ &&
         now - last_byte_at_ >= kShortSilence && MayGoOn();
}

void Exchange::LeaveLostPath() {
  const auto self = shared_from_this();
  stage_.connection()->Close();
  RecordConnectionLoss("no path to the upstream");
  if (!FallBackToHedge()) {
    Requeue();
  }
}

}  // namespace rattanward::proxy
