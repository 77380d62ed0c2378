#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/http/message.h"
#include "rattanward/http/parser.h"

namespace rattanward::http {

/// @brief Reason why an exchange on a client connection failed.
enum class ClientFailure : std::uint8_t {
  /// No byte of the request was written.
  kNotSent,
  /// The peer closed or reset the connection before a response head arrived.
  kNoResponse,
  /// The response head arrived, but its body is incomplete or invalid.
  kTruncated,
  /// The received bytes are not a valid HTTP response.
  kMalformed,
};

/// @brief Callbacks for one exchange on a client connection.
/// @note The callbacks come in the order of their declaration. OnBody() and
/// OnReadEnd() can repeat. Either OnComplete() or OnFailure() is the last, and
/// OnFailure() can come at any point.
class ClientHandler {
 public:
  virtual ~ClientHandler() = default;
  /// @brief A response head arrived, also that of an interim response or of one
  /// that will be skipped.
  virtual void OnReceivedHead(const ResponseHead& /*head*/) {}
  /// @brief Whether the response belongs to the request.
  /// @note A response that does not is skipped. If only a close of the
  /// connection would end it, the exchange fails.
  virtual bool IsMatchingResponse(const ResponseHead& head) const = 0;
  /// @param head Status line and header fields.
  /// @param framing How the end of the body is determined.
  /// @param length Value of Content-Length in bytes; 0 if the field is absent.
  virtual void OnHead(const ResponseHead& head, Framing framing,
                      std::uint64_t length) = 0;
  virtual void OnBody(std::string_view piece) = 0;
  /// @brief All input of one socket read has been processed.
  virtual void OnReadEnd() = 0;
  /// @brief The response is complete.
  virtual void OnComplete() = 0;
  virtual void OnFailure(ClientFailure failure) = 0;
};

/// @brief Connection to an upstream that carries one request at a time.
/// @note No handler is called after Close(). While the connection is idle, it
/// is still monitored for input: received bytes or a close by the peer close
/// it, since it can't be reused.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& io, Endpoint peer);

  /// @brief Sends a request and connects first if necessary.
  /// @note Fails with kNotSent if the peer has closed a reused connection or
  /// has sent anything on it since its last response.
  /// @param head Serialized request head.
  /// @param body Request body; kept until the exchange has completed.
  /// @param connect_timeout Timeout for establishing a new connection.
  /// @param handler Receives the callbacks. It must outlive the exchange or
  /// call Close() before it is destroyed.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            Duration connect_timeout, ClientHandler* handler);

  /// @brief Sets whether the next request uses the HEAD method.
  /// @note Call before Send().
  void SetHeadRequest(bool head_request) { head_request_ = head_request; }

  /// @brief Stops reading the response, for backpressure.
  void Pause() { paused_ = true; }
  /// @brief Continues reading after Pause().
  void Resume();

  /// @brief Closes the connection immediately without calling the handler.
  void Close();

  /// @brief Whether another request may be sent on this connection now.
  bool Reusable(TimePoint now) const;
  bool closed() const { return closed_; }
  /// @brief Whether another request preceded the current one.
  bool reused() const { return exchanges_ > 1; }
  /// @brief Whether any byte of the current request was written.
  bool sent_any() const { return sent_ > 0; }
  /// @brief Whether the current request was written completely.
  bool sent_all() const {
    return body_ && sent_ == head_.size() + body_->size();
  }
  const Endpoint& peer() const { return peer_; }
  /// @brief Idle time of the connection before the current request.
  Duration idle_before() const { return idle_before_; }
  /// @brief How long the connection counts as reusable while idle.
  /// @note Derived from the Keep-Alive timeout of the peer, or a default value
  /// if the peer sent none.
  Duration keep_alive() const { return keep_alive_; }

  /// @brief Called when an idle connection becomes unusable and was closed.
  std::function<void(ClientConnection&)> on_idle_closed;

 private:
  void Connect(Duration timeout);
  bool ReadsNothing();
  void FailLater();
  void TrySend();
  void WaitReadable();
  void OnReadable();
  void ParseInput();
  void ProcessHead();
  void FinishSkippedResponse();
  void Complete();
  bool PeerHasRequest();
  void OnPeerClosed(bool reset);
  void Fail(ClientFailure failure);
  void UpdateKeepAlive(const ResponseHead& head);

  asio::io_context& io_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  Endpoint peer_;
  ClientHandler* handler_ = nullptr;
  std::unique_ptr<ResponseParser> parser_;
  std::string input_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::size_t sent_ = 0;
  std::uint64_t exchanges_ = 0;
  TimePoint usable_until_;
  Duration keep_alive_{0};
  Duration idle_before_{0};
  TimePoint idle_since_;
  bool connected_ = false;
  bool connecting_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool send_failed_ = false;
  bool paused_ = false;
  bool awaiting_response_ = false;
  bool head_delivered_ = false;
  /// The current response is interim (1xx) or doesn't match the request.
  bool skipping_response_ = false;
  bool head_request_ = false;
  bool peer_will_close_ = false;
};

}  // namespace rattanward::http
