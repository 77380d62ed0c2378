#include "rattanward/policy/stop_plan.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr int kMinGracePerAnswerMargin = 8;

}  // namespace

StopPlan::StopPlan(TimePoint began, const StopTimes& times) {
  const Duration answer_margin =
      std::min(times.answer_margin, times.grace / kMinGracePerAnswerMargin);
  const Duration exit_margin = std::min(times.exit_margin, answer_margin / 2);
  ends_at_ = began + times.grace - exit_margin;
  answers_at_ = began + times.grace - answer_margin;
  takes_until_ = std::min(began + times.notice, answers_at_);
}

bool StopPlan::MayBegin(TimePoint now, std::optional<Duration> expected,
                        TimePoint deadline) const {
  const Duration left = std::max(deadline - now, Duration(0));
  return now < answers_at_ &&
         now + std::min(expected.value_or(left / 2), left) <= answers_at_;
}

}  // namespace rattanward::policy
