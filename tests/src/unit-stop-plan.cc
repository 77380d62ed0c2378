#include <doctest/doctest.h>

#include "rattanward/policy/run_time_estimator.h"
#include "rattanward/policy/stop_plan.h"

namespace rattanward::policy {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kBegan{hours(1)};
const ServiceName kService("s");

StopPlan MakePlan(Duration grace) {
  return {kBegan, {seconds(3), grace, milliseconds(800), milliseconds(250)}};
}

}  // namespace

TEST_CASE("a planned stop leaves a margin for final answers and the exit") {
  const StopPlan plan = MakePlan(seconds(8));
  CHECK(plan.takes_until() == kBegan + seconds(3));
  CHECK(plan.answers_at() == kBegan + milliseconds(7200));
  CHECK(plan.ends_at() == kBegan + milliseconds(7750));
  CHECK(plan.Takes(kBegan + milliseconds(2999)));
  CHECK_FALSE(plan.Takes(kBegan + seconds(3)));
}

TEST_CASE("a short grace time shortens the margins of a planned stop") {
  const StopPlan plan = MakePlan(seconds(2));
  CHECK(plan.answers_at() == kBegan + milliseconds(1750));
  CHECK(plan.takes_until() == plan.answers_at());
  CHECK(plan.ends_at() == kBegan + milliseconds(1875));
  const StopPlan none = MakePlan(seconds(0));
  CHECK(none.ends_at() == kBegan);
  CHECK_FALSE(none.MayBegin(kBegan, Duration(0), kBegan));
}

TEST_CASE("only what ends in time begins during a planned stop") {
  const StopPlan plan = MakePlan(seconds(8));
  const TimePoint late = kBegan + seconds(30);
  CHECK(plan.MayBegin(kBegan, milliseconds(7200), late));
  CHECK_FALSE(plan.MayBegin(kBegan, milliseconds(7201), late));
  CHECK_FALSE(plan.MayBegin(plan.answers_at(), Duration(0), late));
  // Its deadline ends it before.
  CHECK(plan.MayBegin(kBegan, seconds(60), kBegan + seconds(7)));
  CHECK(plan.MayBegin(kBegan, std::nullopt, kBegan + seconds(14)));
  CHECK_FALSE(plan.MayBegin(kBegan, std::nullopt, kBegan + seconds(15)));
}

TEST_CASE("run times are estimated by route, service and declared maximum") {
  RunTimeEstimator estimator;
  CHECK_FALSE(estimator.Expected("r", kService, 100, kBegan));
  for (int i = 1; i <= 10; ++i) {
    estimator.Record("r", kService, 100, milliseconds(100 * i), kBegan);
  }
  estimator.Record("r", kService, 2000, seconds(9), kBegan);
  estimator.Record("other", kService, 100, seconds(30), kBegan);
  CHECK(estimator.Expected("r", kService, 100, kBegan) == milliseconds(900));
  CHECK(estimator.Expected("r", kService, 120, kBegan) == milliseconds(900));
  // Too few of these sizes are known.
  CHECK(estimator.Expected("r", kService, 2000, kBegan) == seconds(9));
  CHECK(estimator.Expected("r", kService, 0, kBegan) == seconds(9));
  CHECK_FALSE(estimator.Expected("r", ServiceName("t"), 100, kBegan));
  CHECK_FALSE(estimator.Expected("r", kService, 100, kBegan + hours(1)));
}

TEST_CASE("the kinds of requests whose run times are kept are limited") {
  RunTimeEstimator estimator;
  const int kinds = static_cast<int>(RunTimeEstimator::kMaxKinds);
  for (int i = 0; i <= kinds; ++i) {
    estimator.Record(std::to_string(i), kService, 0, seconds(1), kBegan);
  }
  const std::string last = std::to_string(kinds);
  CHECK_FALSE(estimator.Expected(last, kService, 0, kBegan));
  const TimePoint later = kBegan + hours(1);
  estimator.Record(last, kService, 0, seconds(2), later);
  CHECK(estimator.Expected(last, kService, 0, later) == seconds(2));
}

}  // namespace rattanward::policy
