#include "rattanward/policy/probation.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace rattanward::policy {
namespace {

using Phase = ProbationState::Phase;

/// Minimum number of first-token samples before an upstream is judged by its
/// median.
constexpr std::size_t kMinSamples = 5;
/// Minimum number of upstreams in a failure domain before any is judged.
constexpr std::size_t kMinPeers = 2;
/// Multiple of the domain's median from which a first-token time is an outlier.
constexpr std::int64_t kOutlierFactor = 3;
/// Added to that multiple, so that small differences at low latency are not
/// outliers.
constexpr Duration kMinOutlierExcess = std::chrono::milliseconds(200);
constexpr Duration kInitialBan = std::chrono::seconds(5);
constexpr Duration kMaxBan = std::chrono::minutes(1);
constexpr std::uint32_t kMedianPermille = 500;

void Ban(ProbationState* state, TimePoint now) {
  state->ban_duration = state->ban_duration == Duration(0)
                            ? kInitialBan
                            : std::min(kMaxBan, state->ban_duration * 2);
  state->phase = Phase::kBanned;
  state->banned_until = now + state->ban_duration;
}

Duration OldestUnanswered(const UpstreamState& state, TimePoint now) {
  Duration oldest{0};
  for (const RunningAttempt& attempt : state.running) {
    if (!attempt.first_token_seen) {
      oldest = std::max(oldest, now - attempt.started);
    }
  }
  return oldest;
}

std::optional<Duration> MedianWait(const UpstreamState& state, TimePoint now) {
  if (state.first_token_us.Count(now) < kMinSamples) {
    return std::nullopt;
  }
  const auto median = state.first_token_us.Quantile(kMedianPermille, now);
  return median ? std::optional(Duration(*median)) : std::nullopt;
}

struct DomainStats {
  /// Median first-token times of its healthy upstreams.
  std::vector<Duration> medians;
  std::size_t upstreams = 0;
  std::size_t on_probation = 0;
  /// First-token time above which an upstream is an outlier.
  std::optional<Duration> limit;
};

void EndBanIfExpired(ProbationState* state, TimePoint now) {
  if (state->phase == Phase::kBanned && now >= state->banned_until) {
    state->phase = Phase::kProbing;
  }
}

void AddUpstream(DomainStats* stats, const UpstreamState& upstream,
                 TimePoint now) {
  const bool healthy = upstream.probation.phase == Phase::kHealthy;
  ++stats->upstreams;
  stats->on_probation += healthy ? 0 : 1;
  const auto median = MedianWait(upstream, now);
  if (median && healthy) {
    stats->medians.push_back(*median);
  }
}

bool IsOutlier(const UpstreamState& upstream, const DomainStats& stats,
               TimePoint now) {
  const Duration oldest = OldestUnanswered(upstream, now);
  switch (upstream.probation.phase) {
    case Phase::kBanned:
      return false;
    case Phase::kProbing:
      return oldest > *stats.limit;
    case Phase::kHealthy:
      break;
  }
  const Duration median = MedianWait(upstream, now).value_or(Duration(0));
  const bool below_ban_limit = 2 * (stats.on_probation + 1) <= stats.upstreams;
  return below_ban_limit && std::max(median, oldest) > *stats.limit;
}

/// Lower median, so that the faster of two upstreams is the reference.
Duration LowerMedian(std::vector<Duration>* values) {
  const auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void RecordFirstToken(UpstreamState* upstream, Duration wait, TimePoint now) {
  ProbationState& state = upstream->probation;
  upstream->first_token_us.Add(wait.count(), now);
  if (state.phase != Phase::kProbing) {
    return;
  }
  if (wait > state.probe_limit) {
    Ban(&state, now);
    return;
  }
  state = {};
  upstream->first_token_us.Clear();
}

void UpdateProbation(const UpstreamTable::List& list, TimePoint now) {
  std::map<FailureDomain, DomainStats> domains;
  for (UpstreamState* upstream : list) {
    EndBanIfExpired(&upstream->probation, now);
    AddUpstream(&domains[upstream->announcement.failure_domain], *upstream,
                now);
  }
  for (auto& [name, stats] : domains) {
    if (!stats.medians.empty() && stats.upstreams >= kMinPeers) {
      stats.limit =
          kOutlierFactor * LowerMedian(&stats.medians) + kMinOutlierExcess;
    }
  }
  for (UpstreamState* upstream : list) {
    DomainStats& stats = domains[upstream->announcement.failure_domain];
    if (stats.limit && IsOutlier(*upstream, stats, now)) {
      stats.on_probation +=
          upstream->probation.phase == Phase::kHealthy ? 1 : 0;
      upstream->probation.probe_limit = *stats.limit;
      Ban(&upstream->probation, now);
    }
  }
}

}  // namespace rattanward::policy
