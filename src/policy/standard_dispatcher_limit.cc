#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/domain/result.h"
#include "rattanward/policy/standard_dispatcher.h"

namespace rattanward::policy {
namespace {

/// Period in which the other entries are told all limits, since news may be
/// lost.
constexpr Duration kTellAllLimitsPeriod = std::chrono::seconds(1);
/// For a caller whom another entry may serve at once.
constexpr Duration kUnknownRetryAfter = std::chrono::milliseconds(250);

/// Number of entries that share a limit, or 0 if this entry is none of them.
/// All entries compute it alike from the declared group.
std::uint32_t HoldersWith(const EntryGroup& group, const UpstreamId& upstream,
                          RequestRate limit) {
  const std::vector<ProcessId> holders =
      ChooseLimitHolders(upstream, limit, group.entries);
  const bool holds =
      std::find(holders.begin(), holders.end(), group.self) != holders.end();
  return holds ? static_cast<std::uint32_t>(holders.size()) : 0;
}

}  // namespace

void StandardDispatcher::SetEntryGroup(const EntryGroup& group, TimePoint now) {
  group_ = group;
  accounts_.SetGroup(group, now);
  for (const auto& [upstream, limit] : limits_) {
    ApplyLimit(upstream, now);
  }
}

void StandardDispatcher::ReadLimit(const UpstreamId& upstream,
                                   const std::optional<RequestRate>& named,
                                   TimePoint now) {
  const auto known = limits_.find(upstream);
  const NamedLimit before =
      known == limits_.end() ? NamedLimit() : known->second;
  MergeLimit({upstream, 0, AfterAnswer(before, {named, std::nullopt})}, now);
}

void StandardDispatcher::MergeLimit(const UpstreamLimit& limit, TimePoint now) {
  NamedLimit& known = limits_[limit.id];
  if (!Replaces(limit.limit, known)) {
    return;
  }
  known = limit.limit;
  changed_limits_.push_back(limit.id);
  events_.push_back(
      {EventId::kUpstreamLimit,
       {{"upstream", limit.id.str()},
        {"limited", known.limited ? "1" : "0"},
        {"milli_per_second", std::to_string(known.rate.milli_per_second)},
        {"revision", std::to_string(known.revision)}}});
  ApplyLimit(limit.id, now);
}

/// Paces what this entry sends to an upstream by its share in the limit.
void StandardDispatcher::ApplyLimit(const UpstreamId& upstream, TimePoint now) {
  UpstreamState* state = upstreams_.Find(upstream);
  const auto known = limits_.find(upstream);
  if (state == nullptr || known == limits_.end()) {
    return;
  }
  const std::optional<RequestRate> limit = known->second.limit();
  if (!state->limit) {
    state->share = PacedShare();
  }
  state->limit = limit;
  if (limit) {
    state->share.SetRate(
        ShareRate(*limit, HoldersWith(group_, upstream, *limit), true), now);
  }
}

std::vector<UpstreamLimit> StandardDispatcher::TakeLimits(TimePoint now) {
  std::vector<UpstreamLimit> told;
  if (now - all_limits_told_at_ >= kTellAllLimitsPeriod) {
    all_limits_told_at_ = now;
    changed_limits_.clear();
    for (const auto& [upstream, limit] : limits_) {
      told.push_back({upstream, 0, limit});
    }
    return told;
  }
  for (const UpstreamId& upstream : std::exchange(changed_limits_, {})) {
    told.push_back({upstream, 0, limits_[upstream]});
  }
  return told;
}

void StandardDispatcher::RecordExtraRequest(const UpstreamId& upstream,
                                            TimePoint now) {
  UpstreamState* state = upstreams_.Find(upstream);
  if (state != nullptr && state->limit) {
    state->share.Take(now);
  }
}

std::optional<Error> StandardDispatcher::CheckHeldBack(const OpenRequest& open,
                                                       TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const UpstreamState* upstream : upstreams_.Serving(open.target)) {
    if (!upstream->AcceptsNewWork()) {
      continue;
    }
    const TimePoint until = upstream->HeldBackUntil(now);
    if (until <= now) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(until), until);
  }
  if (!earliest || WaitsForBackoffEnd(*earliest, DeadlineOf(open), now)) {
    return std::nullopt;
  }
  Error error = MakeError(ErrorCode::kNoUpstream,
                          "every upstream has asked for no requests");
  error.retry_after =
      *earliest == TimePoint::max() ? kUnknownRetryAfter : *earliest - now;
  return error;
}

}  // namespace rattanward::policy
