#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/time.h"

namespace rattanward::adapter::detail {

/// @brief Limits of one framed connection.
struct FrameLimits {
  std::uint32_t max_frame_bytes = 0;
  std::size_t max_queued_bytes = 0;
};

/// @brief Frames on a TCP socket: a length of 4 bytes, big endian, and the
/// payload. An empty frame is a heartbeat.
/// @note All calls and callbacks are on the io_context's thread.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  struct Handlers {
    std::function<void(std::string_view)> on_frame;
    /// Called once, unless the owner itself calls Close.
    std::function<void(const Error&)> on_closed;
  };

  FramedConnection(asio::ip::tcp::socket socket, FrameLimits limits);

  /// @brief Starts to read; the handlers are released when it closes.
  void Start(Handlers handlers);

  /// @brief Queues one frame.
  /// @return False if it is closed, the frame too large or the queue full.
  bool Send(std::string_view payload);

  /// @brief Largest frame from now on.
  void set_max_frame_bytes(std::uint32_t bytes) {
    limits_.max_frame_bytes = bytes;
  }

  /// @brief Sends heartbeats, and closes once nothing was heard for `silence`.
  void StartHeartbeats(Duration heartbeat, Duration silence);

  /// @brief Closes without a call of on_closed.
  void Close();

  /// @brief Closes and reports the error.
  void Fail(const Error& error);

  bool closed() const { return closed_; }

 private:
  void Read();
  bool TakeFrames();
  void Write();
  void WaitHeartbeat();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  FrameLimits limits_;
  Handlers handlers_;
  std::vector<char> input_;
  std::size_t filled_ = 0;
  std::deque<std::string> waiting_;
  std::vector<std::string> writing_;
  std::size_t queued_bytes_ = 0;
  TimePoint heard_;
  Duration heartbeat_{0};
  Duration silence_{0};
  bool closed_ = false;
};

}  // namespace rattanward::adapter::detail
