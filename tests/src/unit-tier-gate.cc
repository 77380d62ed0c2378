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

TEST_CASE("a much shorter prompt passes a longer one that waits") {
  const TimePoint start;
  const TimePoint now = start + milliseconds(200);
  PlacementRequest digest = Request("s", 1, start);
  digest.prompt_tokens = 17000;
  TierGate gate;
  gate.RecordWaiting(digest, now);
  PlacementRequest question = Request("s", 2, start);
  question.prompt_tokens = 1400;
  CHECK(gate.MayBegin(question, now));
  question.prompt_tokens = 17000;
  CHECK_FALSE(gate.MayBegin(question, now));
  // A waiting request of any more urgent rank counts.
  PlacementRequest match = Request("s", 2, start);
  match.prompt_tokens = 1500;
  gate.RecordWaiting(match, now);
  PlacementRequest last = Request("s", 3, start);
  last.prompt_tokens = 1400;
  CHECK_FALSE(gate.MayBegin(last, now));
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
