#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "rattanward/http/server.h"

namespace rattanward::http {

/// @brief Serves a scrape text at /metrics.
class MetricsServer {
 public:
  /// @param text Makes the text at each request.
  MetricsServer(asio::io_context& io, std::function<std::string()> text);

  /// @brief Binds the address.
  /// Errors: kDisconnected.
  Status Start(const Endpoint& endpoint) { return server_.Listen(endpoint); }

  Endpoint endpoint() const { return server_.endpoint(); }

 private:
  Server server_;
};

}  // namespace rattanward::http
