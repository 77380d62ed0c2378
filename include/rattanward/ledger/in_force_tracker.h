#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/ledger/state_machine.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::ledger {

/// @brief An entry that hears neither control nor more than half of its
/// failure domain's entries for this long takes no new work.
inline constexpr Duration kEntryLease{std::chrono::seconds(3)};

/// @brief Times after which an entry's silence means something.
struct InForceOptions {
  /// An entry that was heard this recently is live.
  Duration live_within{std::chrono::milliseconds(1500)};
  /// A silent entry has surely stopped taking new work: its lease, and the
  /// time in which a follower may still believe in a lost leader.
  Duration stopped_after{kEntryLease + std::chrono::milliseconds(1500)};

  friend bool operator==(const InForceOptions&,
                         const InForceOptions&) = default;
};

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

/// @brief Tells which configuration version is in force where; for a leader.
/// @note A domain is pending until more than half of its entries are live, all
/// live ones run the version, and each other one either was seen to run it or
/// has been silent until it has surely stopped. The silent ones are then too
/// few to go on by hearing each other.
class InForceTracker {
 public:
  explicit InForceTracker(InForceOptions options = {}) : options_(options) {}

  /// @brief Starts anew at the beginning of a leadership: silence is counted
  /// from now, and no entry's version is known.
  void Reset(TimePoint now);

  /// @brief Takes the registered entries, after each change of the ledger.
  void SetEntries(const std::map<ProcessId, EntryRecord>& entries,
                  TimePoint now);

  /// @brief Takes a heartbeat of an entry; ignored if it is not registered.
  void Heard(const protocol::EntryStatus& status, TimePoint now);

  /// @brief Where a version is in force.
  /// Complexity: linear in the number of entries.
  InForceReport Report(ConfigVersion version, TimePoint now) const;

  /// @brief Whether the entry was heard lately.
  bool IsLive(const ProcessId& process, TimePoint now) const;

  /// @brief Version that the entry last said it runs; 0 if unknown.
  ConfigVersion Version(const ProcessId& process) const;

  /// @brief Entries silent for at least this long.
  std::vector<ProcessId> SilentFor(Duration silence, TimePoint now) const;

 private:
  struct Tracked {
    EntryRecord record;
    TimePoint heard;
    ConfigVersion version;
  };

  InForceOptions options_;
  std::map<ProcessId, Tracked> entries_;
};

}  // namespace rattanward::ledger
