#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::proxy {

/// @brief What control tells an entry; called on the io_context's thread.
struct ControlLinkHooks {
  /// Newer routes, maybe; heeded at once or refused for good.
  std::function<void(const protocol::RoutingPush&)> routing;
  std::function<void(const std::vector<membership::InstanceRecord>&)> instances;
  std::function<void(const std::vector<protocol::CrashWitness>&)> crashes;
  /// A confirmed leader has answered a report that was sent at that moment.
  std::function<void(TimePoint sent, ConfigVersion committed)> confirmed;
  /// Which entries there are, by the newest report of a confirmed leader.
  std::function<void(const protocol::ControlReport&)> entries;
  port::EventSink events;
};

/// @brief An entry's connections to all control VMs.
class ControlLink {
 public:
  /// @param options Settings of the connections.
  /// @param self Report with this entry's constant fields set.
  /// @param hooks Told of what control says.
  ControlLink(asio::io_context& io, adapter::TransportOptions options,
              protocol::EntryReport self, ControlLinkHooks hooks);

  /// @brief Connects to a control VM; known ones are ignored.
  void ConnectTo(const Endpoint& endpoint);

  /// @brief Version of the routes that reports name from now on.
  void SetRouting(ConfigVersion version) { self_.routing = version; }

  /// @brief Has the next reports tell of a crash.
  void AddWitness(const protocol::CrashWitness& witness);

  /// @brief Sends a report to every control VM.
  void SendReports();

  /// @brief Control VMs that are connected.
  std::size_t connected() const;

  void Stop();

 private:
  struct Control {
    std::unique_ptr<adapter::PeerClient> client;
    std::uint64_t push_heeded = 0;
  };

  void SendReport(const Endpoint& endpoint, Control& control);
  void HandlePush(const Endpoint& endpoint, const protocol::Envelope& envelope);
  void HandleReport(TimePoint sent, const protocol::Envelope& envelope);

  asio::io_context& io_;
  adapter::TransportOptions options_;
  protocol::EntryReport self_;
  ControlLinkHooks hooks_;
  std::map<Endpoint, Control> controls_;
  std::vector<protocol::CrashWitness> witnesses_;
};

}  // namespace rattanward::proxy
