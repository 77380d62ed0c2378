#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <set>
#include <utility>

#include "rattanward/adapter/detail/stamped_envelope.h"
#include "rattanward/adapter/framed_connection.h"
#include "rattanward/adapter/handshake.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using asio::ip::tcp;

constexpr Duration kAcceptRetryDelay{std::chrono::milliseconds(100)};

void EmitPeerEvent(const TransportOptions& options, EventId id,
                   const ProcessId& peer, const std::string& detail) {
  if (options.events) {
    options.events(Event{id, {{"peer", peer.str()}, {"detail", detail}}});
  }
}

}  // namespace

namespace detail {

/// @brief One accepted connection: handshake first, then messages.
class ListenerConnection
    : public std::enable_shared_from_this<ListenerConnection> {
 public:
  using ClosedHandler =
      std::function<void(const std::shared_ptr<ListenerConnection>&)>;

  ListenerConnection(tcp::socket socket,
                     std::shared_ptr<const TransportOptions> options,
                     MessageListener::Handler handler, ClosedHandler on_closed)
      : options_(std::move(options)),
        executor_(socket.get_executor()),
        handshake_timer_(executor_),
        handler_(std::move(handler)),
        on_closed_(std::move(on_closed)),
        frames_(std::make_shared<FramedConnection>(
            std::move(socket),
            FrameLimits{kMaxHandshakeFrameBytes, options_->max_queued_bytes})) {
  }

  void Start() {
    const auto weak = weak_from_this();
    frames_->Start({[weak](std::string_view frame) {
                      if (const auto self = weak.lock()) {
                        self->TakeFrame(frame);
                      }
                    },
                    [weak](const Error& error) {
                      if (const auto self = weak.lock()) {
                        self->Closed(error);
                      }
                    }});
    handshake_timer_.expires_after(options_->handshake_timeout);
    handshake_timer_.async_wait([weak](const asio::error_code& e) {
      const auto self = weak.lock();
      if (!e && self && !self->established_) {
        self->Refuse("handshake took too long");
      }
    });
  }

  void Close() {
    handshake_timer_.cancel();
    frames_->Close();
  }

  /// Sends from any thread.
  void SendEnvelope(protocol::Envelope envelope) {
    asio::dispatch(executor_, [self = shared_from_this(),
                               envelope = std::move(envelope)] {
      self->frames_->Send(EncodeStamped(envelope, self->options_->clock.get()));
    });
  }

 private:
  void TakeFrame(std::string_view frame) {
    if (established_) {
      TakeEnvelope(frame);
    } else if (challenge_.nonce.empty()) {
      TakeHello(frame);
    } else {
      TakeChallengeAnswer(frame);
    }
  }

  void TakeHello(std::string_view frame) {
    auto hello = protocol::Decode<protocol::Hello>(frame);
    if (!hello) {
      Refuse(hello.error().message);
      return;
    }
    hello_ = std::move(hello).value();
    if (hello_.version != protocol::kProtocolVersion) {
      Refuse("protocol version " + std::to_string(hello_.version));
      return;
    }
    challenge_.process = options_->self;
    challenge_.nonce = MakeNonce();
    challenge_.proof = MakeProof(options_->secret, HandshakeRole::kListener,
                                 hello_, challenge_);
    frames_->Send(protocol::Encode(challenge_));
  }

  void TakeChallengeAnswer(std::string_view frame) {
    const auto answer = protocol::Decode<protocol::ChallengeAnswer>(frame);
    if (!answer ||
        !SameProof(answer.value().proof,
                   MakeProof(options_->secret, HandshakeRole::kConnector,
                             hello_, challenge_))) {
      Refuse("wrong proof of the shared secret");
      return;
    }
    established_ = true;
    handshake_timer_.cancel();
    frames_->set_max_frame_bytes(options_->max_frame_bytes);
    frames_->StartHeartbeats(options_->heartbeat, options_->silence);
    EmitPeerEvent(*options_, EventId::kPeerConnected, hello_.process,
                  "inbound");
  }

  void TakeEnvelope(std::string_view frame) {
    auto envelope = DecodeStamped(frame, options_->clock.get());
    if (!envelope) {
      Refuse(envelope.error().message);
      return;
    }
    if (envelope.value().version != protocol::kProtocolVersion) {
      Refuse("protocol version " + std::to_string(envelope.value().version));
      return;
    }
    const std::uint64_t request = envelope.value().request;
    handler_({hello_.process, std::move(envelope).value()},
             ReplyHandle(weak_from_this(), request));
  }

  void Refuse(const std::string& reason) {
    EmitPeerEvent(*options_, EventId::kPeerRefused, hello_.process, reason);
    established_ = false;
    frames_->Fail(MakeError(ErrorCode::kHandshakeFailed, reason));
  }

  void Closed(const Error& error) {
    if (established_) {
      EmitPeerEvent(*options_, EventId::kPeerSilent, hello_.process,
                    error.message);
    } else if (error.code == ErrorCode::kFrameTooLarge) {
      EmitPeerEvent(*options_, EventId::kPeerRefused, hello_.process,
                    error.message);
    }
    handshake_timer_.cancel();
    on_closed_(shared_from_this());
  }

  std::shared_ptr<const TransportOptions> options_;
  tcp::socket::executor_type executor_;
  asio::steady_timer handshake_timer_;
  MessageListener::Handler handler_;
  ClosedHandler on_closed_;
  std::shared_ptr<FramedConnection> frames_;
  protocol::Hello hello_;
  protocol::Challenge challenge_;
  bool established_ = false;
};

}  // namespace detail

