#pragma once

#include <cstddef>
#include <vector>

#include "rattanward/domain/time.h"
#include "rattanward/membership/crash_witnesses.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::membership {

/// @brief What a control VM knows of crashes, as reported by all entries.
/// @note Pure: no I/O, and the time is a parameter.
class CrashNews {
 public:
  static constexpr std::size_t kMaxWitnesses = CrashWitnesses::kMaxWitnesses;

  /// @brief Records what an entry or another control VM reports.
  /// @return The part of it that was not known, to be passed on.
  protocol::CrashesTold Record(const protocol::CrashesTold& reported,
                               TimePoint now);

  /// @brief An upstream announced its exit, which clears those it cuts.
  /// @return Number of witnesses that this clears.
  std::size_t RecordPlannedExit(const InstanceStart& upstream) {
    return witnesses_.RecordPlannedExit(upstream).size();
  }

  /// @brief What is known against the parts of some suspicions.
  protocol::CrashesTold KnownAgainst(
      const std::vector<policy::PartSuspicion>& suspicions) const;

  /// @brief All that is known, for a process that may know nothing yet.
  protocol::CrashesTold All() const;

  /// @brief All suspicions against parts of prompts.
  protocol::CrashesTold Suspicions() const { return {{}, parts_.All(), {}}; }

  /// @brief Forgets what is older than its retention.
  void Expire(TimePoint now) { parts_.Expire(now); }

  std::size_t witnesses() const { return witnesses_.size(); }
  std::size_t suspected_parts() const { return parts_.size(); }
  std::size_t quarantined_parts() const { return parts_.quarantined(); }

 private:
  CrashWitnesses witnesses_;
  policy::PartQuarantine parts_;
};

/// @brief Whether a message says nothing.
bool IsEmpty(const protocol::CrashesTold& told);

}  // namespace rattanward::membership
