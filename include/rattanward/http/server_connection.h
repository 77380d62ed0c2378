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
#include "rattanward/http/message.h"
#include "rattanward/http/parser.h"

namespace rattanward::http {

/// @brief Times and sizes of the connections of a server.
struct ServerLimits {
  ParserLimits parser;
  /// From the first byte of a head to its last.
  Duration header_timeout{std::chrono::seconds(3)};
  /// Longest silence between requests, within a body, or of a caller that
  /// does not take its answer.
  Duration idle_timeout{std::chrono::seconds(15)};
};

/// @brief A whole request, with the moment of its first byte.
struct ServerRequest {
  RequestHead head;
  std::shared_ptr<const std::string> body;
  TimePoint arrived;
};

/// @brief Memory that the bodies of requests may take together.
struct BodyBudget {
  std::size_t limit = 0;
  std::size_t used = 0;
};

class ServerConnection;

/// @brief What the owner of server connections does with requests.
/// @note All calls are on the io_context's thread.
class ServerHandler {
 public:
  virtual ~ServerHandler() = default;

  /// @brief Limits for the next message of a connection.
  virtual ServerLimits Limits() const = 0;

  /// @brief What bodies take of all connections; a request gives its part back
  /// when its body is dropped.
  virtual std::shared_ptr<BodyBudget> SharedBodyBudget() = 0;

  /// @brief Takes a request; it is answered on the connection, now or later.
  virtual void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         ServerRequest request) = 0;

  /// @brief A message was refused before it was whole.
  /// @return What its sender is told; the connection closes after it.
  virtual Response OnRejected(const Error& error) = 0;

  /// @brief The connection is no more; drop it.
  virtual void OnClosed(ServerConnection& connection) = 0;
};

/// @brief One accepted connection: requests one at a time, answers in order.
/// @note Bytes that arrive while a request runs wait unread, up to a bound. A
/// peer that leaves is noticed at any moment.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(asio::ip::tcp::socket socket, ServerHandler& handler);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// @brief Starts to read.
  void Start();

  /// @brief What the present request wants to know of its connection.
  struct Watcher {
    /// The peer left, or does not take its answer.
    std::function<void()> on_disconnect;
    /// What was written has left; more may be written.
    std::function<void()> on_drained;
  };

  /// @brief Sets the watcher of the present request; reset by its end.
  void Watch(Watcher watcher) { watcher_ = std::move(watcher); }

  /// @brief Answers the present request by a whole message.
  void Respond(ResponseHead head, std::string_view body);

  /// @brief Starts an answer whose body follows in pieces.
  /// @param length Bytes of the body; chunked if unknown.
  void StartBody(ResponseHead head, std::optional<std::uint64_t> length);

  /// @brief Writes a piece of the body; sent by Flush().
  void Write(std::string_view piece);

  /// @brief Sends what was written.
  void Flush();

  /// @brief Ends the body that StartBody() began.
  void FinishBody();

  /// @brief Cuts the connection, so that what was sent can't look complete.
  void Abort();

  /// @brief Closes once the present request, if any, is answered.
  void CloseWhenIdle();

  /// @brief Bytes that wait to be taken by the peer.
  std::size_t buffered() const { return output_.size() - sent_; }

  bool closed() const { return state_ == State::kClosed; }
  bool busy() const { return state_ == State::kBusy; }

 private:
  enum class State : std::uint8_t { kReading, kBusy, kLingering, kClosed };

  void WaitReadable();
  void OnReadable();
  void ParseInput();
  void StartMessage();
  void DispatchRequest();
  bool ChargeBodyBudget();
  void ReleaseBodyBudget();
  void Reject(const Error& error);
  void EndResponse();
  void AddConnectionField(ResponseHead* head);
  bool WillClose() const;
  void TrySend();
  void OnOutputSent();
  void Linger();
  void CloseAndNotify();
  void Close();
  void SetDeadline(TimePoint deadline);
  void ArmTimer();
  void OnTimer();
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
  /// Bytes of the present body that are counted in body_budget_.
  std::size_t charged_bytes_ = 0;
  Watcher watcher_;
  State state_ = State::kReading;
  TimePoint first_byte_time_;
  TimePoint deadline_;
  TimePoint timer_deadline_;
  bool message_started_ = false;
  bool continue_sent_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool timer_armed_ = false;
  bool keep_alive_ = true;
  bool close_requested_ = false;
  bool head_request_ = false;
  bool chunked_ = false;
  bool is_http10_ = false;
};

}  // namespace rattanward::http
