#pragma once

#include <httplib.h>

#include <cstddef>
#include <thread>

namespace rattanward::adapter {

/// @brief Serves HTTP on 127.0.0.1 for the stand-ins of the tests.
class LoopbackServer {
 public:
  /// @param max_threads Connections served at once.
  explicit LoopbackServer(std::size_t max_threads);
  ~LoopbackServer();
  LoopbackServer(const LoopbackServer&) = delete;
  LoopbackServer& operator=(const LoopbackServer&) = delete;

  /// @brief For adding routes, before Start().
  httplib::Server& server() { return server_; }

  /// @brief Listens, prints "listening on 127.0.0.1:PORT" and serves.
  /// @param port Port to listen on; 0 lets the system choose.
  /// @return The port, or 0 if it is taken.
  int Start(int port);

 private:
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace rattanward::adapter
