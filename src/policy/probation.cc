#include "rattanward/policy/probation.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace rattanward::policy {
namespace {

using Phase = ProbationState::Phase;

/// First tokens that must have been seen before an upstream is judged.
constexpr std::size_t kMinSamples = 5;
/// Upstreams of a domain that must have been seen before one is judged.
constexpr std::size_t kMinPeers = 2;
/// How many times slower than the domain's median is an outlier.
constexpr std::int64_t kOutlierFactor = 3;
/// Differences below this are never an outlier.
constexpr Duration kOutlierSlack = std::chrono::milliseconds(200);
constexpr Duration kFirstBan = std::chrono::seconds(5);
constexpr Duration kLongestBan = std::chrono::minutes(1);
constexpr std::uint32_t kMedianPermille = 500;

void Ban(ProbationState* state, TimePoint now) {
  state->ban_duration = state->ban_duration == Duration(0)
                            ? kFirstBan
                            : std::min(kLongestBan, state->ban_duration * 2);
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

struct DomainView {
  std::vector<Duration> medians;
  std::size_t upstreams = 0;
  std::size_t on_probation = 0;
  /// First-token time above which an upstream is an outlier.
  std::optional<Duration> limit;
};

void EndBan(ProbationState* state, TimePoint now) {
  if (state->phase == Phase::kBanned && now >= state->banned_until) {
    state->phase = Phase::kProbing;
  }
}

void AddTo(DomainView* view, const UpstreamState& upstream, TimePoint now) {
  const bool healthy = upstream.probation.phase == Phase::kHealthy;
  ++view->upstreams;
  view->on_probation += healthy ? 0 : 1;
  const auto median = MedianWait(upstream, now);
  if (median && healthy) {
    view->medians.push_back(*median);
  }
}

bool IsOutlier(const UpstreamState& upstream, const DomainView& view,
               TimePoint now) {
  const Duration oldest = OldestUnanswered(upstream, now);
  switch (upstream.probation.phase) {
    case Phase::kBanned:
      return false;
    case Phase::kProbing:
      return oldest > *view.limit;
    case Phase::kHealthy:
      break;
  }
  const Duration median = MedianWait(upstream, now).value_or(Duration(0));
  const bool room = 2 * (view.on_probation + 1) <= view.upstreams;
  return room && std::max(median, oldest) > *view.limit;
}

/// Lower median, so that of two upstreams the faster one is the measure.
Duration LowerMedian(std::vector<Duration>* values) {
  const auto middle =
      values->begin() + static_cast<std::ptrdiff_t>((values->size() - 1) / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

}  // namespace

void NoteFirstToken(UpstreamState* upstream, Duration wait, TimePoint now) {
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

void ReviewProbation(const UpstreamTable::List& list, TimePoint now) {
  std::map<FailureDomain, DomainView> domains;
  for (UpstreamState* upstream : list) {
    EndBan(&upstream->probation, now);
    AddTo(&domains[upstream->announcement.failure_domain], *upstream, now);
  }
  for (auto& [name, view] : domains) {
    if (!view.medians.empty() && view.upstreams >= kMinPeers) {
      view.limit = kOutlierFactor * LowerMedian(&view.medians) + kOutlierSlack;
    }
  }
  for (UpstreamState* upstream : list) {
    DomainView& view = domains[upstream->announcement.failure_domain];
    if (view.limit && IsOutlier(*upstream, view, now)) {
      view.on_probation += upstream->probation.phase == Phase::kHealthy ? 1 : 0;
      upstream->probation.probe_limit = *view.limit;
      Ban(&upstream->probation, now);
    }
  }
}

}  // namespace rattanward::policy
