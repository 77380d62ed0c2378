#include <algorithm>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/detail/socket_io.h"
#include "rattanward/http/server_connection.h"

// The end of a server connection and its timeouts.

namespace rattanward::http {
namespace {

using adapter::MonotonicNow;
using asio::ip::tcp;

/// Time for another request on a connection that is to be closed, if its peer
/// has not been told so.
constexpr Duration kLastRequestTime{std::chrono::seconds(1)};
/// Limits the reads of one event-loop step that discard input.
constexpr int kMaxDiscardingReads = 16;

}  // namespace

/// Keeps reading for a while after the last response. Closing a socket with
/// unread input resets the connection, and the peer may lose the response.
void ServerConnection::Linger() {
  SetResetOnClose(false);
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  linger_end_ = MonotonicNow() + limits_.idle_timeout;
  SetDeadline(MonotonicNow() + limits_.linger_time);
  WaitReadable();
}

/// Reads and discards input, so that closing the socket doesn't reset the
/// connection. Returns whether all of it was read.
bool ServerConnection::DiscardInput() {
  for (int i = 0; i < kMaxDiscardingReads; ++i) {
    if (detail::ReadSome(socket_).bytes.empty()) {
      return true;
    }
  }
  return false;
}

/// Whether the peer needs more time to read the last response.
bool ServerConnection::LingersOn() {
  const TimePoint now = MonotonicNow();
  const bool discarded = DiscardInput();
  if (now >= linger_end_ ||
      (discarded && detail::UnacknowledgedBytes(socket_) == 0)) {
    return false;
  }
  SetDeadline(std::min(now + limits_.linger_time, linger_end_));
  return true;
}

void ServerConnection::Abort(UnansweredEnd end) {
  if (state_ == State::kClosed) {
    return;
  }
  if (unanswered()) {
    handler_.OnUnanswered(end);
  }
  if (state_ == State::kBusy) {
    SetResetOnClose(true);
  } else {
    DiscardBeforeClose();
  }
  watcher_ = Watcher();
  Close();
}

/// Whether a request is in progress or its response has not been written.
bool ServerConnection::unanswered() const {
  return state_ == State::kBusy || buffered() > 0;
}

void ServerConnection::DiscardBeforeClose() {
  asio::error_code ignored;
  const bool unread =
      message_started_ || !input_.empty() || socket_.available(ignored) > 0;
  if (state_ == State::kReading && unread) {
    handler_.OnUnanswered(UnansweredEnd::kUnread);
  }
  DiscardInput();
}

void ServerConnection::CloseWhenIdle() {
  close_requested_ = true;
  if (state_ != State::kReading || message_started_ || !input_.empty() ||
      buffered() > 0) {
    return;
  }
  const detail::ReadResult read = detail::ReadSome(socket_);
  if (!read.bytes.empty()) {
    input_.append(read.bytes);
    ParseInputLater();
  } else if (first_request_awaited_ && !read.peer_closed) {
    UpdateInputDeadline();
  } else {
    // A request that arrives during the close is never read, so the peer can
    // safely send it to another server.
    Close();
  }
}

void ServerConnection::RefuseRequest(Error error) {
  refusal_ = std::move(error);
  CloseWhenIdle();
}

void ServerConnection::CloseAndNotify(UnansweredEnd end) {
  if (unanswered()) {
    handler_.OnUnanswered(end);
  }
  const auto on_disconnect = std::move(watcher_.on_disconnect);
  watcher_ = Watcher();
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

void ServerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  std::string().swap(input_);
  std::string().swap(output_);
  sent_ = 0;
  ReleaseBodyBudget();
  memory_->Release(*this);
  parser_ = RequestParser(limits_.parser);
  handler_.OnClosed(*this);
}

void ServerConnection::UpdateInputDeadline() {
  if (state_ != State::kReading) {
    return;
  }
  const bool in_head = message_started_ && !parser_.head_done();
  idle_since_ = MonotonicNow();
  SetDeadline(in_head ? first_byte_time_ + limits_.header_timeout
                      : idle_since_ + IdleTimeout());
}

Duration ServerConnection::IdleTimeout() const {
  if (message_started_) {
    return limits_.idle_timeout;
  }
  // The peer may count on the timeout of its last request or on that of now.
  const Duration idle =
      std::max(limits_.idle_timeout, handler_.Limits().idle_timeout);
  return close_requested_ ? std::min(idle, kLastRequestTime) : idle;
}

/// Prolongs the wait for a request if the idle timeout has become longer since
/// it began.
bool ServerConnection::ProlongIdle() {
  if (message_started_ || close_requested_) {
    return false;
  }
  const TimePoint end = idle_since_ + IdleTimeout();
  if (MonotonicNow() >= end) {
    return false;
  }
  SetDeadline(end);
  return true;
}

void ServerConnection::SetDeadline(TimePoint deadline) {
  deadline_ = deadline;
  if (deadline_ != TimePoint::max() &&
      (!timer_armed_ || deadline_ < timer_deadline_)) {
    ArmTimer();
  }
}

void ServerConnection::ArmTimer() {
  timer_armed_ = true;
  timer_deadline_ = deadline_;
  timer_.expires_after(deadline_ - MonotonicNow());
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self) {
      self->OnTimer();
    }
  });
}

/// Does before a timeout what the socket allows and the event loop has not done
/// yet. Returns whether the timeout no longer applies.
bool ServerConnection::MakesProgress() {
  if (writing_) {
    return SendBeforeTimeout();
  }
  if (state_ == State::kLingering) {
    return LingersOn();
  }
  return state_ == State::kReading && (ReadBeforeTimeout() || ProlongIdle());
}

bool ServerConnection::SendBeforeTimeout() {
  const std::string_view output = output_;
  const auto sent = detail::WriteSome(socket_, output.substr(sent_));
  if (sent.failed || sent.count == 0) {
    return false;
  }
  sent_ += sent.count;
  SetDeadline(MonotonicNow() + limits_.idle_timeout);
  return true;
}

bool ServerConnection::ReadBeforeTimeout() {
  const detail::ReadResult read = detail::ReadSome(socket_);
  if (read.bytes.empty()) {
    return false;
  }
  input_.append(read.bytes);
  ParseInput();
  UpdateCharge();
  return true;
}

void ServerConnection::OnTimer() {
  timer_armed_ = false;
  if (state_ == State::kClosed || deadline_ == TimePoint::max()) {
    return;
  }
  if (MonotonicNow() < deadline_) {
    ArmTimer();
    return;
  }
  if (MakesProgress()) {
    return;
  }
  if (state_ == State::kReading && message_started_ && !writing_) {
    // Responds with status 408 instead of the status of kDeadlinePassed, since
    // no complete request was received.
    Response response = handler_.OnRejected(
        MakeError(ErrorCode::kDeadlinePassed,
                  "request not received completely within the timeout"));
    state_ = State::kBusy;
    message_started_ = false;
    must_close_ = true;
    constexpr int kRequestTimeout = 408;
    response.head.status = kRequestTimeout;
    Respond(std::move(response.head), response.body);
    return;
  }
  if (state_ == State::kReading && !writing_) {
    Close();
    return;
  }
  CloseAndNotify(UnansweredEnd::kNotRead);
}

}  // namespace rattanward::http
