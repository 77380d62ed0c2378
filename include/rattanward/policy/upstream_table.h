#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/policy/backoff_period.h"
#include "rattanward/policy/limit_share.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/policy/quantile_window.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief An attempt of this entry that is running on an upstream.
struct RunningAttempt {
  RequestId request;
  std::uint64_t fingerprint = 0;
  TimePoint started;
  bool first_token_seen = false;
  /// What was known against the parts of its prompt when it was started.
  std::vector<PartSuspicion> known_at_start = {};

  friend bool operator==(const RunningAttempt&,
                         const RunningAttempt&) = default;
};

/// @brief Probation of an upstream whose first-token times are outliers.
struct ProbationState {
  enum class Phase : std::uint8_t {
    kHealthy,
    /// Gets no requests until `banned_until`.
    kBanned,
    /// Gets one request at a time, until a first token arrives within
    /// `probe_limit`.
    kProbing,
  };
  Phase phase = Phase::kHealthy;
  TimePoint banned_until;
  /// Length of the current or last ban.
  Duration ban_duration{0};
  /// Longest first-token time with which a probe succeeds.
  Duration probe_limit{0};

  friend bool operator==(const ProbationState&,
                         const ProbationState&) = default;
};

/// @brief State of one upstream instance, as known to this entry.
struct UpstreamState {
  Announcement announcement;
  /// Hash of the instance id, for rendezvous hashing.
  std::uint64_t id_hash = 0;
  /// Whether the upstream expired and is kept only for its running attempts.
  bool removed = false;
  std::vector<RunningAttempt> running;
  /// Load from other entries: the last reported load minus this entry's part.
  std::uint32_t reported_other_load = 0;
  /// Moving average of `reported_other_load`.
  double average_other_load = 0;
  /// Attempts that this entry has started on the upstream.
  std::uint64_t sent_total = 0;
  /// End times of this entry's recent attempts, which a load report may still
  /// count as running.
  std::vector<TimePoint> recent_ends;
  /// Nothing is sent before this time, because of a refusal or failure.
  TimePoint avoid_until;
  /// Whether this entry has lost its path to the upstream.
  bool path_lost = false;
  BackoffPeriod backoff;
  /// Limit that the upstream names for all entries together.
  std::optional<RequestRate> limit;
  /// This entry's part of it.
  PacedShare share;
  QuantileWindow first_token_us;
  ProbationState probation;
  /// Whether the last probation event for this upstream was its begin.
  bool reported_on_probation = false;

  /// @brief Estimated number of requests running on the upstream.
  std::uint32_t Load() const {
    return static_cast<std::uint32_t>(running.size()) + OtherLoad();
  }
  /// @brief Estimated number of requests from other entries, averaged over the
  /// load reports.
  std::uint32_t OtherLoad() const {
    return static_cast<std::uint32_t>(std::lround(average_other_load));
  }
  /// @brief Time until which the upstream's back-off or limit allows no request
  /// of this entry; TimePoint::max() if it is not known.
  TimePoint HeldBackUntil(TimePoint now) const {
    const TimePoint by_limit =
        limit ? share.AllowedFrom(now).value_or(TimePoint::max()) : now;
    return std::max(backoff.end(), by_limit);
  }
  /// @brief Whether the upstream is neither removed nor draining.
  bool InService() const { return !removed && !announcement.draining; }
  /// @brief Whether it is in service and this entry has a path to it.
  bool AcceptsNewWork() const { return InService() && !path_lost; }
};

/// @brief Upstreams known to this entry, indexed by instance and by target.
class UpstreamTable {
 public:
  using List = std::vector<UpstreamState*>;

  /// @brief Applies an announcement; an older or identical one is ignored.
  /// @return Whether it was applied.
  /// @note An announcement with the same sequence number but other contents is
  /// applied, because an operator's drain modifies the last announcement.
  bool Announce(const Announcement& announcement, TimePoint now);

  /// @brief Removes an upstream; its state is kept until its last running
  /// attempt ends.
  void Remove(const UpstreamId& id);

  /// @brief Records the start of an attempt.
  void AttemptStarted(UpstreamState* upstream, const RunningAttempt& attempt);

  /// @brief Records the end of an attempt.
  /// @return The attempt's record; a default value if the attempt is unknown.
  RunningAttempt AttemptEnded(const UpstreamId& id, const RequestId& request,
                              TimePoint now);

  /// @brief Finds an upstream, including removed ones with running attempts.
  /// @return Null if the upstream is unknown.
  UpstreamState* Find(const UpstreamId& id);

  /// @brief Returns the upstreams that announce a target, in unspecified order.
  const List& Serving(const Target& target) const;

  /// @brief Whether any upstream of a target accepts new work.
  bool HasAvailableUpstream(const Target& target) const;

  /// @brief Whether an upstream of the target is in service that this entry has
  /// no path to.
  bool HasLostPath(const Target& target) const;

  /// @brief Returns all upstreams, grouped by target.
  const std::map<Target, List>& ByTarget() const { return by_target_; }

 private:
  static std::uint32_t EstimateOtherLoad(const UpstreamState& state,
                                         TimePoint now);
  void Index(UpstreamState* state);
  void Unindex(const UpstreamState* state);

  std::unordered_map<UpstreamId, std::unique_ptr<UpstreamState>> states_;
  std::map<Target, List> by_target_;
};

}  // namespace rattanward::policy
