#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/control/replica.h"
#include "rattanward/ledger/in_force_tracker.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief Serves the entries: heartbeats, configuration and proposals.
/// @note All calls are on the control thread.
class EntryHub {
 public:
  /// @param relay Sends a heartbeat on to the leader; used by followers, so
  /// that an entry that reaches only a follower is known to be live.
  EntryHub(Replica& replica, port::EventSink events,
           std::function<void(const protocol::EntryStatus&)> relay);

  /// @brief Answers one message of an entry; other kinds are ignored.
  void Take(const adapter::InboundMessage& message,
            const adapter::ReplyHandle& reply);

  /// @brief Pushes what changed to the entries that are connected here.
  void LedgerChanged();

  /// @brief Drops entries that are gone for long; for a leader.
  void Tick();

  /// @brief Where a version is in force; only a leader within its lease knows.
  ledger::InForceReport InForce(ConfigVersion version) const;
  const ledger::InForceTracker& tracker() const { return tracker_; }

 private:
  struct Connected {
    adapter::ReplyHandle handle;
    ConfigVersion pushed;
    std::uint64_t state_revision = 0;
  };

  void TakeStatus(const adapter::InboundMessage& message,
                  const adapter::ReplyHandle& reply);
  void TakeFetch(const protocol::Envelope& envelope,
                 const adapter::ReplyHandle& reply);
  void TakePropose(const protocol::Envelope& envelope,
                   const adapter::ReplyHandle& reply);
  void NoteLive(const protocol::EntryStatus& status);
  void PushTo(Connected& connected);
  protocol::ControlStatus StatusNow(std::uint64_t heartbeat) const;
  std::string LeaderEndpoint() const;

  Replica& replica_;
  port::EventSink events_;
  std::function<void(const protocol::EntryStatus&)> relay_;
  ledger::InForceTracker tracker_;
  std::map<ProcessId, Connected> connected_;
  std::set<ProcessId> registering_;
  std::uint64_t state_revision_ = 1;
  std::set<UpstreamId> drained_;
  std::set<std::uint64_t> quarantined_;
  bool led_ = false;
};

}  // namespace rattanward::control
