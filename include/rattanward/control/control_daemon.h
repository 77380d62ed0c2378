#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/consensus/repair.h"
#include "rattanward/control/entry_hub.h"
#include "rattanward/control/hand_over.h"
#include "rattanward/control/member_keeper.h"
#include "rattanward/control/replica.h"
#include "rattanward/control/voter_directory.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief Component that handles additional message kinds on the control
/// thread.
class ControlExtension {
 public:
  virtual ~ControlExtension() = default;
  /// @brief Handles a message.
  /// @return False if the extension does not handle this message kind.
  virtual bool HandleMessage(const adapter::InboundMessage& message,
                             const adapter::ReplyHandle& reply) = 0;
  /// @brief Called after the ledger or the consensus role changed.
  virtual void OnStateChange() = 0;
};

/// @brief Process of one control VM, without the operator RPC server.
/// @note Runs on the thread that runs the io_context, called the control
/// thread. Functions that other threads may call are marked thread-safe.
class ControlDaemon {
 public:
  /// @param settings Validated settings.
  /// @param secret Secret shared by all processes of the deployment.
  /// @param storage Opened data folder.
  /// @param events Receives the log events of this process.
  /// @param clock Logical clock of this process's log; may be null.
  ControlDaemon(asio::io_context& io, adapter::ControlSettings settings,
                const std::string& secret, adapter::FileLogStorage storage,
                port::EventSink events,
                std::shared_ptr<port::LogicalClock> clock = nullptr);

  /// @brief Binds the peer address and starts the timers and connections.
  /// Errors: kDisconnected if the address cannot be bound.
  Status Start();

  /// @brief Runs a function on the control thread. Thread-safe.
  void Post(std::function<void()> step);

  /// @brief Hands over the vote of this control VM if others stand by, and
  /// goes on serving meanwhile. Control thread only.
  /// @param limit Time after which `done` is called in any case.
  /// @param done Called once the vote is handed over, or at once if there is
  /// nobody to take it. Ignored if a hand-over is under way.
  void LeaveGroup(Duration limit, std::function<void()> done);

  /// @brief Stops the daemon. Thread-safe.
  void Stop();

  /// @brief Whether the daemon has stopped or is stopping. Thread-safe.
  bool stopped() const { return stopped_; }

  /// @brief Logs an event. Thread-safe.
  void LogEvent(const Event& event) const { events_(event); }

  /// @brief Error that stopped the daemon; absent if there was none.
  const std::optional<Error>& failure() const { return failure_; }

  /// @brief Newest hello from this peer endpoint; null if there is none.
  const protocol::VoterHello* FindVoter(const Endpoint& endpoint) const;

  /// @brief Operator endpoint of the leader; empty if the leader is unknown or
  /// is this control VM.
  std::string LeaderOperatorEndpoint() const;

  /// @brief Sets the extension, which must outlive the event loop. Only one is
  /// kept.
  void SetExtension(ControlExtension* extension) { extension_ = extension; }

  Replica& replica() { return replica_; }
  const Replica& replica() const { return replica_; }
  EntryHub& entries() { return entries_; }
  VoterDirectory& voters() { return voters_; }
  const adapter::ControlSettings& settings() const { return settings_; }
  adapter::AsioTimerService& timers() { return timers_; }

 private:
  ReplicaHooks MakeReplicaHooks();
  protocol::VoterHello MakeHello() const;
  void HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply);
  void HandleHello(const protocol::Envelope& envelope,
                   const adapter::ReplyHandle& reply);
  void HandleConsensus(const protocol::Envelope& envelope);
  void SendConsensus(const consensus::Message& message);
  void RelayStatus(const protocol::EntryStatus& status);
  void ConnectToMembers();
  void TryBootstrap();
  void LogConfigCommit();
  void LogStorage();
  void ReconcileMembership();
  std::vector<DiscoveredVoter> DiscoveredVoters() const;
  /// Ends the hand-over when it is over.
  void CheckHandOver(TimePoint now);
  void Fail(const Error& error);

  asio::io_context& io_;
  adapter::ControlSettings settings_;
  port::EventSink events_;
  adapter::TransportOptions transport_options_;
  adapter::AsioTimerService timers_;
  VoterDirectory voters_;
  Replica replica_;
  EntryHub entries_;
  adapter::MessageListener listener_;
  KeeperOptions keeper_options_;
  MemberKeeper member_keeper_;
  /// Set once this control VM was told to stop and others can take its vote.
  std::optional<HandOver> hand_over_;
  std::function<void()> on_handed_over_;
  ControlExtension* extension_ = nullptr;
  ConfigVersion logged_config_;
  ConfigVersion logged_routes_;
  std::optional<Error> failure_;
  std::atomic<bool> stopped_{false};
};

}  // namespace rattanward::control
