#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy {

/// @brief Whether a request may be what makes upstreams crash.
enum class QuarantineStatus : std::uint8_t { kClear, kSuspect, kQuarantined };

/// @brief The final answer to a request in quarantine.
Error QuarantinedError();

/// @brief Requests that ran on upstreams that died, by fingerprint.
/// @note docs/design/retries-and-quarantine.md states the rules.
class Quarantine {
 public:
  /// Fingerprints remembered; the oldest suspects go first.
  static constexpr std::size_t kMaxFingerprints = 4096;
  /// Deaths of distinct upstream instances that put a request in quarantine.
  static constexpr std::size_t kDeathsToQuarantine = 2;
  /// How long a suspicion is remembered after its last death.
  static constexpr Duration kSuspectExpiry = std::chrono::minutes(10);
  /// How long a quarantine is remembered after its last death.
  static constexpr Duration kQuarantineExpiry = std::chrono::hours(1);

  /// @brief Standing of a fingerprint; 0 is always clear.
  QuarantineStatus StatusOf(std::uint64_t fingerprint) const;

  /// @brief Notes that a request ran on an upstream that seems to have died.
  void AddDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                TimePoint now);

  /// @brief Clears a suspect that finished whole; a quarantined one stays.
  void RecordCompletion(std::uint64_t fingerprint);

  /// @brief Notes an announcement of an instance; once several have followed
  /// its supposed death, the death is taken back.
  void RecordAnnouncement(const UpstreamId& upstream, std::uint64_t sequence,
                          TimePoint now);

  /// @brief Takes what another entry told.
  void Merge(const Suspicion& suspicion, TimePoint now);

  /// @brief Suspicions that grew here since the last call, to be told.
  std::vector<Suspicion> TakeUnsent();

  /// @brief Every suspicion, for operators.
  std::vector<Suspicion> All() const;

  /// @brief Forgets a fingerprint on an operator's order.
  /// @return Whether it was known.
  bool Release(std::uint64_t fingerprint);

  /// @brief Forgets what has expired.
  void Expire(TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::vector<UpstreamId> deaths;
    /// Deaths that this fingerprint was cleared of; late news of them is void.
    std::vector<UpstreamId> cleared_deaths;
    /// Told as quarantined by an entry that did not name the deaths.
    bool reported_quarantined = false;
    TimePoint updated;
  };
  struct SuspectedDeath {
    TimePoint since;
    std::uint64_t last_sequence = 0;
    std::uint32_t announcements = 0;
  };

  static bool IsQuarantined(const Entry& entry);
  bool InsertDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                   TimePoint now);
  void RetractDeath(const UpstreamId& upstream);
  void EvictIfFull();

  std::unordered_map<std::uint64_t, Entry> entries_;
  std::map<UpstreamId, SuspectedDeath> suspected_deaths_;
  std::vector<std::uint64_t> unsent_;
};

}  // namespace rattanward::policy
