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
  AcceptanceRule(LeaseTimes times, TimePoint began)
      : times_(times), began_(began) {}

  /// @brief Adds an entry that is known from the log or the settings.
  void AddEntry(const ProcessId& process, const FailureDomain& domain);

  /// @brief Forgets an entry that an operator has retired.
  void Retire(const ProcessId& process) { entries_.erase(process); }

  /// @brief Takes a heartbeat; adds the entry if it is not known.
  /// @return False for a stale heartbeat, which changes nothing.
  bool Heard(const protocol::EntryStatus& status, TimePoint now);

  /// @brief How far the version is in each failure domain.
  std::vector<DomainAcceptance> Check(ConfigVersion version,
                                      TimePoint now) const;

  /// @brief Whether every failure domain has the version in force.
  /// @return False if no entry is known.
  bool Accepted(ConfigVersion version, TimePoint now) const;

 private:
  /// A version, and when it was first reported.
  struct Report {
    ConfigVersion version;
    TimePoint since;
  };
  struct EntryRecord {
    FailureDomain failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    TimePoint heard;
    /// Versions only grow from front to back.
    std::deque<Report> reports;
  };
  struct DomainCount;

  bool Live(const EntryRecord& entry, TimePoint now) const;

  LeaseTimes times_;
  TimePoint began_;
  std::map<ProcessId, EntryRecord> entries_;
};

}  // namespace rattanward::membership
