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

/// @brief Whether a configuration version is in force in one failure domain.
struct DomainAcceptance {
  FailureDomain failure_domain;
  bool in_force = false;
  /// Live entries that run an older version or none.
  std::vector<ProcessId> behind;
  /// Entries without a heartbeat for at least the lease plus the margin.
  std::vector<ProcessId> silent;

  friend bool operator==(const DomainAcceptance&,
                         const DomainAcceptance&) = default;
};

/// @brief Decides on the control leader when a configuration version is
/// accepted.
/// @note Pure: no I/O, and the time is a parameter. ConfigGate is the
/// counterpart on the entries. A failure domain has a version in force if a
/// majority of its known entries is live and every live entry runs the version
/// or a newer one. If an entry of the domain is silent, such a majority must
/// also have reported the version for at least the lease plus the margin.
class AcceptanceRule {
 public:
  /// @param times Must equal the times that the entries use.
  /// @param leader_since When this process became leader, or was confirmed as
  /// leader again after a gap. Heartbeats before that time are unknown.
  AcceptanceRule(LeaseTimes times, TimePoint leader_since)
      : times_(times), leader_since_(leader_since) {}

  /// @brief Adds an entry known from the replicated log or the settings. A
  /// known entry stays unchanged.
  void AddEntry(const ProcessId& process, const FailureDomain& domain);

  /// @brief Removes an entry that an operator has retired.
  void RemoveEntry(const ProcessId& process) { entries_.erase(process); }

  /// @brief Records a heartbeat, and adds the entry if it is unknown.
  /// @return False if the heartbeat is stale and was ignored, because its
  /// (incarnation, number) is not above that of the last recorded one.
  bool RecordHeartbeat(const protocol::EntryStatus& status, TimePoint now);

  /// @brief Evaluates the version for each failure domain.
  /// @return One item per domain that has a known entry.
  std::vector<DomainAcceptance> AcceptanceByDomain(ConfigVersion version,
                                                   TimePoint now) const;

  /// @brief Whether every failure domain has the version in force.
  /// @return False if no entry is known.
  bool IsAccepted(ConfigVersion version, TimePoint now) const;

 private:
  /// A version that an entry runs, and when it first reported it.
  struct VersionReport {
    ConfigVersion version;
    TimePoint first_reported;
  };
  struct EntryRecord {
    FailureDomain failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    TimePoint last_heard;
    /// In ascending order of versions.
    std::deque<VersionReport> reports;
  };
  struct DomainCount;

  bool IsLive(const EntryRecord& entry, TimePoint now) const;

  LeaseTimes times_;
  TimePoint leader_since_;
  std::map<ProcessId, EntryRecord> entries_;
};

}  // namespace rattanward::membership
