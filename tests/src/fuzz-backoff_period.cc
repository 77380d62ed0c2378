#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "rattanward/policy/backoff_period.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(10)};

}  // namespace

TEST_CASE("an upstream gets nothing until the last period it asked for ends") {
  CHECK(rc::check([] {
    BackoffPeriod backoff;
    TimePoint last_end = TimePoint::min();
    TimePoint now = kStart;
    const int requests = *rc::gen::inRange(1, 8);
    for (int i = 0; i < requests; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 500));
      const auto asked = milliseconds(*rc::gen::inRange(0, 5000));
      RC_ASSERT(backoff.Ask(asked, now) == asked);
      last_end = std::max(last_end, now + asked);
      RC_ASSERT(backoff.end() == last_end);
    }
    const auto at = kStart + milliseconds(*rc::gen::inRange(0, 12000));
    RC_ASSERT(backoff.Active(at) == (at < last_end));
    RC_ASSERT(!backoff.Active(at) || !backoff.Allows(0, 8, 1, at));
  }));
}

TEST_CASE("entries return to an upstream one after the other") {
  CHECK(rc::check([] {
    const auto entries = static_cast<std::uint32_t>(*rc::gen::inRange(2, 300));
    constexpr double kSlots = 32;
    std::vector<BackoffPeriod> periods(entries);
    std::vector<std::uint32_t> running(entries, 0);
    for (BackoffPeriod& backoff : periods) {
      backoff.Ask(Duration(0), kStart);
    }
    // Every entry sends as many requests as it may.
    for (TimePoint now = kStart; now < kStart + BackoffPeriod::kReturnTime;
         now += milliseconds(50)) {
      std::uint32_t total = 0;
      for (std::uint32_t i = 0; i < entries; ++i) {
        const double spread = (i + 0.5) / entries;
        while (periods[i].Allows(running[i], kSlots / entries, spread, now)) {
          ++running[i];
        }
        total += running[i];
      }
      const std::chrono::duration<double> returned = now - kStart;
      const std::chrono::duration<double> return_time =
          BackoffPeriod::kReturnTime;
      const double part = returned / return_time;
      // No more than the part of the time that has passed, and one for each
      // entry whose turn it is.
      RC_ASSERT(total <= part * (kSlots + entries) + 1);
    }
    const auto returned = std::count_if(running.begin(), running.end(),
                                        [](auto count) { return count > 0; });
    RC_ASSERT(returned * 10 >= entries * 9);
  }));
}

TEST_CASE("no upstream can ask for more than a minute at once") {
  BackoffPeriod backoff;
  CHECK(backoff.Ask(std::chrono::hours(24), kStart) == BackoffPeriod::kLongest);
  CHECK_FALSE(backoff.Active(kStart + BackoffPeriod::kLongest));
}

TEST_CASE(
    "a request waits for a back-off period that leaves it half its time") {
  const TimePoint deadline = kStart + milliseconds(4000);
  CHECK(WaitsForBackoffEnd(kStart + milliseconds(2000), deadline, kStart));
  CHECK_FALSE(
      WaitsForBackoffEnd(kStart + milliseconds(2001), deadline, kStart));
}

}  // namespace rattanward::policy
