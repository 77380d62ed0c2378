#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "rattanward/adapter/settings.h"
#include "rattanward/domain/event.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::adapter {

/// @brief Writes events as JSON lines to a descriptor, without ever waiting.
/// @note Records gather in a bounded buffer that is written out from time to
/// time. What finds it full is dropped and counted; the count is logged as soon
/// as there is room. For processes with one thread.
class LineLog : public std::enable_shared_from_this<LineLog> {
 public:
  /// @param identity Stamped on each record.
  /// @param descriptor Where the lines go; made non-blocking.
  LineLog(asio::io_context& io, ProcessIdentity identity, int descriptor);

  /// @brief Starts to write out.
  void Start();

  /// @brief Adds one record, or drops it.
  void Write(const Event& event);

  /// @brief Writes what the descriptor takes now.
  void Flush();

  /// @brief Records dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

  port::EventSink Sink();

 private:
  void WaitAndFlush();
  void Append(const Event& event);

  asio::steady_timer timer_;
  ProcessIdentity identity_;
  int descriptor_;
  std::string buffer_;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace rattanward::adapter
