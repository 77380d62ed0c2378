#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/consensus/repair.h"
#include "rattanward/control/entry_hub.h"
#include "rattanward/control/member_keeper.h"
#include "rattanward/control/replica.h"
#include "rattanward/control/voter_directory.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief A part that serves further messages on the control thread.
class ControlExtension {
 public:
  virtual ~ControlExtension() = default;
  /// @brief Takes a message; false if it is not one of the part's.
  virtual bool HandleMessage(const adapter::InboundMessage& message,
                             const adapter::ReplyHandle& reply) = 0;
  /// @brief The ledger or the role changed.
  virtual void OnStateChange() = 0;
};

/// @brief One control VM's process, but for the operator RPC.
/// @note Everything runs on the thread that runs the io_context; only Stop()
/// and Post() may be called from another one.
class ControlDaemon {
 public:
  /// @param settings The checked settings.
  /// @param secret The secret that our own processes share.
  /// @param storage The opened data folder.
  /// @param events Takes this process's events.
  /// @param clock Logical clock of this process's log; may be null.
  ControlDaemon(asio::io_context& io, adapter::ControlSettings settings,
                const std::string& secret, adapter::FileLogStorage storage,
                port::EventSink events,
                std::shared_ptr<port::LogicalClock> clock = nullptr);

  /// @brief Binds the peer address and starts timers and connections.
  /// Errors: kDisconnected if the address can't be bound.
  Status Start();

  /// @brief Runs a step on the control thread; from any thread.
  void Post(std::function<void()> step);

  /// @brief Ends the run; from any thread.
  void Stop();

  /// @brief Whether the run has ended or is about to; from any thread.
  bool stopped() const { return stopped_; }

  /// @brief Logs an event; from any thread.
  void LogEvent(const Event& event) const { events_(event); }

  /// @brief Why the run ended by itself; absent if it did not.
  const std::optional<Error>& failure() const { return failure_; }

  /// @brief The control VM at this endpoint, if it answers.
  const protocol::VoterHello* FindVoter(const Endpoint& endpoint) const;

  /// @brief Operator address of the leader; empty if unknown.
  std::string LeaderOperatorEndpoint() const;

  /// @brief Adds a part; it must outlive the run.
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
  void ReconcileMembership();
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
  MemberKeeper member_keeper_;
  ControlExtension* extension_ = nullptr;
  ConfigVersion logged_config_;
  std::optional<Error> failure_;
  std::atomic<bool> stopped_{false};
};

}  // namespace rattanward::control
