#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

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

/// Streams of one entry in a burst: the lengths differ widely, the callers'
/// estimates are off by a factor, and each token takes longer than the one
/// before until the end of the burst.
class CrowdedStops {
 public:
  explicit CrowdedStops(unsigned seed) : random_(seed) {}

  /// Plays a burst with a planned stop in its middle.
  void Play() {
    constexpr Duration kGap{milliseconds(40)};
    constexpr Duration kBurst{seconds(20)};
    RunTimeEstimator estimator;
    std::multimap<TimePoint, Stream> running;
    const StopPlan plan = MakePlan(seconds(8));
    for (TimePoint now = kBegan - kBurst; now < plan.answers_at();
         now += kGap) {
      while (!running.empty() && running.begin()->first <= now) {
        const auto ended = running.extract(running.begin());
        estimator.Record("r", kService, ended.mapped().length,
                         ended.mapped().ran, ended.key());
      }
      const double crowded = (now - kBegan + 2 * kBurst) / (1.0 * kBurst);
      const Stream stream = Next(crowded);
      if (now >= kBegan) {
        Judge(plan, estimator, stream, now);
      }
      running.emplace(now + stream.ran, stream);
    }
  }

  int begun() const { return begun_; }
  int cut() const { return cut_; }
  int refused_in_vain() const { return refused_in_vain_; }

 private:
  struct Stream {
    AnswerLength length;
    Duration ran;
  };

  Stream Next(double crowded) {
    constexpr double kMedianTokens = 60;
    constexpr double kMostTokens = 480;
    std::lognormal_distribution<> spread(0, 1.2);
    std::lognormal_distribution<> error(0, 0.5);
    const double tokens =
        std::min(kMostTokens, kMedianTokens * spread(random_));
    const double expected = std::max(1.0, tokens * error(random_));
    const Duration per_token{milliseconds(9)};
    const Duration until_begun{milliseconds(250)};
    return {{static_cast<std::uint32_t>(kMostTokens),
             static_cast<std::uint32_t>(expected)},
            std::chrono::duration_cast<Duration>(
                (until_begun + tokens * per_token) * crowded)};
  }

  void Judge(const StopPlan& plan, const RunTimeEstimator& estimator,
             const Stream& stream, TimePoint now) {
    const auto expected = estimator.Expected("r", kService, stream.length, now);
    const bool in_time = now + stream.ran <= plan.answers_at();
    if (plan.MayBegin(now, expected, now + seconds(12))) {
      ++begun_;
      cut_ += in_time ? 0 : 1;
    } else {
      refused_in_vain_ += in_time ? 1 : 0;
    }
  }

  std::mt19937 random_;
  int begun_ = 0;
  int cut_ = 0;
  int refused_in_vain_ = 0;
};

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
  CHECK_FALSE(estimator.Expected("r", kService, {100}, kBegan));
  for (int i = 1; i <= 10; ++i) {
    estimator.Record("r", kService, {100}, milliseconds(100 * i), kBegan);
  }
  estimator.Record("r", kService, {2000}, seconds(9), kBegan);
  estimator.Record("other", kService, {100}, seconds(30), kBegan);
  CHECK(estimator.Expected("r", kService, {100}, kBegan) == milliseconds(900));
  CHECK(estimator.Expected("r", kService, {120}, kBegan) == milliseconds(900));
  // Too few of these sizes are known.
  CHECK(estimator.Expected("r", kService, {2000}, kBegan) == seconds(9));
  CHECK(estimator.Expected("r", kService, {}, kBegan) == seconds(9));
  CHECK_FALSE(estimator.Expected("r", ServiceName("t"), {100}, kBegan));
  CHECK_FALSE(estimator.Expected("r", kService, {100}, kBegan + hours(1)));
}

TEST_CASE("run times follow the callers' estimates of the length") {
  RunTimeEstimator estimator;
  for (std::uint32_t i = 1; i <= 10; ++i) {
    const std::uint32_t tokens = 100 * i - 30;
    estimator.Record("r", kService, {2000, tokens}, seconds(i), kBegan);
  }
  estimator.Record("r", kService, {2000}, seconds(90), kBegan);
  CHECK(estimator.Expected("r", kService, {2000, 170}, kBegan) == seconds(2));
  CHECK(estimator.Expected("r", kService, {2000, 1970}, kBegan) == seconds(20));
  // An estimate beyond the maximum is taken for the maximum.
  CHECK(estimator.Expected("r", kService, {170, 4000000000}, kBegan) ==
        seconds(2));
  CHECK(estimator.Expected("r", kService, {2000}, kBegan) == seconds(10));
  CHECK_FALSE(estimator.Expected("t", kService, {2000, 170}, kBegan));
}

// Guards against streams that are begun after the signal and cut by the stop:
// their callers lose them whole, while another entry serves a refused one.
TEST_CASE("a stop in a burst cuts at most one in fifty of what it begins") {
  CrowdedStops stops(/*seed=*/20261205);
  for (int i = 0; i < 40; ++i) {
    stops.Play();
  }
  CAPTURE(stops.begun());
  CAPTURE(stops.cut());
  CAPTURE(stops.refused_in_vain());
  CHECK(stops.cut() * 50 <= stops.begun());
  CHECK(stops.refused_in_vain() * 3 <= stops.begun());
}

TEST_CASE("the kinds of requests whose run times are kept are limited") {
  RunTimeEstimator estimator;
  const int kinds = static_cast<int>(RunTimeEstimator::kMaxKinds);
  for (int i = 0; i <= kinds; ++i) {
    estimator.Record(std::to_string(i), kService, {}, seconds(1), kBegan);
  }
  const std::string last = std::to_string(kinds);
  CHECK_FALSE(estimator.Expected(last, kService, {}, kBegan));
  const TimePoint later = kBegan + hours(1);
  estimator.Record(last, kService, {}, seconds(2), later);
  CHECK(estimator.Expected(last, kService, {}, later) == seconds(2));
}

}  // namespace rattanward::policy
