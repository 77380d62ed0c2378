#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <random>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/detail/stamped_envelope.h"
#include "rattanward/adapter/framed_connection.h"
#include "rattanward/adapter/handshake.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using asio::ip::tcp;
using protocol::Envelope;

struct PendingCall {
  PeerClient::CallCallback callback;
  std::shared_ptr<asio::steady_timer> timer;
};

}  // namespace

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, TransportOptions options, Endpoint peer,
       PushHandler on_push, ConnectedHandler on_connected)
      : io_(io),
        timer_(io),
        options_(std::move(options)),
        peer_(std::move(peer)),
        on_push_(std::move(on_push)),
        on_connected_(std::move(on_connected)),
        backoff_(options_.min_backoff) {}

  /// Runs fn on the io_context's thread.
  template <class Fn>
  void OnThread(Fn fn) {
    asio::dispatch(io_, [self = shared_from_this(),
                         fn = std::move(fn)]() mutable { fn(*self); });
  }

  void Start() {
    if (!started_ && !stopped_) {
      started_ = true;
      Connect();
    }
  }

  void Send(Envelope envelope) {
    if (established_) {
      envelope.request = 0;
      frames_->Send(
          detail::EncodeStamped(std::move(envelope), options_.clock.get()));
    }
  }

  void Call(Envelope envelope, Duration timeout, CallCallback callback) {
    if (!established_) {
      callback(MakeError(ErrorCode::kDisconnected,
                         "not connected to " + ToString(peer_)));
      return;
    }
    envelope.request = ++last_request_;
    if (pending_.size() >= options_.max_pending_calls ||
        !frames_->Send(
            detail::EncodeStamped(std::move(envelope), options_.clock.get()))) {
      callback(MakeError(ErrorCode::kDisconnected,
                         "too much is queued for " + ToString(peer_)));
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, timeout);
    timer->async_wait([weak = weak_from_this(),
                       request = last_request_](const asio::error_code& e) {
      const auto self = weak.lock();
      if (!e && self) {
        self->Finish(request,
                     MakeError(ErrorCode::kOutcomeUnknown, "no answer in time",
                               Verdict::kMayHaveRun));
      }
    });
    pending_.emplace(last_request_, PendingCall{std::move(callback), timer});
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    Disconnect();
  }

  bool connected() const { return connected_; }
  const Endpoint& peer() const { return peer_; }

 private:
  void Connect() {
    ++connection_;
    asio::error_code e;
    const auto address = asio::ip::make_address(peer_.address, e);
    if (e) {
      ConnectLater();
      return;
    }
    auto socket = std::make_shared<tcp::socket>(io_);
    timer_.expires_after(options_.handshake_timeout);
    timer_.async_wait([weak = weak_from_this(), socket,
                       id = connection_](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self && self->connection_ == id && !self->established_) {
        asio::error_code ignored;
        socket->close(ignored);
        self->Lost("handshake took too long");
      }
    });
    socket->async_connect(
        tcp::endpoint(address, peer_.port),
        [weak = weak_from_this(), socket,
         id = connection_](const asio::error_code& error) {
          const auto self = weak.lock();
          if (!self || self->stopped_ || self->connection_ != id) {
            return;
          }
          if (error) {
            self->Lost(error.message());
          } else {
            self->StartHandshake(std::move(*socket));
          }
        });
  }

  void StartHandshake(tcp::socket socket) {
    frames_ = std::make_shared<detail::FramedConnection>(
        std::move(socket), detail::FrameLimits{detail::kMaxHandshakeFrameBytes,
                                               options_.max_queued_bytes});
    const auto weak = weak_from_this();
    const auto id = connection_;
    frames_->Start({[weak, id](std::string_view frame) {
                      const auto self = weak.lock();
                      if (self && self->connection_ == id) {
                        self->TakeFrame(frame);
                      }
                    },
                    [weak, id](const Error& error) {
                      const auto self = weak.lock();
                      if (self && self->connection_ == id) {
                        self->Lost(error.message);
                      }
                    }});
    hello_ = {protocol::kProtocolVersion, options_.self, detail::MakeNonce()};
    frames_->Send(protocol::Encode(hello_));
  }

  void TakeFrame(std::string_view frame) {
    if (established_) {
      TakeEnvelope(frame);
    } else {
      TakeChallenge(frame);
    }
  }

  void TakeChallenge(std::string_view frame) {
    const auto challenge = protocol::Decode<protocol::Challenge>(frame);
    if (!challenge ||
        !detail::SameProof(
            challenge.value().proof,
            detail::MakeProof(options_.secret, detail::HandshakeRole::kListener,
                              hello_, challenge.value()))) {
      Emit(EventId::kPeerRefused, "wrong proof of the shared secret");
      Lost("handshake failed");
      return;
    }
    frames_->Send(protocol::Encode(protocol::ChallengeAnswer{
        detail::MakeProof(options_.secret, detail::HandshakeRole::kConnector,
                          hello_, challenge.value())}));
    frames_->set_max_frame_bytes(options_.max_frame_bytes);
    frames_->StartHeartbeats(options_.heartbeat, options_.silence);
    timer_.cancel();
    established_ = true;
    connected_ = true;
    established_at_ = MonotonicNow();
    Emit(EventId::kPeerConnected, "outbound");
    if (on_connected_) {
      on_connected_(challenge.value().process);
    }
  }

  void TakeEnvelope(std::string_view frame) {
    auto envelope = detail::DecodeStamped(frame, options_.clock.get());
    if (!envelope || envelope.value().version != protocol::kProtocolVersion) {
      Emit(EventId::kPeerRefused, "malformed message");
      Lost("malformed message");
      return;
    }
    const std::uint64_t request = envelope.value().request;
    if (request != 0) {
      Finish(request, std::move(envelope).value());
    } else if (on_push_) {
      on_push_(envelope.value());
    }
  }

  /// Ends a pending call; a request that is not pending is a late answer.
  void Finish(std::uint64_t request, Result<Envelope> result) {
    const auto found = pending_.find(request);
    if (found == pending_.end()) {
      return;
    }
    const PendingCall call = std::move(found->second);
    pending_.erase(found);
    call.timer->cancel();
    call.callback(std::move(result));
  }

  void Lost(const std::string& reason) {
    if (established_) {
      Emit(EventId::kPeerSilent, reason);
      if (MonotonicNow() - established_at_ > options_.max_backoff) {
        backoff_ = options_.min_backoff;
      }
    }
    Disconnect();
    if (!stopped_) {
      ConnectLater();
    }
  }

  void Disconnect() {
    ++connection_;
    established_ = false;
    connected_ = false;
    if (frames_) {
      frames_->Close();
      frames_.reset();
    }
    for (auto& [request, call] : std::exchange(pending_, {})) {
      call.timer->cancel();
      call.callback(MakeError(ErrorCode::kDisconnected,
                              "connection lost before the answer",
                              Verdict::kMayHaveRun));
    }
  }

  void ConnectLater() {
    timer_.expires_after(backoff_ + Jitter());
    backoff_ = std::min(2 * backoff_, options_.max_backoff);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& e) {
      const auto self = weak.lock();
      if (!e && self && !self->stopped_) {
        self->Connect();
      }
    });
  }

  /// Spreads the attempts of many processes after a restart of their peer.
  Duration Jitter() {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, backoff_.count() / 2)(random_));
  }

  void Emit(EventId id, const std::string& detail) const {
    if (options_.events) {
      options_.events(
          Event{id, {{"peer", ToString(peer_)}, {"detail", detail}}});
    }
  }

  asio::io_context& io_;
  /// Limits the handshake, and delays the next attempt to connect.
  asio::steady_timer timer_;
  TransportOptions options_;
  Endpoint peer_;
  PushHandler on_push_;
  ConnectedHandler on_connected_;
  Duration backoff_;
  std::minstd_rand random_{std::random_device()()};
  TimePoint established_at_;
  std::shared_ptr<detail::FramedConnection> frames_;
  protocol::Hello hello_;
  std::map<std::uint64_t, PendingCall> pending_;
  std::uint64_t last_request_ = 0;
  /// Number of the present connection; callbacks of older ones do nothing.
  std::uint64_t connection_ = 0;
  bool started_ = false;
  bool stopped_ = false;
  bool established_ = false;
  std::atomic<bool> connected_{false};
};

PeerClient::PeerClient(asio::io_context& io, TransportOptions options,
                       Endpoint peer, PushHandler on_push,
                       ConnectedHandler on_connected)
    : impl_(std::make_shared<Impl>(io, std::move(options), std::move(peer),
                                   std::move(on_push),
                                   std::move(on_connected))) {}

PeerClient::~PeerClient() { Stop(); }

void PeerClient::Start() {
  impl_->OnThread([](Impl& impl) { impl.Start(); });
}

void PeerClient::Send(Envelope envelope) {
  impl_->OnThread([envelope = std::move(envelope)](Impl& impl) mutable {
    impl.Send(std::move(envelope));
  });
}

void PeerClient::Call(Envelope envelope, Duration timeout,
                      CallCallback callback) {
  impl_->OnThread([envelope = std::move(envelope), timeout,
                   callback = std::move(callback)](Impl& impl) mutable {
    impl.Call(std::move(envelope), timeout, std::move(callback));
  });
}

bool PeerClient::connected() const { return impl_->connected(); }

const Endpoint& PeerClient::peer() const { return impl_->peer(); }

void PeerClient::Stop() {
  impl_->OnThread([](Impl& impl) { impl.Stop(); });
}

}  // namespace rattanward::adapter
