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

/// @brief How an exchange on a client connection failed.
enum class ClientFailure : std::uint8_t {
  /// No byte of the request was written.
  kNotSent,
  /// The peer closed or reset before a byte of its answer came.
  kNoResponse,
  /// The answer began and was cut off.
  kTruncated,
  /// The bytes are not an answer.
  kMalformed,
};

/// @brief What the owner of an exchange is told, in this order.
class ClientHandler {
 public:
  virtual ~ClientHandler() = default;
  /// @brief Whether the answer belongs to the request; one that does not is
  /// skipped, if its end can be found.
  virtual bool IsMatchingResponse(const ResponseHead& head) const = 0;
  virtual void OnHead(const ResponseHead& head, Framing framing,
                      std::uint64_t length) = 0;
  virtual void OnBody(std::string_view piece) = 0;
  /// @brief Everything that one read gave was handed over.
  virtual void OnReadEnd() = 0;
  /// @brief The answer is whole.
  virtual void OnComplete() = 0;
  virtual void OnFailure(ClientFailure failure) = 0;
};

/// @brief One connection to an upstream; one request at a time.
/// @note A closed connection calls no handler any more. Between two requests
/// it is watched: bytes or a close there mean that it can't be used again.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& io, Endpoint peer);

  /// @brief Sends a request, connecting first if need be.
  /// @param head The serialized head.
  /// @param body The body; kept until it is sent.
  /// @param connect_timeout Longest time for a new connection.
  /// @param handler Told of the answer; outlives the exchange or closes it.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            Duration connect_timeout, ClientHandler* handler);

  /// @brief The request was to a HEAD method; call before Send.
  void SetHeadRequest(bool head_request) { head_request_ = head_request; }

  /// @brief Stops and goes on reading the answer.
  void Pause() { paused_ = true; }
  void Resume();

  /// @brief Closes at once; no handler is called.
  void Close();

  /// @brief Whether another request may be sent on it now.
  bool Reusable(TimePoint now) const;
  bool closed() const { return closed_; }
  /// @brief Whether a request was sent on it before the present one.
  bool reused() const { return exchanges_ > 1; }
  /// @brief Whether any byte of the present request was written.
  bool sent_any() const { return sent_ > 0; }
  /// @brief Whether the whole present request was written.
  bool sent_all() const {
    return body_ && sent_ == head_.size() + body_->size();
  }
  const Endpoint& peer() const { return peer_; }
  /// @brief How long it was idle before the present request.
  Duration idle_before() const { return idle_before_; }
  /// @brief How long its peer keeps it, as far as it was named.
  Duration keep_alive() const { return keep_alive_; }

  /// @brief Called when an idle connection turns out to be closed.
  std::function<void(ClientConnection&)> on_idle_closed;

 private:
  void Connect(Duration timeout);
  void TrySend();
  void WaitReadable();
  void OnReadable();
  void ParseInput();
  void ProcessHead();
  void FinishSkippedResponse();
  void Complete();
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
  bool paused_ = false;
  bool awaiting_response_ = false;
  bool head_delivered_ = false;
  bool skipping_response_ = false;
  bool head_request_ = false;
  bool peer_will_close_ = false;
};

}  // namespace rattanward::http
