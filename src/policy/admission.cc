#include "rattanward/policy/admission.h"

#include <algorithm>
#include <string>

namespace rattanward::policy {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(1);

}  // namespace

Duration ExpectedWait(const std::vector<WorkAhead>& ahead,
                      std::uint32_t slots) {
  Duration work{0};
  for (const WorkAhead& part : ahead) {
    work += part.service_time * static_cast<std::int64_t>(part.requests);
  }
  return work / std::max<std::int64_t>(slots, 1);
}

Duration ExpectedFloorWait(const WorkAhead& own, std::uint32_t floor_permille,
                           std::uint32_t slots) {
  constexpr std::int64_t kWholePermille = 1000;
  return ExpectedWait({own}, slots) * kWholePermille / floor_permille;
}

Duration RetryAfterBacklog(Duration backlog) {
  return std::clamp(backlog, kMinRetryAfter, kMaxRetryAfter);
}

std::optional<Error> CheckDeadline(const DeadlineEstimate& estimate) {
  const Duration remaining = estimate.deadline - estimate.now;
  if (remaining <= Duration(0)) {
    return Error{
        ErrorCode::kDeadlinePassed, Verdict::kNotRun,
        "the deadline passed " + MillisecondText(-remaining) + " ms ago",
        RetryAfterBacklog(estimate.slot_wait)};
  }
  const Duration needed = estimate.slot_wait + estimate.first_token_wait;
  if (needed <= remaining) {
    return std::nullopt;
  }
  return Error{ErrorCode::kDeadlineUnattainable, Verdict::kNotRun,
               "the answer is expected to begin in " + MillisecondText(needed) +
                   " ms, but the deadline is in " + MillisecondText(remaining) +
                   " ms",
               RetryAfterBacklog(needed - remaining)};
}

}  // namespace rattanward::policy
