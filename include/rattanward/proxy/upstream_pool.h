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

/// @brief Connections to upstreams, kept between requests.
class UpstreamPool {
 public:
  explicit UpstreamPool(asio::io_context& io) : io_(io) {}

  /// @brief A connection for one request; the most recently used first.
  /// @param share Connections that may be open to this upstream.
  /// @return Null while the share is spent.
  std::shared_ptr<http::ClientConnection> Acquire(
      const UpstreamId& id, const Endpoint& endpoint,
      std::uint32_t connection_limit, TimePoint now);

  /// @brief Gives a connection back after its request, usable or not.
  void Release(const UpstreamId& id,
               std::shared_ptr<http::ClientConnection> connection,
               TimePoint now);

  /// @brief Closes the idle connections of an upstream.
  void CloseAllIdle(const UpstreamId& id);

  /// @brief Closes idle connections whose time is up.
  void CloseExpired(TimePoint now);

  std::size_t open() const;
  /// @brief Connections opened since the start.
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
