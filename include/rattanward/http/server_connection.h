#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "rattanward/domain/time.h"
#include "rattanward/http/memory_budget.h"
#include "rattanward/http/message.h"
#include "rattanward/http/parser.h"
#include "rattanward/http/unanswered_end.h"

namespace rattanward::http {

/// @brief Timeouts and message sizes of server connections.
struct ServerLimits {
  ParserLimits parser;
  /// Maximum time from the first to the last byte of a message head.
  Duration header_timeout{std::chrono::seconds(3)};
  /// Maximum time without progress: between requests, within a request body,
  /// or while the peer does not read the response.
  Duration idle_timeout{std::chrono::seconds(15)};
  /// Time for the peer to read the last response before the socket is closed.
  /// It is repeated up to idle_timeout while the peer has not received all.
  Duration linger_time{std::chrono::seconds(2)};
};

/// @brief Complete request.
struct ServerRequest {
  RequestHead head;
  std::shared_ptr<const std::string> body;
  /// When the first byte of the request was processed.
  TimePoint arrived;
};

/// @brief Memory budget shared by all request bodies of a server, in bytes.
struct BodyBudget {
  std::size_t limit = 0;
  std::size_t used = 0;
};

class ServerConnection;

/// @brief Interface to the owner of server connections.
/// @note All calls are made on the io_context's thread.
class ServerHandler {
 public:
  virtual ~ServerHandler() = default;

  /// @brief Limits for the next message on a connection.
  virtual ServerLimits Limits() const = 0;

  /// @brief Memory budget for the request bodies of all connections.
  /// @note A request returns its share when its body is destroyed.
  virtual std::shared_ptr<BodyBudget> SharedBodyBudget() = 0;

  /// @brief Memory budget for all that connections hold.
  virtual std::shared_ptr<MemoryBudget> SharedMemory() = 0;

  /// @brief Handles a request.
  /// @note The response is sent on the connection, now or later.
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         ServerRequest request) = 0;

  /// @brief A message was rejected before it was complete.
  /// @return Response to the peer; the connection closes after it.
  virtual Response OnRejected(const Error& error) = 0;

  /// @brief A connection ends with a request that has no complete response.
  virtual void OnUnanswered(UnansweredEnd end) = 0;

  /// @brief The connection has closed; the owner must release it.
  virtual void OnClosed(ServerConnection& connection) = 0;
};

