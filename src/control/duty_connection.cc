#include "rattanward/control/duty_connection.h"

#include <asio/post.hpp>
#include <utility>

namespace rattanward::control {
namespace {

constexpr Duration kConnectTimeout{std::chrono::milliseconds(300)};

}  // namespace

DutyConnection::DutyConnection(asio::io_context& io,
                               adapter::AsioTimerService& timers,
                               Endpoint platform)
    : io_(io), timers_(timers), platform_(std::move(platform)) {}

void DutyConnection::Call(const DutyRequest& request, Duration timeout,
                          Done done) {
  done_ = std::move(done);
  busy_ = true;
  status_ = 0;
  const std::uint64_t call = ++calls_;
  if (!connection_ || !connection_->Reusable(timers_.Now())) {
    Drop();
    connection_ = std::make_shared<http::ClientConnection>(io_, platform_);
  }
  timers_.After(timeout, [this, call, alive = std::weak_ptr<bool>(alive_)](
                             TimePoint /*now*/) {
    if (!alive.expired() && call == calls_ && done_) {
      Drop();
      Finish(0);
    }
  });
  connection_->Send(http::Serialize(request.head),
                    std::make_shared<const std::string>(request.body),
                    kConnectTimeout, this);
}

void DutyConnection::Close() {
  ++calls_;
  done_ = nullptr;
  busy_ = false;
  Drop();
}

void DutyConnection::Drop() {
  if (connection_) {
    std::exchange(connection_, nullptr)->Close();
  }
}

bool DutyConnection::IsMatchingResponse(
    const http::ResponseHead& /*head*/) const {
  return true;
}

void DutyConnection::OnHead(const http::ResponseHead& head,
                            http::Framing /*framing*/,
                            std::uint64_t /*length*/) {
  status_ = head.status;
}

void DutyConnection::OnComplete() { Finish(status_); }

/// A status whose body is cut off is still the platform's answer.
void DutyConnection::OnFailure(http::ClientFailure /*failure*/) {
  Finish(status_);
}

/// The callback may send the next call, which the connection can't carry before
/// it has returned from this one.
void DutyConnection::Finish(int status) {
  asio::post(io_,
             [this, status, call = calls_, done = std::exchange(done_, nullptr),
              alive = std::weak_ptr<bool>(alive_)] {
               if (alive.expired() || call != calls_ || !done) {
                 return;
               }
               busy_ = false;
               done(status);
             });
}

}  // namespace rattanward::control
