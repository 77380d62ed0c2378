#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fakes/rejecting_fleet.h"

namespace rattanward::policy {
namespace {

using fakes::RejectingFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Failures allowed in a time in which upstreams name rejection limits.
std::size_t Allowed(const RejectingFleet& fleet) {
  constexpr std::size_t kFixed = 2;
  constexpr std::size_t kOneIn = 10;
  return kFixed + fleet.shape().upstreams / kOneIn;
}

RejectingFleet::Shape AnyShape() {
  RejectingFleet::Shape shape;
  shape.entries = *rc::gen::element<std::size_t>(1, 3, 9, 30);
  shape.upstreams = *rc::gen::element<std::size_t>(3, 6, 12);
  shape.slots = *rc::gen::element<std::uint32_t>(6, 12, 64);
  shape.waiting = *rc::gen::element<std::uint32_t>(0, 2);
  shape.rejection_limit = *rc::gen::element<std::uint32_t>(1, 2, 5);
  return shape;
}

/// Entries cut off, restarted and added back, an upstream that fails, under up
/// to twice the load that the upstreams can take.
void Disturb(RejectingFleet& fleet) {
  const int changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes; ++i) {
    const auto entry = *rc::gen::inRange<std::size_t>(0, fleet.shape().entries);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        fleet.Restart(entry);
        break;
      case 1:
        fleet.SetCutOff(entry, true);
        break;
      case 2:
        fleet.SetCutOff(entry, false);
        break;
      case 3:
        fleet.Fail(*rc::gen::inRange<std::size_t>(0, fleet.shape().upstreams));
        break;
      default:
        fleet.SetLoad(fleet.capacity() * *rc::gen::inRange(2, 20) / 10);
    }
    fleet.Run(milliseconds(*rc::gen::inRange(200, 4000)));
  }
}

std::size_t FailuresOf(RejectingFleet::Shape shape, std::uint64_t seed) {
  RejectingFleet fleet(shape, seed);
  fleet.SetLoad(fleet.capacity() * 2);
  fleet.Run(seconds(12));
  return fleet.failures();
}

/// Requests served in 10 s under twice the load that the upstreams can take.
std::size_t ServedBy(RejectingFleet::Shape shape) {
  RejectingFleet fleet(shape, 1);
  fleet.SetLoad(fleet.capacity() * 2);
  fleet.Run(seconds(8));
  fleet.ResetCounts();
  fleet.Run(seconds(10));
  return fleet.served();
}

}  // namespace

TEST_CASE("upstreams that name rejection limits seldom fail") {
  CHECK(rc::check([] {
    RejectingFleet fleet(AnyShape(), *rc::gen::arbitrary<std::uint64_t>());
    fleet.SetLoad(fleet.capacity() * *rc::gen::inRange(2, 20) / 10);
    fleet.Run(seconds(6));
    Disturb(fleet);
    RC_ASSERT(fleet.failures() <= Allowed(fleet));
  }));
}

TEST_CASE("entries that don't heed the limits let upstreams fail") {
  for (const std::size_t entries : {9, 30}) {
    RejectingFleet::Shape shape;
    shape.entries = entries;
    shape.guarded = false;
    CHECK(FailuresOf(shape, 1) > 2 * shape.upstreams);
  }
}

TEST_CASE("upstreams with rejection limits are used") {
  for (const std::size_t entries : {1, 3, 9, 30}) {
    for (const std::uint32_t slots : {6U, 12U, 64U}) {
      CAPTURE(entries);
      CAPTURE(slots);
      RejectingFleet::Shape shape;
      shape.entries = entries;
      shape.slots = slots;
      RejectingFleet::Shape exact = shape;
      exact.exact = true;
      CHECK(static_cast<double>(ServedBy(shape)) >=
            0.8 * static_cast<double>(ServedBy(exact)));
    }
  }
}

}  // namespace rattanward::policy
