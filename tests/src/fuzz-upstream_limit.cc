#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "fakes/limit_fleet.h"

namespace rattanward::policy {
namespace {

using fakes::LimitFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which every entry in touch must know a limit.
constexpr Duration kKnownAfter = seconds(2);
constexpr Duration kWindow = seconds(4);

/// Requests that an upstream with a limit bears in a window.
std::size_t Borne(RequestRate limit) {
  constexpr double kExcess = 1.5;
  constexpr double kSpare = 5;
  const std::chrono::duration<double> window = kWindow;
  return static_cast<std::size_t>(
      kExcess * limit.per_second() * window.count() + kSpare);
}

/// Most requests in any window between two times.
std::size_t Most(const LimitFleet& fleet, TimePoint from, TimePoint to,
                 const std::vector<bool>& excused) {
  std::size_t most = 0;
  for (TimePoint at = from; at + kWindow <= to; at += milliseconds(100)) {
    most = std::max(most, fleet.Count(at, at + kWindow, excused));
  }
  return most;
}

/// Something that happens to the fleet. Returns the entries that it excuses.
std::vector<bool> Disturb(LimitFleet* fleet, std::vector<bool> excused) {
  const auto entry = *rc::gen::inRange<std::size_t>(0, fleet->size());
  excused.resize(fleet->size());
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      fleet->Restart(entry);
      excused[entry] = true;
      break;
    case 1:
      fleet->SetCutOff(entry, true);
      excused[entry] = true;
      break;
    case 2:
      fleet->SetCutOff(entry, false);
      excused[entry] = true;
      break;
    case 3:
      fleet->AddEntry();
      break;
    case 4:
      fleet->SetControlDown(true);
      break;
    case 5:
      fleet->SetControlDown(false);
      break;
    default:
      fleet->RestartLeader();
  }
  return excused;
}

}  // namespace

TEST_CASE(
    "entries together keep to a limit through restarts, cuts and a lost "
    "leader") {
  CHECK(rc::check([] {
    LimitFleet fleet(*rc::gen::inRange<std::size_t>(1, 40),
                     *rc::gen::arbitrary<std::uint64_t>());
    const RequestRate limit{*rc::gen::inRange<std::uint64_t>(0, 12000)};
    fleet.Run(seconds(1));
    fleet.SetLimit(limit);
    fleet.Run(kKnownAfter);
    const TimePoint from = fleet.now();
    std::vector<bool> excused(fleet.size());
    const int disturbances = *rc::gen::inRange(0, 8);
    for (int i = 0; i < disturbances; ++i) {
      excused = Disturb(&fleet, excused);
      fleet.Run(milliseconds(*rc::gen::inRange(20, 3000)));
    }
    fleet.Run(seconds(6));
    RC_ASSERT(Most(fleet, from, fleet.now(), excused) <= Borne(limit));
  }));
}

TEST_CASE("a restarted or cut off entry adds little beyond a limit") {
  CHECK(rc::check([] {
    LimitFleet fleet(9, *rc::gen::arbitrary<std::uint64_t>());
    const RequestRate limit{*rc::gen::inRange<std::uint64_t>(500, 8000)};
    fleet.SetLimit(limit);
    fleet.Run(kKnownAfter);
    const TimePoint from = fleet.now();
    const auto entry = *rc::gen::inRange<std::size_t>(0, 9);
    fleet.SetCutOff(entry, true);
    fleet.Run(seconds(5));
    fleet.SetCutOff(entry, false);
    fleet.Run(milliseconds(*rc::gen::inRange(0, 1000)));
    fleet.Restart(entry);
    fleet.Run(seconds(6));
    RC_ASSERT(Most(fleet, from, fleet.now(), {}) <= Borne(limit));
  }));
}

TEST_CASE("entries together use a limit") {
  CHECK(rc::check([] {
    LimitFleet fleet(*rc::gen::inRange<std::size_t>(1, 40),
                     *rc::gen::arbitrary<std::uint64_t>());
    const RequestRate limit{*rc::gen::inRange<std::uint64_t>(500, 12000)};
    fleet.SetLimit(limit);
    fleet.Run(seconds(10));
    const TimePoint from = fleet.now();
    // Several times the longest pause of an entry between two requests.
    constexpr double kSeconds = 60;
    fleet.Run(seconds(60));
    const auto used = static_cast<double>(fleet.Count(from, fleet.now()));
    RC_ASSERT(used >= 0.8 * limit.per_second() * kSeconds);
  }));
}

TEST_CASE("requests come back when a limit is withdrawn") {
  LimitFleet fleet(9, 1);
  fleet.SetLimit(RequestRate{1000});
  fleet.Run(seconds(10));
  fleet.SetLimit(std::nullopt);
  fleet.Run(seconds(3));
  const TimePoint from = fleet.now();
  fleet.Run(seconds(1));
  CHECK(fleet.Count(from, fleet.now()) > 100);
}

TEST_CASE("a limit that is lowered holds at once") {
  LimitFleet fleet(9, 1);
  fleet.SetLimit(RequestRate{20000});
  fleet.Run(seconds(10));
  fleet.SetLimit(RequestRate{1000});
  fleet.Run(kKnownAfter);
  const TimePoint from = fleet.now();
  fleet.Run(seconds(20));
  CHECK(Most(fleet, from, fleet.now(), {}) <= Borne(RequestRate{1000}));
}

}  // namespace rattanward::policy
