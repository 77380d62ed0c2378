#include "rattanward/policy/admission.h"

#include <algorithm>
#include <string>

namespace rattanward::policy {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(1);

std::string Milliseconds(Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

}  // namespace

Duration ExpectedWait(const std::vector<WorkAhead>& ahead,
                      std::uint32_t places) {
  Duration work{0};
  for (const WorkAhead& part : ahead) {
    work += part.service_time * static_cast<std::int64_t>(part.requests);
  }
  return work / std::max<std::int64_t>(places, 1);
}

Duration ExpectedFloorWait(const WorkAhead& own, std::uint32_t floor_permille,
                           std::uint32_t places) {
  constexpr std::int64_t kWholePermille = 1000;
  return ExpectedWait({own}, places) * kWholePermille / floor_permille;
}

Duration RetryAfterBacklog(Duration backlog) {
  return std::clamp(backlog, kMinRetryAfter, kMaxRetryAfter);
}

std::optional<Error> CheckDeadline(const DeadlineView& view) {
  const Duration left = view.deadline - view.now;
  if (left <= Duration(0)) {
    return Error{ErrorCode::kDeadlinePassed, Verdict::kNotRun,
                 "the deadline passed " + Milliseconds(-left) + " ago",
                 RetryAfterBacklog(view.place_wait)};
  }
  const Duration needed = view.place_wait + view.first_token_wait;
  if (needed <= left) {
    return std::nullopt;
  }
  return Error{ErrorCode::kDeadlineUnattainable, Verdict::kNotRun,
               "the answer would begin in " + Milliseconds(needed) +
                   ", the deadline is in " + Milliseconds(left),
               RetryAfterBacklog(needed - left)};
}

}  // namespace rattanward::policy
