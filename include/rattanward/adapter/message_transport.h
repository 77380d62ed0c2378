#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/port/logical_clock.h"
#include "rattanward/protocol/envelope.h"

namespace rattanward::adapter {

/// @brief Settings of the connections between the system's own processes.
struct TransportOptions {
  /// This process, as its peers log it.
  ProcessId self;
  /// Shared secret that both ends prove in the handshake.
  std::string secret;
  /// Largest frame that is sent or taken, in bytes.
  std::uint32_t max_frame_bytes = 16U << 20U;
  /// Bytes that may wait to be sent on one connection.
  std::size_t max_queued_bytes = 32U << 20U;
  /// Connections that a listener holds at once.
  std::size_t max_connections = 1024;
  /// Calls without an answer that a client holds at once.
  std::size_t max_pending_calls = 4096;
  /// Period of heartbeats on a connection.
  Duration heartbeat{std::chrono::milliseconds(500)};
  /// Nothing heard for this long closes a connection.
  Duration silence{std::chrono::milliseconds(1500)};
  /// Connecting and shaking hands must end within this time.
  Duration handshake_timeout{std::chrono::milliseconds(1500)};
  /// Delay before the first and before later attempts to connect again.
  Duration min_backoff{std::chrono::milliseconds(50)};
  Duration max_backoff{std::chrono::milliseconds(1000)};
  /// Takes kPeerConnected, kPeerSilent and kPeerRefused; may be empty.
  port::EventSink events;
  /// Stamped on each message sent and merged from each one taken; may be null.
  std::shared_ptr<port::LogicalClock> clock;
};

/// @brief A message that a listener received, from a proven peer.
struct InboundMessage {
  /// The name that the peer gave in the handshake.
  ProcessId from;
  protocol::Envelope envelope;

  friend bool operator==(const InboundMessage&,
                         const InboundMessage&) = default;
};

namespace detail {
class ListenerConnection;
}  // namespace detail

/// @brief Answers one inbound message; may be kept and used from any thread.
/// @note Does nothing once the connection that the message came on is closed.
class ReplyHandle {
 public:
  ReplyHandle() = default;
  ReplyHandle(std::weak_ptr<detail::ListenerConnection> connection,
              std::uint64_t request)
      : connection_(std::move(connection)), request_(request) {}

  /// @brief Answers the call; the caller takes one answer for a call.
  void Reply(protocol::MessageKind kind, std::string body) const;

  /// @brief Sends a one-way message on the same connection.
  void Push(protocol::MessageKind kind, std::string body) const;

  /// @brief Whether the connection is still held.
  bool connected() const { return !connection_.expired(); }

  /// @brief Whether both messages came on the same connection.
  bool SharesConnection(const ReplyHandle& other) const {
    return !connection_.owner_before(other.connection_) &&
           !other.connection_.owner_before(connection_);
  }

 private:
  void SendEnvelope(protocol::Envelope envelope) const;

  std::weak_ptr<detail::ListenerConnection> connection_;
  std::uint64_t request_ = 0;
};

/// @brief Takes connections of peers that know the shared secret.
/// @note Handlers run on the io_context's thread; one thread runs it.
class MessageListener {
 public:
  using Handler =
      std::function<void(const InboundMessage&, const ReplyHandle&)>;

  MessageListener(asio::io_context& io, TransportOptions options,
                  Handler handler);
  ~MessageListener();
  MessageListener(const MessageListener&) = delete;
  MessageListener& operator=(const MessageListener&) = delete;

  /// @brief Binds and starts to accept; port 0 picks a free port.
  /// Errors: kDisconnected if the address can't be bound.
  Status Listen(const Endpoint& endpoint);

  /// @brief The bound endpoint, with the port that was picked.
  Endpoint endpoint() const;

  /// @brief Closes the listener and its connections; from any thread.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// @brief A connection to one peer that is opened again whenever it is lost.
/// @note Methods may be called from any thread; callbacks run on the
/// io_context's thread. Nothing is ever sent twice by this layer.
class PeerClient {
 public:
  using CallCallback = std::function<void(Result<protocol::Envelope>)>;
  using PushHandler = std::function<void(const protocol::Envelope&)>;
  using ConnectedHandler = std::function<void(const ProcessId&)>;

  /// @param on_push Takes one-way messages of the peer; may be empty.
  /// @param on_connected Takes the name of the peer after each handshake; may
  /// be empty.
  PeerClient(asio::io_context& io, TransportOptions options, Endpoint peer,
             PushHandler on_push = {}, ConnectedHandler on_connected = {});
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// @brief Starts to connect.
  void Start();

  /// @brief Sends a one-way message; dropped when not connected or when the
  /// send queue is full.
  /// @param envelope The message; its request id is set to 0.
  void Send(protocol::Envelope envelope);

  /// @brief Sends a message and waits for its answer.
  /// @param envelope The message; its request id is set here.
  /// @param timeout Longest wait for the answer.
  /// @param callback Called once with the answer or the error.
  /// Errors: kDisconnected with the verdict not run if nothing was sent, or
  /// may have run if the connection was lost; kOutcomeUnknown on a timeout.
  void Call(protocol::Envelope envelope, Duration timeout,
            CallCallback callback);

  /// @brief Whether the handshake is done on the present connection.
  bool connected() const;

  /// @brief Endpoint of the peer.
  const Endpoint& peer() const;

  /// @brief Closes the connection and fails the pending calls.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace rattanward::adapter
