#include <doctest/doctest.h>

#include "rattanward/policy/tier_gate.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;

PlacementRequest Request(const char* service, std::uint32_t rank,
                         TimePoint arrived) {
  PlacementRequest request;
  request.service = ServiceName(service);
  request.rank = rank;
  request.arrived = arrived;
  request.target = milliseconds(1000);
  return request;
}

}  // namespace

TEST_CASE("a request that has waited too long blocks less urgent ones") {
  const TimePoint start;
  const TimePoint now = start + milliseconds(200);
  TierGate gate;
  gate.RecordWaiting(Request("s", 1, start), now);
  CHECK_FALSE(gate.MayBegin(Request("s", 2, start), now));
  CHECK(gate.MayBegin(Request("s", 1, start), now));
  CHECK(gate.MayBegin(Request("s", 0, start), now));
  CHECK(gate.MayBegin(Request("t", 2, start), now));
}

TEST_CASE("a short wait blocks no other request") {
  const TimePoint start;
  const TimePoint now = start + milliseconds(50);
  TierGate gate;
  gate.RecordWaiting(Request("s", 1, start), now);
  CHECK(gate.MayBegin(Request("s", 2, start), now));
}

TEST_CASE("a less urgent request past twice its target is not blocked") {
  const TimePoint start;
  const TimePoint now = start + milliseconds(2100);
  TierGate gate;
  gate.RecordWaiting(Request("s", 1, start), now);
  CHECK(gate.MayBegin(Request("s", 2, start), now));
}

TEST_CASE("the most urgent waiting rank blocks the others") {
  const TimePoint start;
  const TimePoint now = start + milliseconds(500);
  TierGate gate;
  gate.RecordWaiting(Request("s", 2, start), now);
  gate.RecordWaiting(Request("s", 0, start), now);
  CHECK_FALSE(gate.MayBegin(Request("s", 1, start), now));
}

}  // namespace rattanward::policy
