#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/result.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/http/server.h"

namespace rattanward::entry {

/// @brief HTTP server for the announcements of upstreams.
/// @note It has its own port, so that upstreams do not expire because callers
/// have used up the connection limit.
class UpstreamFront {
 public:
  /// @brief Creates the server; Start() makes it listen.
  /// @param io Event loop of the server.
  /// @param sink Receives the announcements.
  /// @param token Token that upstreams send as their bearer key.
  UpstreamFront(asio::io_context& io,
                std::function<void(const Announcement&)> sink,
                std::string token);

  /// @brief Binds the endpoint and starts serving.
  /// @return Success.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Status Start(const Endpoint& listen) { return server_.Listen(listen); }
  void Stop() { server_.Stop(); }

 private:
  http::Response HandleAnnouncement(const http::ServerRequest& request) const;

  std::function<void(const Announcement&)> sink_;
  std::string token_;
  http::Server server_;
};

}  // namespace rattanward::entry
