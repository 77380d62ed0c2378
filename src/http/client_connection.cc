#include "rattanward/http/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/detail/socket_io.h"

namespace rattanward::http {
namespace {

using adapter::MonotonicNow;
using asio::ip::tcp;

/// Idle time within which a connection is reused if its peer sends no
/// Keep-Alive timeout.
constexpr Duration kDefaultKeepAlive{std::chrono::milliseconds(400)};
/// Subtracted from the peer's Keep-Alive timeout, which may be rounded up, and
/// to allow for the transit time of the next request.
constexpr Duration kKeepAliveMargin{std::chrono::milliseconds(700)};
/// Response bodies are streamed. Backpressure limits how much is buffered, so
/// the parser needs no limit.
constexpr std::uint64_t kUnlimitedBodyBytes =
    std::numeric_limits<std::uint64_t>::max() / 2;
constexpr std::uint32_t kMaxResponseHeadBytes = 64U << 10U;
/// Limit of the bytes that don't complete a line of the head, a chunk size or a
/// trailer.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10U;

/// Parses "timeout=N", in seconds, of the Keep-Alive field.
std::optional<Duration> ParseKeepAliveTimeout(const ResponseHead& head) {
  const std::string* value = head.fields.Find("keep-alive");
  if (value == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::size_t at = value->find(kTimeoutParameter);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* first = value->data() + at + kTimeoutParameter.size();
  const auto parsed =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& io, Endpoint peer)
    : io_(io), socket_(io), timer_(io), peer_(std::move(peer)) {}

void ClientConnection::Send(std::string head,
                            std::shared_ptr<const std::string> body,
                            Duration connect_timeout, ClientHandler* handler) {
  handler_ = handler;
  head_ = std::move(head);
  body_ = std::move(body);
  sent_ = 0;
  ++exchanges_;
  awaiting_response_ = true;
  head_delivered_ = false;
  skipping_response_ = false;
  paused_ = false;
  parser_ = std::make_unique<ResponseParser>(
      ParserLimits{kMaxResponseHeadBytes, kUnlimitedBodyBytes}, head_request_);
  if (connected_) {
    idle_before_ = MonotonicNow() - idle_since_;
    if (ReadsNothing()) {
      TrySend();
    } else {
      FailLater();
    }
  } else {
    Connect(connect_timeout);
  }
}

/// Whether the idle connection is open and has no input, also none that the
/// event loop has not read yet.
bool ClientConnection::ReadsNothing() {
  const detail::ReadResult read = detail::ReadSome(socket_);
  return read.bytes.empty() && !read.peer_closed;
}

/// Fails in a later event-loop step, since the caller of Send() may not be
/// ready for it.
void ClientConnection::FailLater() {
  asio::error_code ignored;
  socket_.close(ignored);
  asio::post(io_, [self = shared_from_this()] {
    if (!self->closed_) {
      self->Fail(ClientFailure::kNotSent);
    }
  });
}

void ClientConnection::Connect(Duration timeout) {
  connecting_ = true;
  asio::error_code e;
  const auto address = asio::ip::make_address(peer_.address, e);
  timer_.expires_after(timeout);
  timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& wait_error) {
        const auto self = weak.lock();
        if (!wait_error && self && self->connecting_) {
          self->Fail(ClientFailure::kNotSent);
        }
      });
  socket_.async_connect(
      tcp::endpoint(address, peer_.port),
      [self = shared_from_this()](const asio::error_code& connect_error) {
        if (self->closed_) {
          return;
        }
        self->connecting_ = false;
        self->timer_.cancel();
        if (connect_error) {
          self->Fail(ClientFailure::kNotSent);
          return;
        }
        self->connected_ = true;
        detail::PrepareSocket(self->socket_);
        self->WaitReadable();
        self->TrySend();
      });
}

void ClientConnection::TrySend() {
  while (!closed_ && awaiting_response_ && !sent_all()) {
    const std::size_t in_body = sent_ < head_.size() ? 0 : sent_ - head_.size();
    const std::size_t in_head = std::min(sent_, head_.size());
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(head_.data() + in_head, head_.size() - in_head),
        asio::buffer(body_->data() + in_body, body_->size() - in_body)};
    asio::error_code e;
    const std::size_t count = socket_.write_some(buffers, e);
    if (detail::IsTemporary(e)) {
      writing_ = true;
      socket_.async_wait(
          tcp::socket::wait_write,
          [self = shared_from_this()](const asio::error_code& w) {
            self->writing_ = false;
            if (!w && !self->closed_) {
              self->TrySend();
            }
          });
      return;
    }
    if (e) {
      send_failed_ = true;
      // The peer may have responded before it closed, so read first.
      OnReadable();
      if (!closed_ && awaiting_response_ && !head_delivered_) {
        Fail(sent_ == 0 ? ClientFailure::kNotSent : ClientFailure::kNoResponse);
      }
      return;
    }
    sent_ += count;
  }
}

void ClientConnection::WaitReadable() {
  if (reading_ || closed_ || (paused_ && awaiting_response_)) {
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& e) {
                       self->reading_ = false;
                       if (!e && !self->closed_) {
                         self->OnReadable();
                       }
                     });
}

