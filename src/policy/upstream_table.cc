#include "rattanward/policy/upstream_table.h"

#include <algorithm>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Assumed time between the creation of a load report and its arrival.
constexpr Duration kReportLag = std::chrono::milliseconds(300);
/// Weight of a new report in the moving average of the other entries' load.
/// Reports lag, so entries that all followed the newest one would overload the
/// same upstream.
constexpr double kReportWeight = 0.2;

template <class Range, class Predicate>
std::uint32_t Count(const Range& range, Predicate predicate) {
  return static_cast<std::uint32_t>(
      std::count_if(range.begin(), range.end(), predicate));
}

}  // namespace

bool UpstreamTable::Announce(const Announcement& announcement, TimePoint now) {
  std::unique_ptr<UpstreamState>& state = states_[announcement.instance];
  const bool known = state != nullptr;
  if (known && (announcement.sequence < state->announcement.sequence ||
                announcement == state->announcement)) {
    return false;
  }
  if (!known) {
    state = std::make_unique<UpstreamState>();
    state->id_hash = StableHash(announcement.instance.str());
  }
  const bool reindex =
      !known || state->removed ||
      TargetsOf(announcement) != TargetsOf(state->announcement);
  if (reindex && known) {
    Unindex(state.get());
  }
  state->announcement = announcement;
  state->removed = false;
  state->reported_other_load = EstimateOtherLoad(*state, now);
  const double weight = known ? kReportWeight : 1.0;
  state->average_other_load +=
      weight * (state->reported_other_load - state->average_other_load);
  if (reindex) {
    Index(state.get());
  }
  return true;
}

void UpstreamTable::Remove(const UpstreamId& id) {
  const auto it = states_.find(id);
  if (it == states_.end()) {
    return;
  }
  Unindex(it->second.get());
  it->second->removed = true;
  if (it->second->running.empty()) {
    states_.erase(it);
  }
}

void UpstreamTable::AttemptStarted(UpstreamState* upstream,
                                   const RunningAttempt& attempt) {
  upstream->running.push_back(attempt);
  ++upstream->sent_total;
}

RunningAttempt UpstreamTable::AttemptEnded(const UpstreamId& id,
                                           const RequestId& request,
                                           TimePoint now) {
  UpstreamState* state = Find(id);
  if (state == nullptr) {
    return {};
  }
  const auto it = std::find_if(
      state->running.begin(), state->running.end(),
      [&](const RunningAttempt& a) { return a.request == request; });
  if (it == state->running.end()) {
    return {};
  }
  RunningAttempt ended = *it;
  state->running.erase(it);
  std::erase_if(state->recent_ends,
                [now](TimePoint at) { return now - at > kReportLag; });
  state->recent_ends.push_back(now);
  if (state->removed && state->running.empty()) {
    states_.erase(id);
  }
  return ended;
}

UpstreamState* UpstreamTable::Find(const UpstreamId& id) {
  const auto it = states_.find(id);
  return it == states_.end() ? nullptr : it->second.get();
}

const UpstreamTable::List& UpstreamTable::Serving(const Target& target) const {
  static const List kNone;
  const auto it = by_target_.find(target);
  return it == by_target_.end() ? kNone : it->second;
}

bool UpstreamTable::HasAvailableUpstream(const Target& target) const {
  const List& list = Serving(target);
  return std::any_of(list.begin(), list.end(), [](const UpstreamState* state) {
    return state->AcceptsNewWork();
  });
}

bool UpstreamTable::HasLostPath(const Target& target) const {
  const List& list = Serving(target);
  return std::any_of(list.begin(), list.end(), [](const UpstreamState* state) {
    return state->InService() && state->path_lost;
  });
}

std::uint32_t UpstreamTable::EstimateOtherLoad(const UpstreamState& state,
                                               TimePoint now) {
  const LoadReport& load = state.announcement.load;
  const auto own = static_cast<std::uint32_t>(state.running.size());
  // Own attempts that started too late for the report: judged by age, or by the
  // number of accepted requests if the upstream reports it and that gives more.
  std::uint32_t unreported =
      Count(state.running, [now](const RunningAttempt& attempt) {
        return now - attempt.started < kReportLag;
      });
  if (load.accepted_total > 0 && state.sent_total > load.accepted_total) {
    const std::uint64_t missing = state.sent_total - load.accepted_total;
    unreported = std::max(
        unreported,
        static_cast<std::uint32_t>(std::min<std::uint64_t>(missing, own)));
  }
  const std::uint32_t ended = Count(
      state.recent_ends, [now](TimePoint at) { return now - at < kReportLag; });
  const std::uint32_t ours = own - std::min(own, unreported) + ended;
  const std::uint32_t reported = load.running + load.waiting;
  return reported - std::min(reported, ours);
}

void UpstreamTable::Index(UpstreamState* state) {
  for (const Target& target : TargetsOf(state->announcement)) {
    by_target_[target].push_back(state);
  }
}

void UpstreamTable::Unindex(const UpstreamState* state) {
  for (const Target& target : TargetsOf(state->announcement)) {
    const auto it = by_target_.find(target);
    if (it == by_target_.end()) {
      continue;
    }
    std::erase(it->second, state);
    if (it->second.empty()) {
      by_target_.erase(it);
    }
  }
}

}  // namespace rattanward::policy
