#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/policy/upstream_paths.h"

namespace rattanward::entry {

/// @brief Probes the paths to upstreams and reports which are lost.
/// @note Not thread-safe: all calls must be made on the event loop.
class PathWatch {
 public:
  /// @param on_change Called when a path is lost or there again.
  PathWatch(asio::io_context& io,
            std::function<void(const UpstreamId&, bool lost)> on_change);

  void Start();

  /// @brief Adds an upstream, or changes its address.
  void SetUpstream(const UpstreamId& id, const Endpoint& endpoint);
  void RemoveUpstream(const UpstreamId& id);

  /// @brief A connection to the upstream could not be opened.
  void RecordUnreached(const UpstreamId& id);

  /// @brief A request failed in a way that a lost path explains, too; probes
  /// the upstream.
  void Suspect(const UpstreamId& id);

 private:
  void Tick(TimePoint now);
  void Forget(const UpstreamId& id);
  void Probe(const UpstreamId& id);
  void OnProbed(const UpstreamId& id, const Endpoint& endpoint, bool reached);

  asio::io_context& io_;
  std::function<void(const UpstreamId&, bool lost)> on_change_;
  adapter::AsioTimerService timers_;
  policy::UpstreamPaths paths_;
  std::map<UpstreamId, Endpoint> endpoints_;
  /// Reset by the destructor, so that a late probe reports nothing.
  std::shared_ptr<PathWatch*> self_;
};

}  // namespace rattanward::entry
