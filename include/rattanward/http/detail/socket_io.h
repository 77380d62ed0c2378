#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>

namespace rattanward::http::detail {

/// @brief Bytes that one read hands over at most.
inline constexpr std::size_t kReadBytes = 64U << 10U;

/// @brief What one read gave; the bytes are valid until the next read.
struct ReadResult {
  std::string_view bytes;
  /// The peer closed its side, properly or by a reset.
  bool peer_closed = false;
  bool reset = false;
};

/// @brief What one write took.
struct WriteResult {
  std::size_t count = 0;
  bool failed = false;
};

/// @brief Sets a socket up for reads and writes that never block.
inline void PrepareSocket(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

/// @brief Reads what is there, into a buffer that the whole thread shares.
/// @note One buffer for all connections: thousands of idle ones hold none.
inline ReadResult ReadSome(asio::ip::tcp::socket& socket) {
  thread_local std::array<char, kReadBytes> buffer;
  asio::error_code error;
  const std::size_t count = socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return {};
  }
  if (error) {
    return {{}, true, error != asio::error::eof};
  }
  return {std::string_view(buffer.data(), count), false, false};
}

/// @brief Writes what the socket takes at once.
inline WriteResult WriteSome(asio::ip::tcp::socket& socket,
                             std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  asio::error_code error;
  const std::size_t count =
      socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return {};
  }
  return {count, static_cast<bool>(error)};
}

}  // namespace rattanward::http::detail
