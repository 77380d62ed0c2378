#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/shared_config_gate.h"
#include "rattanward/membership/gossip.h"

namespace rattanward::adapter {

/// @brief Settings of gossip over connections.
struct GossipRunnerOptions {
  TransportOptions transport;
  /// The other entries; their names are learned in the handshake.
  std::vector<Endpoint> peers;
  membership::GossipOptions gossip;
  /// Period of gossip rounds.
  Duration round{std::chrono::milliseconds(250)};
  /// Period of probes while control is not heard; well below the lease.
  Duration probe{std::chrono::milliseconds(500)};
};

/// @brief What the entry does with what it learns; on the io thread.
struct GossipHandlers {
  std::function<void(const membership::GossipEvent&)> on_event;
  /// A configuration newer than the one in force, fetched from a peer. To be
  /// handled like ControlHandlers::on_config.
  std::function<void(const protocol::ConfigPush&)> on_config;
  /// The configuration in force, for a peer that fetches it; version 0 if
  /// there is none.
  std::function<protocol::ConfigPush()> config;
};

/// @brief Runs gossip and configuration probes between the entries.
/// @note All calls and handlers are on the io_context's thread.
class GossipRunner {
 public:
  /// @param gate Must outlive the runner.
  GossipRunner(asio::io_context& io, GossipRunnerOptions options,
               SharedConfigGate& gate, GossipHandlers handlers);
  GossipRunner(const GossipRunner&) = delete;
  GossipRunner& operator=(const GossipRunner&) = delete;

  /// @brief Starts connections, rounds and probes.
  void Start();

  /// @brief Closes the connections and ends the rounds.
  void Stop();

  /// @brief Takes a message that the entry's listener received.
  /// @return False for a kind that is not handled here.
  bool Take(const InboundMessage& message, const ReplyHandle& reply);

  /// @brief Takes an announcement that an upstream sent to this entry.
  void Announce(const Announcement& announcement);

  /// @brief Tells the other entries of a suspicion of this one.
  void AddSuspicion(const policy::Suspicion& suspicion);

  /// @brief Calls another entry; fails at once if it is not connected.
  void CallPeer(const ProcessId& peer, protocol::Envelope envelope,
                Duration timeout, PeerClient::CallCallback callback);

  /// @brief Uses the upstream expiry of a newer configuration.
  void SetUpstreamExpiry(Duration expiry) { gossip_.SetUpstreamExpiry(expiry); }

  const membership::Gossip& gossip() const { return gossip_; }

 private:
  void Round(TimePoint now);
  void Probe(TimePoint now);
  void Fetch(PeerClient& peer);
  void TakeProbeAnswer(PeerClient& peer, const ProcessId& process,
                       const Result<protocol::Envelope>& answer);
  void TakeConfig(const Result<protocol::Envelope>& answer);
  void TakeEvents(const std::vector<membership::GossipEvent>& events);

  asio::io_context& io_;
  GossipRunnerOptions options_;
  SharedConfigGate& gate_;
  GossipHandlers handlers_;
  membership::Gossip gossip_;
  AsioTimerService timers_;
  std::vector<std::unique_ptr<PeerClient>> clients_;
  /// Connected peers by name.
  std::map<ProcessId, PeerClient*> connected_;
  bool fetching_ = false;
  /// Expires with the runner, so that late callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rattanward::adapter
