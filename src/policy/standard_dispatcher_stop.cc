#include <algorithm>
#include <set>
#include <utility>

#include "rattanward/policy/standard_dispatcher.h"
#include "rattanward/policy/stop_error.h"

namespace rattanward::policy {
namespace {

/// Quantile of the run time that must fit into the time left.
constexpr std::uint32_t kRunTimePermille = 900;

}  // namespace

std::vector<Decision> StandardDispatcher::BeginStop(const StopPlan& plan,
                                                    TimePoint now) {
  stop_plan_ = plan;
  Decisions out;
  RefuseUnfinishable(&out, now);
  return out;
}

std::optional<Error> StandardDispatcher::CheckStop(const OpenRequest& open,
                                                   Duration wait,
                                                   TimePoint now) const {
  if (!stop_plan_) {
    return std::nullopt;
  }
  const Duration run =
      latency_.ServiceTime(open.declared, open.target, kRunTimePermille, now);
  if (stop_plan_->MayBegin(now, wait + run, TimePoint::max())) {
    return std::nullopt;
  }
  return StopError(open.verdict);
}

/// Refuses the requests that would be dispatched last until the rest fits. If a
/// request fits, so do the older ones of its class.
void StandardDispatcher::RefuseUnfinishable(Decisions* out, TimePoint now) {
  if (!stop_plan_) {
    return;
  }
  std::vector<QueuedRequest> waiting = queue_.Waiting();
  const auto tier_of = [this](const QueuedRequest& queued) {
    return open_requests_.at(queued.id).declared.tier.value;
  };
  std::sort(waiting.begin(), waiting.end(),
            [&](const QueuedRequest& a, const QueuedRequest& b) {
              return std::pair(tier_of(a), a.arrived) >
                     std::pair(tier_of(b), b.arrived);
            });
  std::set<std::pair<Target, RequestClassName>> fitting;
  for (const QueuedRequest& queued : waiting) {
    const auto key = std::pair(queued.target, queued.request_class);
    if (fitting.contains(key)) {
      continue;
    }
    const OpenRequest& open = open_requests_.at(queued.id);
    const Duration wait = ExpectedSlotWait(queued.target, open.declared, now);
    if (const auto error = CheckStop(open, wait, now)) {
      queue_.Remove(queued.id);
      RefuseOpen(queued.id, *error, out);
    } else {
      fitting.insert(key);
    }
  }
}

}  // namespace rattanward::policy
