#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>

namespace rattanward::http::detail {

/// @brief Maximum number of bytes per read.
inline constexpr std::size_t kReadBytes = 64U << 10U;

/// @brief Result of one read.
/// @note The bytes are valid until the next read on the same thread.
struct ReadResult {
  std::string_view bytes;
  /// The peer closed its side, or the read failed.
  bool peer_closed = false;
  /// The read ended by a reset or another error instead of a regular close.
  bool reset = false;
};

/// @brief Result of one write; `count` is in bytes.
struct WriteResult {
  std::size_t count = 0;
  bool failed = false;
};

/// @brief Size of a system buffer of one connection, in bytes.
/// @note The system would let it grow to several MiB, which thousands of peers
/// could fill. 64 KiB carry 6 MB/s at a round trip of 10 ms.
inline constexpr int kSocketBufferBytes = 64 << 10;

/// @brief Makes a socket non-blocking, disables Nagle's algorithm and limits
/// the system's buffers.
inline void PrepareSocket(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes),
                    ignored);
}

/// @brief Whether the operation may simply be tried again.
inline bool IsTemporary(const asio::error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

/// @brief Reads available bytes into a thread-local buffer.
/// @note All connections share this buffer, so that thousands of idle
/// connections need no buffers of their own.
inline ReadResult ReadSome(asio::ip::tcp::socket& socket) {
  thread_local std::array<char, kReadBytes> buffer;
  asio::error_code error;
  const std::size_t count = socket.read_some(asio::buffer(buffer), error);
  if (IsTemporary(error)) {
    return {};
  }
  if (error) {
    return {{}, true, error != asio::error::eof};
  }
  return {std::string_view(buffer.data(), count), false, false};
}

/// @brief Writes as many bytes as the socket accepts without blocking.
inline WriteResult WriteSome(asio::ip::tcp::socket& socket,
                             std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  asio::error_code error;
  const std::size_t count =
      socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  if (IsTemporary(error)) {
    return {};
  }
  return {count, static_cast<bool>(error)};
}

/// @brief Number of written bytes that the peer has not acknowledged.
/// @note 0 if the system can't tell.
inline std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int count = 0;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): ioctl() has no other.
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &count) != 0 || count < 0) {
    return 0;
  }
  return static_cast<std::size_t>(count);
}

}  // namespace rattanward::http::detail
