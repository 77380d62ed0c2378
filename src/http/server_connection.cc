#include "rattanward/http/server_connection.h"

#include <asio/post.hpp>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/detail/socket_io.h"

namespace rattanward::http {
namespace {

using adapter::MonotonicNow;
using asio::ip::tcp;

/// Bytes of a next request that wait while the present one runs.
constexpr std::size_t kMaxAhead = 64U << 10U;
/// How long a peer may take to notice a close before the socket goes.
constexpr Duration kLingerTime{std::chrono::seconds(2)};

}  // namespace

ServerConnection::ServerConnection(tcp::socket socket, ServerHandler& handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      limits_(handler.Limits()),
      parser_(limits_.parser),
      bodies_(handler.Bodies()) {}

ServerConnection::~ServerConnection() { ReleaseBody(); }

/// Counts what the parser holds of the body; false if there is no room.
bool ServerConnection::HoldBody() {
  bodies_->used += parser_.body_bytes() - held_;
  held_ = parser_.body_bytes();
  return bodies_->used <= bodies_->limit;
}

void ServerConnection::ReleaseBody() {
  bodies_->used -= held_;
  held_ = 0;
}

void ServerConnection::Start() {
  detail::PrepareSocket(socket_);
  RaiseInputDeadline();
  WaitReadable();
}

void ServerConnection::WaitReadable() {
  if (reading_ || state_ == State::kClosed) {
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& e) {
                       self->reading_ = false;
                       if (!e && self->state_ != State::kClosed) {
                         self->OnReadable();
                       }
                     });
}

void ServerConnection::OnReadable() {
  const detail::ReadOutcome read = detail::ReadSome(socket_);
  if (read.ended) {
    PeerLeft();
    return;
  }
  if (state_ != State::kLingering && !read.bytes.empty()) {
    input_.append(read.bytes);
    TakeInput();
  }
  if (state_ != State::kBusy || input_.size() < kMaxAhead) {
    WaitReadable();
  }
}

void ServerConnection::StartMessage() {
  limits_ = handler_.Limits();
  parser_ = RequestParser(limits_.parser);
  first_byte_ = MonotonicNow();
  message_begun_ = true;
  continue_sent_ = false;
}

void ServerConnection::TakeInput() {
  if (state_ != State::kReading || input_.empty()) {
    return;
  }
  if (!message_begun_) {
    StartMessage();
  }
  const bool had_head = parser_.head_done();
  const Result<std::size_t> taken = parser_.Feed(input_);
  if (!taken) {
    Refuse(taken.error());
    return;
  }
  input_.erase(0, taken.value());
  if (!HoldBody()) {
    Refuse(MakeError(ErrorCode::kTooManyOpenRequests,
                     "no room for the body of the request"));
    return;
  }
  if (parser_.done()) {
    HandOver();
    return;
  }
  if (parser_.head_done()) {
    if (!had_head && parser_.head().fields.Lists("expect", "100-continue")) {
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Flush();
    }
  }
  RaiseInputDeadline();
}

void ServerConnection::HandOver() {
  state_ = State::kBusy;
  message_begun_ = false;
  keep_alive_ = parser_.keep_alive();
  old_version_ = parser_.head().version < 11;
  to_head_ = parser_.head().method == "HEAD";
  ServerRequest request;
  request.body = std::shared_ptr<const std::string>(
      new std::string(parser_.TakeBody()),
      [bodies = bodies_](const std::string* body) {
        bodies->used -= body->size();
        delete body;
      });
  held_ = 0;
  request.head = parser_.TakeHead();
  request.arrived = first_byte_;
  SetDeadline(TimePoint::max());
  handler_.OnRequest(shared_from_this(), std::move(request));
}

void ServerConnection::Refuse(const Error& error) {
  Response answer = handler_.OnRefused(error);
  state_ = State::kBusy;
  message_begun_ = false;
  close_requested_ = true;
  input_.clear();
  ReleaseBody();
  parser_ = RequestParser(limits_.parser);
  Respond(std::move(answer.head), answer.body);
}

bool ServerConnection::WillClose() const {
  return !keep_alive_ || close_requested_;
}

void ServerConnection::AddConnectionField(ResponseHead* head) {
  if (WillClose()) {
    head->fields.Set("Connection", "close");
  } else if (old_version_) {
    head->fields.Set("Connection", "keep-alive");
  }
}

void ServerConnection::Respond(ResponseHead head, std::string_view body) {
  if (state_ != State::kBusy) {
    return;
  }
  head.fields.Set("Content-Length", std::to_string(body.size()));
  AddConnectionField(&head);
  output_ += Serialize(head);
  if (!to_head_) {
    output_ += body;
  }
  EndResponse();
}

void ServerConnection::StartBody(ResponseHead head,
                                 std::optional<std::uint64_t> length) {
  if (state_ != State::kBusy) {
    return;
  }
  chunked_ = !length && !old_version_;
  if (length) {
    head.fields.Set("Content-Length", std::to_string(*length));
  } else if (chunked_) {
    head.fields.Set("Transfer-Encoding", "chunked");
  } else {
    close_requested_ = true;
  }
  AddConnectionField(&head);
  output_ += Serialize(head);
}

void ServerConnection::Write(std::string_view piece) {
  if (state_ != State::kBusy || to_head_) {
    return;
  }
  if (chunked_) {
    output_ += Chunk(piece);
  } else {
    output_ += piece;
  }
}

void ServerConnection::FinishBody() {
  if (state_ != State::kBusy) {
    return;
  }
  if (chunked_ && !to_head_) {
    output_ += kLastChunk;
  }
  EndResponse();
}

/// The next request, if its bytes are here already, is taken in a later step:
/// the caller of this function may still be at work on the last one.
void ServerConnection::EndResponse() {
  watcher_ = Watcher();
  chunked_ = false;
  if (WillClose()) {
    state_ = State::kLingering;
    Flush();
    return;
  }
  state_ = State::kReading;
  RaiseInputDeadline();
  Flush();
  if (state_ != State::kReading) {
    return;
  }
  WaitReadable();
  if (!input_.empty()) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->TakeInput(); });
  }
}

