#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::fakes {

/// @brief A loopback port that nobody else gets: it stays bound as long as the
/// process runs, and refuses connections until a listener that reuses addresses
/// is opened on it.
inline Endpoint ReservedEndpoint() {
  static asio::io_context io;
  static std::vector<asio::ip::tcp::socket> bound;
  asio::ip::tcp::socket socket(io, asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind({asio::ip::make_address_v4("127.0.0.1"), 0});
  bound.push_back(std::move(socket));
  return {"127.0.0.1", bound.back().local_endpoint().port()};
}

/// @brief An endpoint that refuses every connection.
inline Endpoint RefusingEndpoint() { return ReservedEndpoint(); }

}  // namespace rattanward::fakes
