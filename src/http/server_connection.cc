#include "rattanward/http/server_connection.h"

#include <asio/post.hpp>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/detail/socket_io.h"

namespace rattanward::http {
namespace {

using adapter::MonotonicNow;
using asio::ip::tcp;

/// Buffer limit for pipelined requests. While a request is in progress, reading
/// stops at this size.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
/// With less, the system's send buffers are limited, too: they would let each
/// unread answer take several MiB. With more, a sent answer survives the end of
/// the process in them.
constexpr std::size_t kAmpleMemoryBytes = 192U << 20U;
/// HTTP/1.1. An older peer doesn't know interim responses.
constexpr int kFirstVersionWithContinue = 11;

}  // namespace

ServerConnection::ServerConnection(tcp::socket socket, ServerHandler& handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      limits_(handler.Limits()),
      parser_(limits_.parser),
      body_budget_(handler.SharedBodyBudget()),
      memory_(handler.SharedMemory()) {}

ServerConnection::~ServerConnection() {
  ReleaseBodyBudget();
  memory_->Release(*this);
}

/// Charges the parsed body bytes to the shared budget. Returns false if the
/// budget is exceeded.
bool ServerConnection::ChargeBodyBudget() {
  body_budget_->used += parser_.body_bytes() - charged_bytes_;
  charged_bytes_ = parser_.body_bytes();
  return body_budget_->used <= body_budget_->limit;
}

void ServerConnection::ReleaseBodyBudget() {
  body_budget_->used -= charged_bytes_;
  charged_bytes_ = 0;
}

void ServerConnection::Start() {
  detail::PrepareSocket(socket_);
  if (memory_->limit() < kAmpleMemoryBytes) {
    asio::error_code ignored;
    socket_.set_option(
        asio::socket_base::send_buffer_size(detail::kSocketBufferBytes),
        ignored);
  }
  UpdateInputDeadline();
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
  const detail::ReadResult read = detail::ReadSome(socket_);
  if (read.peer_closed) {
    OnPeerClosed(read.reset);
    return;
  }
  if (state_ != State::kLingering && !read.bytes.empty()) {
    input_.append(read.bytes);
    ParseInput();
    UpdateCharge();
  }
  if (state_ != State::kBusy || input_.size() < kMaxPipelinedBytes) {
    WaitReadable();
  }
}

/// A peer that closes its side while it awaits a response counts as gone, since
/// a closed and a half-closed connection look the same. The rest of a complete
/// response is still sent.
void ServerConnection::OnPeerClosed(bool reset) {
  if (reset || state_ == State::kBusy || buffered() == 0) {
    CloseAndNotify(UnansweredEnd::kPeerLeft);
    return;
  }
  state_ = State::kLingering;
  input_.clear();
}

void ServerConnection::StartMessage() {
  limits_ = handler_.Limits();
  parser_ = RequestParser(limits_.parser);
  first_byte_time_ = MonotonicNow();
  message_started_ = true;
  continue_sent_ = false;
}

void ServerConnection::ParseInput() {
  if (state_ != State::kReading || input_.empty()) {
    return;
  }
  if (!message_started_) {
    StartMessage();
  }
  const bool had_head = parser_.head_done();
  const Result<std::size_t> consumed = parser_.Feed(input_);
  if (!consumed) {
    Reject(consumed.error());
    return;
  }
  input_.erase(0, consumed.value());
  if (!ChargeBodyBudget()) {
    Reject(MakeError(ErrorCode::kTooManyOpenRequests,
                     "memory budget for request bodies exhausted"));
    return;
  }
  if (refusal_ && parser_.head_done()) {
    head_request_ = parser_.head().method == "HEAD";
    Reject(*refusal_);
    return;
  }
  if (parser_.done()) {
    DispatchRequest();
    return;
  }
  if (parser_.head_done()) {
    if (!had_head && parser_.head().version >= kFirstVersionWithContinue &&
        parser_.head().fields.HasToken("expect", "100-continue")) {
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Flush();
    }
  }
  UpdateInputDeadline();
}

void ServerConnection::DispatchRequest() {
  state_ = State::kBusy;
  message_started_ = false;
  first_request_awaited_ = false;
  must_close_ = !parser_.keep_alive();
  is_http10_ = parser_.head().version < 11;
  request_bytes_ = parser_.held_bytes();
  head_request_ = parser_.head().method == "HEAD";
  ServerRequest request;
  request.body = std::shared_ptr<const std::string>(
      new std::string(parser_.TakeBody()),
      [budget = body_budget_](const std::string* body) {
        budget->used -= body->size();
        delete body;
      });
  charged_bytes_ = 0;
  request.head = parser_.TakeHead();
  request.arrived = first_byte_time_;
  SetDeadline(TimePoint::max());
  handler_.OnRequest(shared_from_this(), std::move(request));
}

void ServerConnection::Reject(const Error& error) {
  Response response = handler_.OnRejected(error);
  state_ = State::kBusy;
  message_started_ = false;
  must_close_ = true;
  input_.clear();
  ReleaseBodyBudget();
  parser_ = RequestParser(limits_.parser);
  Respond(std::move(response.head), response.body);
}

/// Whether the peer has sent more behind the current request, which is answered
/// before the connection closes.
bool ServerConnection::HasPipelinedInput() {
  if (input_.empty()) {
    input_.append(detail::ReadSome(socket_).bytes);
  }
  return !input_.empty();
}

void ServerConnection::AddConnectionField(ResponseHead* head) {
  close_announced_ = must_close_ || (close_requested_ && !HasPipelinedInput());
  if (close_announced_) {
    head->fields.Set("Connection", "close");
  } else if (is_http10_) {
    head->fields.Set("Connection", "keep-alive");
  }
}

void ServerConnection::Respond(ResponseHead head, std::string_view body) {
  if (state_ != State::kBusy) {
    return;
  }
  head.fields.Set("Content-Length", std::to_string(body.size()));
  AddConnectionField(&head);
  const std::string head_text = Serialize(head);
  // Exactly: a string that grows by itself may take twice as much.
  output_.reserve(output_.size() + head_text.size() + body.size());
  output_ += head_text;
  if (!head_request_) {
    output_ += body;
  }
  EndResponse();
}

void ServerConnection::StartBody(ResponseHead head,
                                 std::optional<std::uint64_t> length) {
  if (state_ != State::kBusy) {
    return;
  }
  chunked_ = !length && !is_http10_;
  if (length) {
    head.fields.Set("Content-Length", std::to_string(*length));
  } else if (chunked_) {
    head.fields.Set("Transfer-Encoding", "chunked");
  } else {
    must_close_ = true;
    SetResetOnClose(true);
  }
  AddConnectionField(&head);
  output_ += Serialize(head);
}

/// A normal close would end a body that ends with its connection, however the
/// connection is closed, also by the end of this process.
void ServerConnection::SetResetOnClose(bool reset) {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void ServerConnection::Write(std::string_view piece) {
  if (state_ != State::kBusy || head_request_) {
    return;
  }
  if (chunked_) {
    output_ += EncodeChunk(piece);
  } else {
    output_ += piece;
  }
}

void ServerConnection::FinishBody() {
  if (state_ != State::kBusy) {
    return;
  }
  if (chunked_ && !head_request_) {
    output_ += kLastChunk;
  }
  EndResponse();
}

/// A pipelined request is parsed in a later event-loop step, since the caller
/// may still be processing the current request.
void ServerConnection::EndResponse() {
  watcher_ = Watcher();
  chunked_ = false;
  request_bytes_ = 0;
  response_bytes_ = 0;
  if (close_announced_) {
    if (!input_.empty()) {
      handler_.OnUnanswered(UnansweredEnd::kPipelined);
    }
    state_ = State::kLingering;
    Flush();
    return;
  }
  state_ = State::kReading;
  UpdateInputDeadline();
  Flush();
  if (state_ != State::kReading) {
    return;
  }
  WaitReadable();
  if (!input_.empty()) {
    ParseInputLater();
  }
}

void ServerConnection::ParseInputLater() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->ParseInput();
    self->UpdateCharge();
  });
}

void ServerConnection::Flush() {
  if (!writing_) {
    TrySend();
  }
  UpdateCharge();
}

void ServerConnection::TrySend() {
  const std::string_view output = output_;
  const auto sent = detail::WriteSome(socket_, output.substr(sent_));
  if (sent.failed) {
    CloseAndNotify(UnansweredEnd::kPeerLeft);
    return;
  }
  sent_ += sent.count;
  if (sent_ == output_.size()) {
    output_.clear();
    sent_ = 0;
    OnOutputSent();
    return;
  }
  writing_ = true;
  SetDeadline(MonotonicNow() + limits_.idle_timeout);
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](const asio::error_code& e) {
                       self->writing_ = false;
                       if (!e && self->state_ != State::kClosed) {
                         self->TrySend();
                         self->UpdateCharge();
                       }
                     });
}

void ServerConnection::OnOutputSent() {
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
    UpdateInputDeadline();
  }
}

}  // namespace rattanward::http
