#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/policy/quantile_window.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief One attempt of this entry that runs on an upstream.
struct RunningAttempt {
  RequestId request;
  std::uint64_t fingerprint = 0;
  TimePoint started;
  bool first_token_seen = false;

  friend bool operator==(const RunningAttempt&,
                         const RunningAttempt&) = default;
};

/// @brief Whether an upstream is trusted with work, by its first-token times.
struct ProbationState {
  enum class Phase : std::uint8_t {
    kHealthy,
    /// No work until `banned_until`.
    kBanned,
    /// One request at a time until a first token comes in time.
    kProbing,
  };
  Phase phase = Phase::kHealthy;
  TimePoint banned_until;
  Duration ban_duration{0};
  /// First-token time that a probe must keep.
  Duration probe_limit{0};

  friend bool operator==(const ProbationState&,
                         const ProbationState&) = default;
};

/// @brief What one entry knows of one upstream instance.
struct UpstreamState {
  Announcement announcement;
  std::uint64_t id_hash = 0;
  bool removed = false;
  std::vector<RunningAttempt> running;
  /// Load of other entries, by the last report less what was ours in it.
  std::uint32_t reported_other_load = 0;
  /// Moving average of the above over the reports, which lag behind.
  double average_other_load = 0;
  std::uint64_t sent_total = 0;
  /// When attempts of this entry ended lately; a report may still count them.
  std::vector<TimePoint> recent_ends;
  /// A connect or an exchange failed, so nothing is sent before this.
  TimePoint avoid_until;
  QuantileWindow first_token_us;
  ProbationState probation;
  /// Whether the last event told of it said that it is on probation.
  bool reported_on_probation = false;

  /// @brief Requests that run there, as far as is known.
  std::uint32_t Load() const {
    return static_cast<std::uint32_t>(running.size()) + OtherLoad();
  }
  /// @brief Requests of other entries that run there, averaged over reports.
  std::uint32_t OtherLoad() const {
    return static_cast<std::uint32_t>(std::lround(average_other_load));
  }
  /// @brief Whether it may get new work at all.
  bool AcceptsNewWork() const { return !removed && !announcement.draining; }
};

/// @brief Upstreams that this entry knows, by instance and by target.
class UpstreamTable {
 public:
  using List = std::vector<UpstreamState*>;

  /// @brief Takes an announcement; an older or equal one changes nothing.
  /// @return Whether it was taken.
  /// @note One of the same sequence that differs is taken: an operator's drain
  /// changes the last announcement.
  bool Announce(const Announcement& announcement, TimePoint now);

  /// @brief Takes an upstream out; it is forgotten once nothing runs there.
  void Remove(const UpstreamId& id);

  /// @brief Notes that an attempt started.
  void AttemptStarted(UpstreamState* upstream, const RunningAttempt& attempt);

  /// @brief Notes that an attempt ended.
  /// @return When and with what it ran; a default value if it is unknown.
  RunningAttempt AttemptEnded(const UpstreamId& id, const RequestId& request,
                              TimePoint now);

  /// @brief Finds an upstream, also one that is gone but still runs work.
  /// @return Null if it is unknown.
  UpstreamState* Find(const UpstreamId& id);

  /// @brief Upstreams that announce a target, in no set order.
  const List& Serving(const Target& target) const;

  /// @brief Whether any upstream of a target may get new work.
  bool HasAvailableUpstream(const Target& target) const;

  /// @brief Lists by target, for what looks at all of them.
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
