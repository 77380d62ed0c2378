#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rattanward::http {

/// @brief How a server connection ended with a request that has no complete
/// response.
enum class UnansweredEnd : std::uint8_t {
  /// The peer closed the connection first.
  kPeerLeft,
  /// The peer did not read the response within the idle timeout.
  kNotRead,
  /// The owner ended a response that it could not complete.
  kAborted,
  /// The server stopped.
  kStopped,
  /// The request was sent behind one whose response announced the close.
  kPipelined,
  /// The request had arrived, but was not read.
  kUnread,
  /// The server had too many connections.
  kNotAccepted,
  /// The memory budget was used up, and this connection held most for longest.
  kMemory,
};

inline constexpr std::array<std::string_view, 8> kUnansweredEndNames = {
    "peer_left", "not_read", "aborted",      "stopped",
    "pipelined", "unread",   "not_accepted", "memory"};

}  // namespace rattanward::http
