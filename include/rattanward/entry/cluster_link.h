#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rattanward/adapter/control_client.h"
#include "rattanward/adapter/event_log.h"
#include "rattanward/adapter/gossip_runner.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/entry/entry_core.h"

namespace rattanward::entry {

/// @brief Joins an entry's core with control and with the other entries.
/// @note All calls are on the core's loop.
class ClusterLink {
 public:
  /// @brief Prepares the connections.
  /// @param core Takes configurations, upstreams and suspicions.
  /// @param settings Identity, control endpoints and peers.
  /// @param secret Shared secret of the deployment's processes.
  /// @param log Takes events, and stamps messages with its logical clock.
  ClusterLink(EntryCore& core, const adapter::EntrySettings& settings,
              const std::string& secret,
              const std::shared_ptr<adapter::EventLog>& log);

  /// @brief Listens for peers and starts to connect; before the core starts.
  /// Errors: kDisconnected if the endpoint can't be bound.
  Status Start();
  void Stop();

  /// @brief Takes an upstream's announcement.
  void Announce(const Announcement& announcement);

  adapter::ControlClient& control() { return control_; }

 private:
  void HandleConfig(const protocol::ConfigPush& push);
  void HandleOperatorState(const protocol::OperatorState& state);
  void HandleGossipEvent(const membership::GossipEvent& event);
  void ApplyUpstream(const Announcement& announcement);
  void HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply);
  void BroadcastSuspicions(const std::vector<policy::Suspicion>& suspicions,
                           const std::function<void()>& on_done);
  void RequestPortions(TimePoint now);

  EntryCore& core_;
  port::EventSink events_;
  Endpoint listen_;
  policy::EntryGroup group_;
  protocol::ConfigPush config_;
  protocol::OperatorState operator_state_;
  std::map<UpstreamId, Announcement> upstreams_;
  adapter::AsioTimerService timers_;
  adapter::ControlClient control_;
  adapter::GossipRunner gossip_;
  adapter::MessageListener listener_;
};

/// @brief What the configuration gate of an entry needs of its settings.
membership::ConfigGateOptions GateOptions(
    const adapter::EntrySettings& settings);

}  // namespace rattanward::entry
