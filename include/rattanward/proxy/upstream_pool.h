#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/http/client_connection.h"

namespace rattanward::proxy {

/// @brief Pool of keep-alive connections to upstreams.
class UpstreamPool {
 public:
  explicit UpstreamPool(asio::io_context& io) : io_(io) {}

  /// @brief Acquires a connection for one request, preferring the most recently
  /// used idle one.
  /// @param connection_limit Maximum number of connections in use to this
  /// upstream, checked before a new one is opened.
  /// @return The connection, or null if none is idle and the limit is reached.
  std::shared_ptr<http::ClientConnection> Acquire(
      const UpstreamId& id, const Endpoint& endpoint,
      std::uint32_t connection_limit, TimePoint now);

  /// @brief Returns a connection after its request, reusable or not.
  void Release(const UpstreamId& id,
               std::shared_ptr<http::ClientConnection> connection,
               TimePoint now);

  /// @brief Closes all idle connections to an upstream.
  void CloseAllIdle(const UpstreamId& id);

  /// @brief Closes idle connections past their keep-alive time.
  void CloseExpired(TimePoint now);

  std::size_t open() const;
  /// @brief Whether any connection to an upstream is open or in use.
  bool HasOpen(const UpstreamId& id) const;
  /// @brief Number of connections opened since the start.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Connections {
    std::uint32_t in_use = 0;
    std::vector<std::shared_ptr<http::ClientConnection>> idle;
  };

  void RemoveIdle(const UpstreamId& id,
                  const http::ClientConnection& connection);

  asio::io_context& io_;
  std::map<UpstreamId, Connections> upstreams_;
  std::uint64_t opened_ = 0;
};

}  // namespace rattanward::proxy
