#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "rattanward/http/server.h"

namespace rattanward::http {

/// @brief HTTP server that exposes metrics at /metrics.
class MetricsServer {
 public:
  /// @param io Runs the server and must outlive it.
  /// @param text Called for each scrape; returns the metrics in the Prometheus
  /// text format.
  MetricsServer(asio::io_context& io, std::function<std::string()> text);

  /// @brief Binds the address and starts to accept connections.
  /// Errors: kDisconnected if the address can't be bound.
  Status Start(const Endpoint& endpoint) { return server_.Listen(endpoint); }

  Endpoint endpoint() const { return server_.endpoint(); }

 private:
  Server server_;
};

}  // namespace rattanward::http
