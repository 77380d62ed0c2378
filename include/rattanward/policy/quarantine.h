#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/bounded_set.h"
#include "rattanward/domain/error.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy {

/// @brief Whether a request is suspected of crashing upstreams.
enum class QuarantineStatus : std::uint8_t { kClear, kSuspect, kQuarantined };

/// @brief The final error for a quarantined request.
Error QuarantinedError();

/// @brief Tracks requests that ran on upstreams that died, by fingerprint.
/// @note See docs/design/retries-and-quarantine.md for the rules.
class Quarantine {
 public:
  /// Maximum number of fingerprints. The oldest suspects are evicted first.
  static constexpr std::size_t kMaxFingerprints = 4096;
  /// Deaths of distinct upstream instances after which a request is
  /// quarantined.
  static constexpr std::size_t kDeathsToQuarantine = 2;
  /// Maximum number of instances that are remembered as leaving.
  static constexpr std::size_t kMaxPlannedExits = 4096;
  /// Retention of a suspect after its last death.
  static constexpr Duration kSuspectExpiry = std::chrono::minutes(10);
  /// Retention of a quarantined fingerprint after its last death.
  static constexpr Duration kQuarantineExpiry = std::chrono::hours(1);

  /// @brief Status of a fingerprint. That of 0, which stands for no
  /// fingerprint, is always kClear.
  QuarantineStatus StatusOf(std::uint64_t fingerprint) const;

  /// @brief Records that a request ran on an upstream that seems to have died.
  void AddDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                TimePoint now);

  /// @brief Records that a request completed, which clears it at this entry,
  /// whether suspect or quarantined: a request that kills upstreams never
  /// completes.
  void RecordCompletion(std::uint64_t fingerprint);

  /// @brief Records an announcement of an instance. The suspected death of an
  /// instance that continues to announce itself is retracted.
  /// @param sequence Sequence of the announcement; repeated and older ones are
  /// ignored.
  void RecordAnnouncement(const UpstreamId& upstream, std::uint64_t sequence,
                          TimePoint now);

  /// @brief Records that an instance is leaving as announced. Its end is no
  /// death of the requests that it cuts, whichever is known first.
  void RecordPlannedExit(const UpstreamId& upstream);

  /// @brief Records that an instance that was leaving stays, since an operator
  /// has changed their mind.
  void RecordExitCancelled(const UpstreamId& upstream) {
    planned_exits_.Erase(upstream);
  }

  /// @brief Merges a suspicion received from another entry.
  void Merge(const Suspicion& suspicion, TimePoint now);

  /// @brief Returns the suspicions with deaths added by this entry since the
  /// last call, to be sent to the other entries.
  std::vector<Suspicion> TakeUnsent();

  /// @brief All suspicions, for operators.
  std::vector<Suspicion> All() const;

  /// @brief Clears a fingerprint at an operator's request.
  /// @return Whether it was known.
  bool Release(std::uint64_t fingerprint);

  /// @brief Drops expired fingerprints and suspected deaths.
  void Expire(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    /// Instances that seem to have died while they ran the request.
    std::vector<UpstreamId> deaths;
    /// Deaths that this fingerprint was cleared of. Late reports of them are
    /// ignored.
    std::vector<UpstreamId> cleared_deaths;
    /// Whether another entry reported it as quarantined without naming the
    /// deaths.
    bool reported_quarantined = false;
    TimePoint updated;
  };
  struct SuspectedDeath {
    TimePoint since;
    /// Sequence of the latest announcement after it.
    std::uint64_t last_sequence = 0;
    /// Announcements counted after it.
    std::uint32_t announcements = 0;
  };

  static bool IsQuarantined(const Entry& entry);
  bool InsertDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                   TimePoint now);
  void RetractDeath(const UpstreamId& upstream);
  void EvictIfFull();

  std::unordered_map<std::uint64_t, Entry> entries_;
  std::map<UpstreamId, SuspectedDeath> suspected_deaths_;
  BoundedSet<UpstreamId> planned_exits_{kMaxPlannedExits};
  /// Fingerprints for TakeUnsent().
  std::vector<std::uint64_t> unsent_;
};

}  // namespace rattanward::policy
