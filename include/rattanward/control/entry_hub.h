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
struct DomainInForce {
  FailureDomain failure_domain;
  /// Registered entries.
  std::uint32_t entries = 0;
  /// Of these, heard lately.
  std::uint32_t live = 0;
  /// Of the live ones, running the version or a newer one.
  std::uint32_t in_force = 0;
  bool pending = true;

  friend bool operator==(const DomainInForce&, const DomainInForce&) = default;
};

/// @brief Whether a version is in force, by failure domain.
struct InForceReport {
  /// Every known failure domain runs the version, and there is one.
  bool accepted = false;
  std::vector<DomainInForce> domains;

  friend bool operator==(const InForceReport&, const InForceReport&) = default;
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
  void Take(const adapter::InboundMessage& message,
            const adapter::ReplyHandle& reply);

  /// @brief Pushes what changed to the entries that are connected here.
  void LedgerChanged();

  /// @brief Notes when this process becomes or ceases to be a confirmed
  /// leader; to be called before anything that depends on it.
  void UpdateLeadership();

  /// @brief Where a version is in force; nothing but a confirmed leader knows.
  /// @note Once accepted has been said of a version, no entry that hears this
  /// leader takes new work under an older one.
  InForceReport InForce(ConfigVersion version);

  /// @brief What was last heard of an entry.
  EntryView View(const ProcessId& process) const;

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
  void AddRegistered();
  protocol::ControlStatus StatusNow(std::uint64_t heartbeat) const;
  std::string LeaderEndpoint() const;

  Replica& replica_;
  port::EventSink events_;
  std::function<void(const protocol::EntryStatus&)> relay_;
  std::optional<membership::AcceptanceRule> rule_;
  /// Newest version that may have been said to be accepted.
  ConfigVersion accepted_;
  struct LastStatus {
    ConfigVersion in_force;
    TimePoint heard;
  };
  std::map<ProcessId, LastStatus> last_;
  std::map<ProcessId, Connected> connected_;
  /// Entries whose registration is on its way.
  std::set<ProcessId> changing_;
  std::set<ProcessId> registered_;
  std::uint64_t state_revision_ = 1;
  std::set<UpstreamId> drained_;
  std::set<std::uint64_t> quarantined_;
};

}  // namespace rattanward::control