void ReplyHandle::Reply(protocol::MessageKind kind, std::string body) const {
  if (request_ != 0) {
    SendEnvelope({protocol::kProtocolVersion, kind, request_, std::move(body)});
  }
}

void ReplyHandle::Push(protocol::MessageKind kind, std::string body) const {
  SendEnvelope({protocol::kProtocolVersion, kind, 0, std::move(body)});
}

void ReplyHandle::SendEnvelope(protocol::Envelope envelope) const {
  if (const auto connection = connection_.lock()) {
    connection->SendEnvelope(std::move(envelope));
  }
}

class MessageListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, TransportOptions options, Handler handler)
      : acceptor_(io),
        retry_timer_(io),
        options_(std::make_shared<const TransportOptions>(std::move(options))),
        handler_(std::move(handler)) {}

  Status Listen(const Endpoint& endpoint) {
    asio::error_code e;
    const auto address = asio::ip::make_address(endpoint.address, e);
    const tcp::endpoint local(address, endpoint.port);
    if (!e) {
      acceptor_.open(local.protocol(), e);
    }
    if (!e) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), e);
    }
    if (!e) {
      acceptor_.bind(local, e);
    }
    if (!e) {
      acceptor_.listen(asio::socket_base::max_listen_connections, e);
    }
    if (e) {
      return MakeError(ErrorCode::kDisconnected,
                       ToString(endpoint) + ": " + e.message());
    }
    bound_ = {endpoint.address, acceptor_.local_endpoint().port()};
    Accept();
    return outcome::success();
  }

  const Endpoint& endpoint() const { return bound_; }

  void Stop() {
    asio::dispatch(acceptor_.get_executor(), [self = shared_from_this()] {
      asio::error_code ignored;
      self->stopped_ = true;
      self->acceptor_.close(ignored);
      self->retry_timer_.cancel();
      for (const auto& connection : std::exchange(self->connections_, {})) {
        connection->Close();
      }
    });
  }

 private:
  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](
                               const asio::error_code& e, tcp::socket socket) {
      if (self->stopped_) {
        return;
      }
      if (e) {
        self->AcceptLater();
        return;
      }
      self->Take(std::move(socket));
      self->Accept();
    });
  }

  /// Out of descriptors, for instance: waits instead of spinning.
  void AcceptLater() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& e) {
          if (!e && !self->stopped_) {
            self->Accept();
          }
        });
  }

  void Take(tcp::socket socket) {
    if (connections_.size() >= options_->max_connections) {
      EmitPeerEvent(*options_, EventId::kPeerRefused, {},
                    "too many connections");
      return;
    }
    const std::weak_ptr<Impl> weak = weak_from_this();
    auto connection = std::make_shared<detail::ListenerConnection>(
        std::move(socket), options_, handler_,
        [weak](const std::shared_ptr<detail::ListenerConnection>& closed) {
          if (const auto self = weak.lock()) {
            self->connections_.erase(closed);
          }
        });
    connections_.insert(connection);
    connection->Start();
  }

  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::shared_ptr<const TransportOptions> options_;
  Handler handler_;
  Endpoint bound_;
  std::set<std::shared_ptr<detail::ListenerConnection>> connections_;
  bool stopped_ = false;
};

MessageListener::MessageListener(asio::io_context& io, TransportOptions options,
                                 Handler handler)
    : impl_(
          std::make_shared<Impl>(io, std::move(options), std::move(handler))) {}

MessageListener::~MessageListener() { Stop(); }

Status MessageListener::Listen(const Endpoint& endpoint) {
  return impl_->Listen(endpoint);
}

Endpoint MessageListener::endpoint() const { return impl_->endpoint(); }

void MessageListener::Stop() { impl_->Stop(); }

}  // namespace rattanward::adapter