void ClientConnection::Resume() {
  if (paused_) {
    paused_ = false;
    WaitReadable();
  }
}

void ClientConnection::OnReadable() {
  const auto self = shared_from_this();
  const detail::ReadResult read = detail::ReadSome(socket_);
  if (!awaiting_response_) {
    if (read.peer_closed || !read.bytes.empty()) {
      const auto on_idle = std::move(on_idle_closed);
      Close();
      if (on_idle) {
        on_idle(*this);
      }
      return;
    }
    WaitReadable();
    return;
  }
  if (!read.bytes.empty()) {
    input_.append(read.bytes);
    ParseInput();
    if (!closed_ && awaiting_response_) {
      handler_->OnReadEnd();
    }
  }
  if (read.peer_closed && !closed_) {
    OnPeerClosed(read.reset);
    return;
  }
  WaitReadable();
}

void ClientConnection::ParseInput() {
  while (!closed_ && awaiting_response_ && !input_.empty()) {
    const Result<std::size_t> consumed = parser_->Feed(input_);
    if (!consumed) {
      Fail(head_delivered_ ? ClientFailure::kTruncated
                           : ClientFailure::kMalformed);
      return;
    }
    input_.erase(0, consumed.value());
    if (parser_->head_done() && !head_delivered_ && !skipping_response_) {
      ProcessHead();
    }
    if (closed_ || !awaiting_response_) {
      return;
    }
    const std::string piece = parser_->TakeBody();
    if (!piece.empty() && !skipping_response_) {
      handler_->OnBody(piece);
    }
    if (closed_ || !awaiting_response_) {
      return;
    }
    if (parser_->done()) {
      if (!skipping_response_) {
        Complete();
        return;
      }
      FinishSkippedResponse();
    } else if (consumed.value() == 0) {
      if (input_.size() > kMaxUnparsedBytes) {
        Fail(head_delivered_ ? ClientFailure::kTruncated
                             : ClientFailure::kMalformed);
      }
      return;
    }
  }
}

void ClientConnection::ProcessHead() {
  constexpr int kFirstFinalStatus = 200;
  const ResponseHead& head = parser_->head();
  if (!IsStatus(head.status)) {
    Fail(ClientFailure::kMalformed);
    return;
  }
  handler_->OnReceivedHead(head);
  skipping_response_ =
      head.status < kFirstFinalStatus || !handler_->IsMatchingResponse(head);
  if (skipping_response_) {
    if (parser_->framing() == Framing::kUntilClose) {
      Fail(ClientFailure::kMalformed);
    }
    return;
  }
  UpdateKeepAlive(head);
  head_delivered_ = true;
  handler_->OnHead(head, parser_->framing(), parser_->length());
}

void ClientConnection::FinishSkippedResponse() {
  skipping_response_ = false;
  parser_ = std::make_unique<ResponseParser>(
      ParserLimits{kMaxResponseHeadBytes, kUnlimitedBodyBytes}, head_request_);
}

void ClientConnection::UpdateKeepAlive(const ResponseHead& head) {
  const std::optional<Duration> advertised = ParseKeepAliveTimeout(head);
  keep_alive_ = advertised
                    ? std::max(*advertised / 2, *advertised - kKeepAliveMargin)
                    : kDefaultKeepAlive;
  peer_will_close_ = !parser_->keep_alive();
}

void ClientConnection::Complete() {
  awaiting_response_ = false;
  ClientHandler* handler = std::exchange(handler_, nullptr);
  const bool reusable = sent_all() && !peer_will_close_ && input_.empty() &&
                        parser_->framing() != Framing::kUntilClose;
  idle_since_ = MonotonicNow();
  usable_until_ = idle_since_ + keep_alive_;
  if (!reusable) {
    Close();
  }
  body_.reset();
  head_.clear();
  parser_.reset();
  handler->OnComplete();
}

bool ClientConnection::Reusable(TimePoint now) const {
  return connected_ && !closed_ && !awaiting_response_ && now < usable_until_;
}

/// Whether the whole request has arrived at the peer. One that ends its answer
/// sooner may be about to reset the connection.
bool ClientConnection::PeerHasRequest() {
  return sent_all() && detail::UnacknowledgedBytes(socket_) == 0;
}

void ClientConnection::OnPeerClosed(bool reset) {
  // A reset that the send has reported is read as a normal close afterwards.
  const bool closed_normally = !reset && !send_failed_;
  if (closed_normally && PeerHasRequest() && head_delivered_ &&
      parser_->FeedEof()) {
    peer_will_close_ = true;
    Complete();
    return;
  }
  if (head_delivered_) {
    Fail(ClientFailure::kTruncated);
  } else {
    Fail(sent_ == 0 ? ClientFailure::kNotSent : ClientFailure::kNoResponse);
  }
}

void ClientConnection::Fail(ClientFailure failure) {
  ClientHandler* handler = std::exchange(handler_, nullptr);
  Close();
  if (handler != nullptr) {
    handler->OnFailure(failure);
  }
}

void ClientConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  awaiting_response_ = false;
  handler_ = nullptr;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace rattanward::http
