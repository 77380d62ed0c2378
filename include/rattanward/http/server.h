#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::http {

/// @brief Accepts connections on one address and owns them.
/// @note All calls are on the io_context's thread.
class Server : public ServerHandler {
 public:
  using RequestHandler = std::function<void(
      const std::shared_ptr<ServerConnection>&, ServerRequest)>;

  /// @brief Largest numbers that a server holds.
  struct Options {
    std::size_t max_connections = 1024;
    /// Bytes of unfinished bodies, over all connections.
    std::size_t max_body_bytes = 16U << 20U;
  };

  Server(asio::io_context& io, Options options, RequestHandler handler);

  /// @brief Binds and starts to accept.
  /// Errors: kDisconnected if the address can't be bound.
  Status Listen(const Endpoint& endpoint);

  /// @brief The bound endpoint.
  Endpoint endpoint() const { return bound_; }

  /// @brief Limits of the messages that begin from now on.
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }

  /// @brief Each connection closes after its present answer from now on.
  void CloseAfterResponses();

  /// @brief Stops accepting and cuts every connection.
  void Stop();

  std::size_t connections() const { return connections_.size(); }
  /// @brief Connections on which a request waits for its answer.
  std::size_t busy() const;

  ServerLimits Limits() const override { return limits_; }
  std::shared_ptr<BodyBudget> SharedBodyBudget() override {
    return body_budget_;
  }
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 ServerRequest request) override;
  Response OnRejected(const Error& error) override;
  void OnClosed(ServerConnection& connection) override;

  /// @brief Takes what connections refused; may be empty.
  std::function<void(const Error&)> on_rejected;

  /// @brief Words the answer to what is refused; plain text if it is empty.
  std::function<Response(const Error&)> make_error_response;

 private:
  void Accept();
  void ScheduleAcceptRetry();
  void AddConnection(asio::ip::tcp::socket socket);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  Options options_;
  RequestHandler handler_;
  ServerLimits limits_;
  std::shared_ptr<BodyBudget> body_budget_;
  Endpoint bound_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>>
      connections_;
  bool closing_ = false;
  bool stopped_ = false;
};

/// @brief Answers a request by an error, as text, with what it says of time.
void RespondError(ServerConnection& connection, const Error& error);

}  // namespace rattanward::http
