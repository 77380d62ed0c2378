#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <vector>

#include "rattanward/policy/retry_advice.h"
#include "rattanward/policy/retry_allowance.h"

namespace rattanward::policy {
namespace {

constexpr Duration kStep{std::chrono::milliseconds(100)};
constexpr int kSteps = 400;
constexpr int kMaxEntries = 12;

}  // namespace

TEST_CASE(
    "restarting entries together keep to the retry limits in any window") {
  CHECK(rc::check([] {
    RetryLimits limits;
    limits.ratio = 0.2;
    limits.fixed_retries = 60;
    limits.window = std::chrono::seconds(10);
    std::map<int, RetryAllowance> entries;
    const int first = *rc::gen::inRange(3, kMaxEntries);
    for (int i = 0; i < first; ++i) {
      entries.emplace(i, RetryAllowance(limits));
    }
    int next = first;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    for (int step = 0; step < kSteps; ++step) {
      const TimePoint now = TimePoint() + step * kStep;
      // A restarted process doesn't know the retries that it used. At most one
      // restart in 5 s, as in a rolling restart of VMs.
      if (step % 50 == 0 && *rc::gen::arbitrary<bool>()) {
        entries.erase(entries.begin());
        entries.emplace(next++, RetryAllowance(limits));
      }
      for (auto& [id, allowance] : entries) {
        if (*rc::gen::inRange(0, 3) == 0) {
          allowance.RecordRequest(now);
          requests.push_back(now);
        }
        while (allowance.TryTake(entries.size(), now)) {
          retries.push_back(now);
        }
      }
      while (!requests.empty() && requests.front() < now - limits.window) {
        requests.pop_front();
      }
      while (!retries.empty() && retries.front() < now - limits.window) {
        retries.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                limits.ratio * static_cast<double>(requests.size()) +
                    limits.fixed_retries);
    }
  }));
}

TEST_CASE("a single retry is allowed before any request") {
  RetryAllowance allowance(RetryLimits{});
  CHECK(allowance.TryTake(1, TimePoint()));
}

TEST_CASE("retry-after leaves the caller time to retry, and has a minimum") {
  using std::chrono::milliseconds;
  CHECK(RetryAdvice(milliseconds(250), milliseconds(10000)) ==
        milliseconds(250));
  CHECK(RetryAdvice(milliseconds(1500), milliseconds(1000)) ==
        milliseconds(320));
  CHECK(RetryAdvice(milliseconds(250), milliseconds(-5)) == milliseconds(20));
}

}  // namespace rattanward::policy
