#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief What is known against one part of a prompt.
/// @note A larger value replaces a smaller one, whichever order they arrive in,
/// so that entries that have heard the same news agree.
struct PartSuspicion {
  std::uint64_t part = 0;
  /// Number of times that a success cleared the part.
  std::uint32_t clearances = 0;
  /// Crashes since then, each of a request that was sent when the one before
  /// was known. Crashes at the same time count once.
  std::uint32_t crashes = 0;

  friend bool operator==(const PartSuspicion&, const PartSuspicion&) = default;
};

/// @brief Whether `a` replaces `b`; both are about the same part.
bool IsStronger(const PartSuspicion& a, const PartSuspicion& b);

/// @brief Finds prompt parts that crash each upstream that answers on them.
/// @note Pure: no I/O, stepped time. Answers the load of requests that differ
/// in everything but one part, while sound requests share their other parts.
/// See docs/design/retries-and-quarantine.md for the rules.
class PartQuarantine {
 public:
  /// Crashes that quarantine a part that no success has ever cleared.
  static constexpr std::uint32_t kCrashLimit = 3;
  /// Crashes that quarantine a part that a success has cleared before.
  static constexpr std::uint32_t kClearedCrashLimit = 5;
  /// Maximum number of quarantined parts. More have another cause in common,
  /// such as a bad release of the upstreams, and then none is quarantined.
  static constexpr std::size_t kMaxQuarantined = 8;
  /// Maximum number of suspicions, and of remembered successes.
  static constexpr std::size_t kMaxParts = 4096;
  /// Retention of a suspicion after its last change, and time after which a
  /// quarantined part is tried again.
  static constexpr Duration kRetention = std::chrono::minutes(5);
  /// Age up to which a success clears a part that then comes under suspicion
  /// for the first time.
  static constexpr Duration kSuccessRetention = std::chrono::minutes(1);

  /// @brief Whether a part with this suspicion is quarantined.
  static bool ReachesLimit(const PartSuspicion& suspicion);

  /// @brief What is known against each of the parts, also those without
  /// suspicion, at the time at which a request is sent.
  std::vector<PartSuspicion> KnownAgainst(
      const std::vector<std::uint64_t>& parts) const;

  /// @brief The first quarantined part among the parts, if there is one.
  std::optional<std::uint64_t> FindQuarantined(
      const std::vector<std::uint64_t>& parts) const;

  /// @brief Records that a request was at an upstream that crashed.
  /// @param known_at_send Result of KnownAgainst() when it was sent there.
  /// @return The suspicions that changed.
  std::vector<PartSuspicion> RecordCrash(
      const std::vector<PartSuspicion>& known_at_send, TimePoint now);

  /// @brief Records that an upstream answered a request completely, which
  /// clears its parts.
  /// @return The suspicions that changed.
  /// @note A part that is crashing is cleared by no success, since every
  /// upstream crashes that begins to answer on it.
  std::vector<PartSuspicion> RecordSuccess(
      const std::vector<std::uint64_t>& parts, TimePoint now);

  /// @brief Takes back what a crash has raised, since the upstream had
  /// announced its exit. A part that has changed since then is left as it is.
  /// @param raised Result of RecordCrash().
  /// @return The suspicions that changed.
  std::vector<PartSuspicion> TakeBack(const std::vector<PartSuspicion>& raised,
                                      TimePoint now);

  /// @brief Merges a suspicion received from another process.
  /// @return The suspicion that this process now has, if it differs from the
  /// received one.
  std::optional<PartSuspicion> Merge(const PartSuspicion& received,
                                     TimePoint now);

  /// @brief All suspicions, also cleared ones.
  std::vector<PartSuspicion> All() const;

  /// @brief Number of suspicions, also cleared ones.
  std::size_t size() const { return entries_.size(); }

  /// @brief Number of quarantined parts.
  std::size_t quarantined() const { return quarantined_; }

  /// @brief Forgets what is older than its retention. A quarantined part is
  /// free then, and quarantined again by a single crash.
  void Expire(TimePoint now);

 private:
  struct Entry {
    PartSuspicion suspicion;
    TimePoint changed_at;
  };

  PartSuspicion Current(std::uint64_t part) const;
  bool Raise(const PartSuspicion& suspicion, TimePoint now);
  bool ClearIfAnsweredBefore(std::uint64_t part, TimePoint now);
  void RecordSuccess(std::uint64_t part, TimePoint now);
  void MakeRoom();

  std::unordered_map<std::uint64_t, Entry> entries_;
  std::unordered_map<std::uint64_t, TimePoint> successes_;
  std::size_t quarantined_ = 0;
};

}  // namespace rattanward::policy
