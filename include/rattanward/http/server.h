#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::http {

/// @brief HTTP server that accepts connections on one address and owns them.
/// @note All calls must be made on the io_context's thread.
class Server : public ServerHandler {
 public:
  using RequestHandler = std::function<void(
      const std::shared_ptr<ServerConnection>&, ServerRequest)>;

  /// @brief Resource limits over all connections.
  struct Options {
    /// A request on one of the next few connections is refused; further
    /// connections are closed.
    std::size_t max_connections = 1024;
    /// Total bytes of the request bodies being received or still referenced.
    std::size_t max_body_bytes = 16U << 20U;
    /// Budget for all that connections hold, maybe shared with other servers
    /// of the process; one of its own if null.
    std::shared_ptr<MemoryBudget> memory = nullptr;
  };

  Server(asio::io_context& io, Options options, RequestHandler handler);

  /// @brief Binds the address and starts to accept connections.
  /// Errors: kDisconnected if the address can't be bound.
  Status Listen(const Endpoint& endpoint);

  /// @brief The bound endpoint, with the actual port if 0 was requested.
  Endpoint endpoint() const { return bound_; }

  /// @brief Sets the limits of messages that begin after this call.
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }

  /// @brief Closes each connection after its current response, and idle ones
  /// immediately.
  /// @note Connections accepted later are closed after their first response.
  void CloseAfterResponses();

  /// @brief Accepts the connections in the listen queue, and no further ones.
  void StopListening();

  /// @brief Responds with an error to each request in progress.
  /// @note Only for servers whose responses are sent at once, not in pieces.
  void EndBusy(const Error& error);

  /// @brief Stops accepting and aborts every connection.
  void Stop();

  std::size_t connections() const { return connections_.size(); }
  /// @brief Number of connections with a request in progress.
  std::size_t busy() const;

  ServerLimits Limits() const override { return limits_; }
  std::shared_ptr<BodyBudget> SharedBodyBudget() override {
    return body_budget_;
  }
  std::shared_ptr<MemoryBudget> SharedMemory() override {
    return options_.memory;
  }
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 ServerRequest request) override;
  Response OnRejected(const Error& error) override;
  void OnUnanswered(UnansweredEnd end) override {
    ++unanswered_.at(static_cast<std::size_t>(end));
  }
  void OnClosed(ServerConnection& connection) override;

  /// @brief Number of requests that ended without a complete response since the
  /// start, by how their connections ended.
  using UnansweredCounts =
      std::array<std::uint64_t, kUnansweredEndNames.size()>;
  const UnansweredCounts& unanswered() const { return unanswered_; }

  /// @brief Called for each rejected message or connection; may be empty.
  std::function<void(const Error&)> on_rejected;

  /// @brief Builds the response to a rejected message.
  /// @note If empty, the response is the error message as plain text.
  std::function<Response(const Error&)> make_error_response;

 private:
  enum class AcceptResult : std::uint8_t {
    kAccepted,
    kNoneWaiting,
    kNoResources,
    /// The connection has failed before it was accepted.
    kFailed,
  };

  void Accept();
  void AcceptWaiting();
  AcceptResult AcceptOne();
  void AcceptQueued();
  void StopAccepting();
  void ScheduleAcceptRetry();
  void AddConnection(asio::ip::tcp::socket socket);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  Options options_;
  RequestHandler handler_;
  ServerLimits limits_;
  UnansweredCounts unanswered_{};
  std::shared_ptr<BodyBudget> body_budget_;
  Endpoint bound_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
  bool closing_ = false;
  bool stopped_ = false;
};

/// @brief Responds to the current request with an error, as plain text.
/// @param fields Further fields of the response.
/// @note Adds a Retry-After field if the error has such a time.
void RespondError(ServerConnection& connection, const Error& error,
                  Fields fields = {});

}  // namespace rattanward::http
