#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/result.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/http/server.h"

namespace rattanward::entry {

/// @brief HTTP side towards upstreams: takes announcements.
/// @note It has its own port, so that the limit on callers' connections does
/// not make upstreams expire.
class UpstreamFront {
 public:
  /// @brief Prepares the route.
  /// @param io The loop that serves it.
  /// @param sink Takes the announcements.
  /// @param token Token that upstreams send as a bearer key.
  UpstreamFront(asio::io_context& io,
                std::function<void(const Announcement&)> sink,
                std::string token);

  /// @brief Listens and serves.
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