/// @brief Accepted connection that processes one request at a time.
/// @note Pipelined bytes that arrive while a request is in progress are
/// buffered up to a limit and parsed after its response. Up to that limit, a
/// close by the peer is also detected while a request is in progress.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private MemoryHolder {
 public:
  ServerConnection(asio::ip::tcp::socket socket, ServerHandler& handler);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// @brief Starts reading requests.
  void Start();

  /// @brief Callbacks about the connection for the current request.
  struct Watcher {
    /// The peer closed the connection or did not read the response in time.
    std::function<void()> on_disconnect;
    /// The output buffer is empty; more may be written.
    std::function<void()> on_drained;
    /// The memory budget is used up. Refuses the request if it has not run.
    /// If not, or if this is empty, the connection is closed.
    std::function<void()> on_memory_exhausted;
  };

  /// @brief Sets the callbacks of the current request.
  /// @note They are reset when the response ends.
  void Watch(Watcher watcher) { watcher_ = std::move(watcher); }

  /// @brief Sends a complete response to the current request.
  void Respond(ResponseHead head, std::string_view body);

  /// @brief Starts a response whose body follows in pieces.
  /// @param head Status line and header fields.
  /// @param length Body size in bytes. If unknown, the body is chunked, or ends
  /// with the connection for HTTP/1.0.
  void StartBody(ResponseHead head, std::optional<std::uint64_t> length);

  /// @brief Appends a piece of the body to the output buffer; see Flush().
  void Write(std::string_view piece);

  /// @brief Starts sending the output buffer.
  void Flush();

  /// @brief Ends the response that StartBody() began.
  void FinishBody();

  /// @brief Closes the connection immediately, with a reset if a request is in
  /// progress.
  /// @note A reset makes sure that the peer doesn't take a truncated response
  /// for a complete one. It also discards what the peer has not received yet,
  /// so a complete response is never followed by one.
  /// @param end Counted if a request has no complete response.
  void Abort(UnansweredEnd end = UnansweredEnd::kAborted);

  /// @brief Closes the connection after the current response, or immediately if
  /// it is idle.
  /// @note A request that has already arrived is handled. A connection whose
  /// peer has reason to send another request now gets a short time for it: if
  /// it had none so far, or if the head of the current response, already sent,
  /// doesn't announce the close.
  void CloseWhenIdle();

  /// @brief Rejects the first request as soon as its head is complete, and then
  /// closes the connection.
  /// @param error Reason given to ServerHandler::OnRejected().
  void RefuseRequest(Error error);

  /// @brief Number of output bytes not yet written to the socket.
  std::size_t buffered() const { return output_.size() - sent_; }

  /// @brief Sets the bytes that the owner holds for the current response. They
  /// are charged to the memory budget with those of the connection.
  void HoldForResponse(std::size_t bytes);

  /// @brief How many output bytes may be buffered before reading from their
  /// source pauses.
  /// @param most Limit while the memory budget is not in demand.
  std::size_t ReadAhead(std::size_t most) const {
    return memory_->ReadAhead(most);
  }

  bool closed() const { return state_ == State::kClosed; }
  bool busy() const { return state_ == State::kBusy; }

 private:
  /// kBusy: a request is in progress. kLingering: the last response was ended
  /// and the connection is about to close.
  enum class State : std::uint8_t { kReading, kBusy, kLingering, kClosed };

  void WaitReadable();
  void OnReadable();
  void ParseInput();
  void ParseInputLater();
  void StartMessage();
  void DispatchRequest();
  bool ChargeBodyBudget();
  void ReleaseBodyBudget();
  void Reject(const Error& error);
  void UpdateCharge();
  void FreeUnusedBuffers();
  std::size_t HeldBytes() const;
  void GiveUpMemory() override;
  void EndForMemory();
  void EndResponse();
  void AddConnectionField(ResponseHead* head);
  bool HasPipelinedInput();
  void TrySend();
  void OnOutputSent();
  void SetResetOnClose(bool reset);
  void Linger();
  void CloseAndNotify(UnansweredEnd end);
  bool unanswered() const;
  void Close();
  void SetDeadline(TimePoint deadline);
  void ArmTimer();
  void OnTimer();
  bool MakesProgress();
  bool ReadBeforeTimeout();
  bool SendBeforeTimeout();
  bool ProlongIdle();
  void OnPeerClosed(bool reset);
  bool DiscardInput();
  void DiscardBeforeClose();
  bool LingersOn();
  Duration IdleTimeout() const;
  void UpdateInputDeadline();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  ServerHandler& handler_;
  ServerLimits limits_;
  RequestParser parser_;
  std::string input_;
  std::string output_;
  std::size_t sent_ = 0;
  std::shared_ptr<BodyBudget> body_budget_;
  /// Bytes of the current request body that are charged to body_budget_.
  std::size_t charged_bytes_ = 0;
  std::shared_ptr<MemoryBudget> memory_;
  /// Of the request in progress, and held by the owner for its response.
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  Watcher watcher_;
  std::optional<Error> refusal_;
  State state_ = State::kReading;
  TimePoint first_byte_time_;
  TimePoint deadline_;
  TimePoint linger_end_;
  TimePoint idle_since_;
  /// Expiry of timer_. It can be earlier than deadline_, since a later deadline
  /// does not rearm the timer until it expires.
  TimePoint timer_deadline_;
  bool message_started_ = false;
  bool first_request_awaited_ = true;
  bool continue_sent_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool timer_armed_ = false;
  /// Another request can't follow on the connection.
  bool must_close_ = false;
  bool close_requested_ = false;
  /// The head of the last response told that the connection will close. A peer
  /// sends no further request after that, and one that was pipelined is unread.
  bool close_announced_ = false;
  bool head_request_ = false;
  bool chunked_ = false;
  bool is_http10_ = false;
  /// The memory budget has forgotten this connection, which will be closed.
  bool memory_given_up_ = false;
};

}  // namespace rattanward::http
