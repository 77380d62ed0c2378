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

/// @brief Connects an entry's core to control and to the other entries.
/// @note Not thread-safe: all calls must be made on the core's event loop.
class ClusterLink {
 public:
  /// @brief Creates the connections; Start() opens them.
  /// @param core Receives configurations, upstreams and suspicions.
  /// @param settings Identity, control endpoints and peers.
  /// @param secret Shared secret of the deployment's processes.
  /// @param log Records events; its logical clock timestamps messages.
  ClusterLink(EntryCore& core, const adapter::EntrySettings& settings,
              const std::string& secret,
              const std::shared_ptr<adapter::EventLog>& log);

  /// @brief Listens for peers and starts to connect. Must be called before the
  /// core starts.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Status Start();
  void Stop();

  /// @brief Gossips an upstream's announcement to the other entries.
  void Announce(const Announcement& announcement);

  adapter::ControlClient& control() { return control_; }

 private:
  void HandleConfig(const protocol::ConfigPush& push);
  void HandleOperatorState(const protocol::OperatorState& state);
  void HandleGossipEvent(const membership::GossipEvent& event);
  void Drain(const UpstreamId& upstream);
  void ApplyUpstream(const Announcement& announcement);
  void HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply);
  void BroadcastSuspicions(const protocol::SuspicionsTold& told,
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

/// @brief Derives the options of an entry's configuration gate from its
/// settings.
membership::ConfigGateOptions GateOptions(
    const adapter::EntrySettings& settings);

}  // namespace rattanward::entry
