#include "rattanward/entry/upstream_call.h"

#include <utility>

namespace rattanward::entry {
namespace {

constexpr Duration kConnectTimeout{std::chrono::milliseconds(500)};

}  // namespace

UpstreamCall::UpstreamCall(asio::io_context& io, const CallTimerFactory& timers,
                           const Endpoint& peer, Duration idle_timeout)
    : timer_(timers()),
      idle_timeout_(idle_timeout),
      connection_(std::make_shared<http::ClientConnection>(io, peer)) {}

void UpstreamCall::Send(http::RequestHead head, std::string body,
                        Watcher watcher) {
  watcher_ = std::make_shared<const Watcher>(std::move(watcher));
  head.fields.Set("Host", ToString(connection_->peer()));
  head.fields.Set("Connection", "close");
  if (!body.empty() || head.method == "POST" || head.method == "PUT") {
    head.fields.Set("Content-Length", std::to_string(body.size()));
  }
  ArmTimer();
  connection_->Send(http::Serialize(head),
                    std::make_shared<const std::string>(std::move(body)),
                    kConnectTimeout, this);
}

void UpstreamCall::Pause() {
  paused_ = true;
  timer_->Cancel();
  connection_->Pause();
}

void UpstreamCall::Resume() {
  paused_ = false;
  ArmTimer();
  connection_->Resume();
}

void UpstreamCall::Cancel() {
  // Keeps this object alive while the watcher, which may own it, is destroyed.
  const auto self = shared_from_this();
  ended_ = true;
  timer_->Cancel();
  connection_->Close();
  watcher_.reset();
}

bool UpstreamCall::IsMatchingResponse(
    const http::ResponseHead& /*head*/) const {
  return true;
}

void UpstreamCall::OnHead(const http::ResponseHead& head,
                          http::Framing /*framing*/, std::uint64_t /*length*/) {
  const auto self = shared_from_this();
  const auto watcher = watcher_;
  if (watcher && watcher->on_head && !watcher->on_head(head)) {
    End(CallEnd::kStopped);
  }
}

void UpstreamCall::OnBody(std::string_view piece) {
  const auto self = shared_from_this();
  const auto watcher = watcher_;
  if (watcher && watcher->on_bytes && !watcher->on_bytes(piece)) {
    End(CallEnd::kStopped);
  }
}

void UpstreamCall::OnReadEnd() { ArmTimer(); }

void UpstreamCall::OnComplete() {
  const auto self = shared_from_this();
  End(CallEnd::kComplete);
}

void UpstreamCall::OnFailure(http::ClientFailure failure) {
  const auto self = shared_from_this();
  End(failure == http::ClientFailure::kNotSent ? CallEnd::kNotConnected
                                               : CallEnd::kBroken);
}

void UpstreamCall::ArmTimer() {
  if (ended_ || paused_) {
    return;
  }
  // The timer's callback keeps a call alive that has no other owner.
  timer_->Start(idle_timeout_,
                [self = shared_from_this()] { self->End(CallEnd::kSilent); });
}

void UpstreamCall::End(CallEnd end) {
  if (ended_) {
    return;
  }
  ended_ = true;
  timer_->Cancel();
  connection_->Close();
  const auto watcher = std::exchange(watcher_, nullptr);
  if (watcher && watcher->on_end) {
    watcher->on_end(end);
  }
}

}  // namespace rattanward::entry
