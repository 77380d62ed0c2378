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

/// @brief Rollout of a configuration version in one failure domain.
struct DomainRollout {
  FailureDomain failure_domain;
  /// Number of registered entries.
  std::uint32_t entries = 0;
  /// Number of registered entries with a recent heartbeat.
  std::uint32_t live = 0;
  /// Number of live entries that run the version or a newer one.
  std::uint32_t in_force = 0;
  /// The version is not yet in force in this failure domain.
  bool pending = true;

  friend bool operator==(const DomainRollout&, const DomainRollout&) = default;
};

/// @brief Rollout of a configuration version, by failure domain.
struct RolloutReport {
  /// The version is in force in every known failure domain, and at least one is
  /// known.
  bool accepted = false;
  std::vector<DomainRollout> domains;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

/// @brief Last known status of an entry.
struct EntryView {
  ConfigVersion in_force;
  bool live = false;

  friend bool operator==(const EntryView&, const EntryView&) = default;
};

/// @brief Handles the messages of the entries: heartbeats, configuration
/// fetches and proposals.
/// @note Control thread only.
class EntryHub {
 public:
  /// @param relay Forwards a heartbeat to the leader. Followers use it so that
  /// the leader also sees entries that reach only a follower as live.
  EntryHub(Replica& replica, port::EventSink events,
           std::function<void(const protocol::EntryStatus&)> relay);

  /// @brief Handles one message of an entry. Other message kinds are ignored.
  void HandleMessage(const adapter::InboundMessage& message,
                     const adapter::ReplyHandle& reply);

  /// @brief Pushes changed configuration and operator state to the connected
  /// entries.
  void OnLedgerChange();

  /// @brief Starts or drops the leader's state when this process becomes or
  /// ceases to be a confirmed leader. Must be called before anything that
  /// depends on leadership.
  void UpdateLeadership();

  /// @brief Rollout of a configuration version.
  /// @return An empty report unless this process is a confirmed leader.
  /// @note Once a version was reported as accepted, no entry that receives this
  /// leader's answers accepts new requests under an older version.
  RolloutReport RolloutOf(ConfigVersion version);

  /// @brief Last known status of an entry; default values if there is none.
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
  /// Newest version that this or an earlier leader may have reported as
  /// accepted.
  ConfigVersion accepted_;
  struct LastStatus {
    ConfigVersion in_force;
    TimePoint received_at;
  };
  std::map<ProcessId, LastStatus> last_status_;
  std::map<ProcessId, ConnectedEntry> connected_;
  /// Entries whose EntryRegister command is proposed but not yet answered.
  std::set<ProcessId> registering_;
  std::set<ProcessId> registered_;
  std::uint64_t state_revision_ = 1;
  std::set<UpstreamId> drained_;
  std::set<std::uint64_t> quarantined_;
};

}  // namespace rattanward::control
