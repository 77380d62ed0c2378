#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/control/replica.h"
#include "rattanward/membership/acceptance_rule.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief How far one failure domain runs a version.
struct DomainRollout {
  FailureDomain failure_domain;
  /// Registered entries.
  std::uint32_t entries = 0;
  /// Of these, heard lately.
  std::uint32_t live = 0;
  /// Of the live ones, running the version or a newer one.
  std::uint32_t in_force = 0;
  bool pending = true;

  friend bool operator==(const DomainRollout&, const DomainRollout&) = default;
};

/// @brief Whether a version is in force, by failure domain.
struct RolloutReport {
  /// Every known failure domain runs the version, and there is one.
  bool accepted = false;
  std::vector<DomainRollout> domains;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

/// @brief What was last heard of an entry.
struct EntryView {
  ConfigVersion in_force;
  bool live = false;

  friend bool operator==(const EntryView&, const EntryView&) = default;
};

/// @brief Serves the entries: heartbeats, configuration and proposals.
/// @note All calls are on the control thread.
class EntryHub {
 public:
  /// @param relay Sends a heartbeat on to the leader; used by followers, so
  /// that an entry that reaches only a follower is known to be live.
  EntryHub(Replica& replica, port::EventSink events,
           std::function<void(const protocol::EntryStatus&)> relay);

  /// @brief Answers one message of an entry; other kinds are ignored.
  void HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply);

  /// @brief Pushes what changed to the entries that are connected here.
  void OnLedgerChange();

  /// @brief Notes when this process becomes or ceases to be a confirmed
  /// leader; to be called before anything that depends on it.
  void UpdateLeadership();

  /// @brief Where a version is in force; nothing but a confirmed leader knows.
  /// @note Once accepted has been said of a version, no entry that hears this
  /// leader takes new work under an older one.
  RolloutReport RolloutOf(ConfigVersion version);

  /// @brief What was last heard of an entry.
  EntryView View(const ProcessId& process) const;

 private:
  struct ConnectedEntry {
    adapter::ReplyHandle handle;
    ConfigVersion pushed_version;
    std::uint64_t state_revision = 0;
  };

  void HandleStatus(const adapter::InboundMessage& message,
                    const adapter::ReplyHandle& reply);
  void HandleConfigFetch(const protocol::Envelope& envelope,
                         const adapter::ReplyHandle& reply);
  void HandlePropose(const protocol::Envelope& envelope,
                     const adapter::ReplyHandle& reply);
  void HandleHeartbeat(const protocol::EntryStatus& status);
  void PushUpdates(ConnectedEntry& connected);
  void AddRegisteredEntries();
  protocol::ControlStatus CurrentStatus(std::uint64_t heartbeat) const;
  std::string LeaderEndpoint() const;

  Replica& replica_;
  port::EventSink events_;
  std::function<void(const protocol::EntryStatus&)> relay_;
  std::optional<membership::AcceptanceRule> acceptance_rule_;
  /// Newest version that may have been said to be accepted.
  ConfigVersion accepted_;
  struct LastStatus {
    ConfigVersion in_force;
    TimePoint received_at;
  };
  std::map<ProcessId, LastStatus> last_status_;
  std::map<ProcessId, ConnectedEntry> connected_;
  /// Entries whose registration is on its way.
  std::set<ProcessId> registering_;
  std::set<ProcessId> registered_;
  std::uint64_t state_revision_ = 1;
  std::set<UpstreamId> drained_;
  std::set<std::uint64_t> quarantined_;
};

}  // namespace rattanward::control
