#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <optional>

namespace rattanward::adapter {

/// @brief Turns the signals that ask a daemon to stop into one call, from the
/// first line of the program on. SIGHUP does nothing, since settings are read
/// once; SIGPIPE does nothing either.
/// @note To be created before any other thread. One object per process.
class StopSignals {
 public:
  /// @brief Holds SIGTERM and SIGINT back until Watch().
  StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

  /// @brief Delivers the first signal, also one that was held back.
  /// @param on_stop Called once, on the io_context's thread. Later signals do
  /// nothing.
  void Watch(asio::io_context& io, std::function<void()> on_stop);

  /// @brief Stops watching, and holds back what comes until the process has
  /// ended. To be called before the io_context is destroyed.
  void Close();

 private:
  std::optional<asio::signal_set> signals_;
};

}  // namespace rattanward::adapter