void ServerConnection::Flush() {
  if (!writing_) {
    TrySend();
  }
}

void ServerConnection::TrySend() {
  const std::string_view output = output_;
  const auto sent = detail::WriteSome(socket_, output.substr(sent_));
  if (sent.failed) {
    PeerLeft();
    return;
  }
  sent_ += sent.count;
  if (sent_ == output_.size()) {
    output_.clear();
    sent_ = 0;
    AfterSend();
    return;
  }
  writing_ = true;
  SetDeadline(MonotonicNow() + limits_.idle_timeout);
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](const asio::error_code& e) {
                       self->writing_ = false;
                       if (!e && self->state_ != State::kClosed) {
                         self->TrySend();
                       }
                     });
}

void ServerConnection::AfterSend() {
  if (state_ == State::kLingering) {
    Linger();
    return;
  }
  if (state_ == State::kBusy) {
    SetDeadline(TimePoint::max());
    if (watcher_.on_drained) {
      watcher_.on_drained();
    }
  } else if (state_ == State::kReading) {
    RaiseInputDeadline();
  }
}

/// Keeps reading for a while after the last answer: a socket that is closed
/// with unread bytes resets the connection and may take the answer with it.
void ServerConnection::Linger() {
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetDeadline(MonotonicNow() + kLingerTime);
  WaitReadable();
}

void ServerConnection::Abort() {
  if (state_ == State::kClosed) {
    return;
  }
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  watcher_ = Watcher();
  Close();
}

void ServerConnection::CloseWhenIdle() {
  close_requested_ = true;
  if (state_ == State::kReading && !message_begun_ && input_.empty() &&
      buffered() == 0) {
    // What crosses the close is not read: its caller may send it elsewhere.
    Close();
  }
}

void ServerConnection::PeerLeft() {
  const auto on_gone = std::move(watcher_.on_gone);
  watcher_ = Watcher();
  Close();
  if (on_gone) {
    on_gone();
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
  input_ = std::string();
  ReleaseBody();
  parser_ = RequestParser(limits_.parser);
  handler_.OnClosed(*this);
}

void ServerConnection::RaiseInputDeadline() {
  if (state_ != State::kReading) {
    return;
  }
  const bool in_head = message_begun_ && !parser_.head_done();
  SetDeadline(in_head ? first_byte_ + limits_.header_timeout
                      : MonotonicNow() + limits_.idle_timeout);
}

void ServerConnection::SetDeadline(TimePoint deadline) {
  deadline_ = deadline;
  if (deadline_ != TimePoint::max() &&
      (!timer_armed_ || deadline_ < armed_for_)) {
    ArmTimer();
  }
}

void ServerConnection::ArmTimer() {
  timer_armed_ = true;
  armed_for_ = deadline_;
  timer_.expires_after(deadline_ - MonotonicNow());
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self) {
      self->OnTimer();
    }
  });
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
  if (state_ == State::kReading && message_begun_ && !writing_) {
    // Its own code, since the message never became a request.
    Response answer = handler_.OnRefused(
        MakeError(ErrorCode::kDeadlinePassed, "the message came too slowly"));
    state_ = State::kBusy;
    message_begun_ = false;
    close_requested_ = true;
    constexpr int kRequestTimeout = 408;
    answer.head.status = kRequestTimeout;
    Respond(std::move(answer.head), answer.body);
    return;
  }
  if (state_ == State::kReading && !writing_) {
    Close();
    return;
  }
  PeerLeft();
}

}  // namespace rattanward::http
