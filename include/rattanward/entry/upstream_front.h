#pragma once

#include <httplib.h>

#include <functional>
#include <string>
#include <thread>

#include "rattanward/domain/result.h"
#include "rattanward/domain/upstream.h"

namespace rattanward::entry {

/// @brief HTTP side towards upstreams: takes announcements.
/// @note It has its own port and threads, so that a flood of callers does not
/// make upstreams expire.
class UpstreamFront {
 public:
  /// @brief Prepares the route.
  /// @param sink Takes the announcements; called on the server's threads.
  /// @param token Token that upstreams send as a bearer key.
  UpstreamFront(std::function<void(const Announcement&)> sink,
                std::string token);
  ~UpstreamFront();
  UpstreamFront(const UpstreamFront&) = delete;
  UpstreamFront& operator=(const UpstreamFront&) = delete;

  /// @brief Listens and serves on a thread of its own.
  /// @return Success.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Status Start(const Endpoint& listen);
  void Stop();

 private:
  void Take(const httplib::Request& request, httplib::Response& response);

  std::function<void(const Announcement&)> sink_;
  std::string token_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace rattanward::entry
