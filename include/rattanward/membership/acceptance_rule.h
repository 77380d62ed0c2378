#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/config_gate.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::membership {

/// @brief Whether a version is in force in one failure domain.
struct DomainAcceptance {
  FailureDomain failure_domain;
  bool in_force = false;
  /// Live entries that run an older version or none.
  std::vector<ProcessId> behind;
  /// Entries that were not heard from.
  std::vector<ProcessId> silent;

  friend bool operator==(const DomainAcceptance&,
                         const DomainAcceptance&) = default;
};

/// @brief Decides at the control leader when a version is accepted.
/// @note Pure; see ConfigGate for the entries' side. A domain has a version in
/// force if a majority of its known entries is live, each live entry runs it,
/// and, where an entry is silent, that majority has reported it for at least
/// the lease and the margin.
class AcceptanceRule {
 public:
  /// @param began When this process became leader, or was confirmed as such
  /// again after a gap; what came before is not known to it.
  AcceptanceRule(LeaseTimes times, TimePoint leader_since)
      : times_(times), leader_since_(leader_since) {}

  /// @brief Adds an entry that is known from the log or the settings.
  void AddEntry(const ProcessId& process, const FailureDomain& domain);

  /// @brief Forgets an entry that an operator has retired.
  void RemoveEntry(const ProcessId& process) { entries_.erase(process); }

  /// @brief Takes a heartbeat; adds the entry if it is not known.
  /// @return False for a stale heartbeat, which changes nothing.
  bool RecordHeartbeat(const protocol::EntryStatus& status, TimePoint now);

  /// @brief How far the version is in each failure domain.
  std::vector<DomainAcceptance> AcceptanceByDomain(ConfigVersion version,
                                                   TimePoint now) const;

  /// @brief Whether every failure domain has the version in force.
  /// @return False if no entry is known.
  bool IsAccepted(ConfigVersion version, TimePoint now) const;

 private:
  /// A version, and when it was first reported.
  struct VersionReport {
    ConfigVersion version;
    TimePoint first_reported;
  };
  struct EntryRecord {
    FailureDomain failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    TimePoint last_heard;
    /// Versions only grow from front to back.
    std::deque<VersionReport> reports;
  };
  struct DomainCount;

  bool IsLive(const EntryRecord& entry, TimePoint now) const;

  LeaseTimes times_;
  TimePoint leader_since_;
  std::map<ProcessId, EntryRecord> entries_;
};

}  // namespace rattanward::membership
