#include <doctest/doctest.h>

#include "fakes/policy_values.h"
#include "rattanward/policy/account_limits.h"
#include "rattanward/policy/admission.h"
#include "rattanward/policy/chooser.h"
#include "rattanward/policy/latency_estimator.h"
#include "rattanward/policy/quarantine.h"
#include "rattanward/policy/retry_budget.h"
#include "rattanward/policy/trunk_reservation.h"

namespace rattanward::policy {
namespace {

using fakes::MakeEngine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Target kModel{UpstreamKind::kModelEngine, "m"};
const TimePoint kNow{std::chrono::hours(1)};

ChoiceQuery QueryAt(std::uint8_t tier) {
  ChoiceQuery query;
  query.tier = Tier{tier};
  query.now = kNow;
  return query;
}

}  // namespace

TEST_CASE(
    "estimator: quantiles of recent answers, declared values without any") {
  LatencyEstimator latency;
  RequestClass gate = fakes::MakeClass("gate", 0, 1);
  gate.expected_output_tokens = 50;
  CHECK(latency.ServiceTime(gate, kModel, 500, kNow) == Duration(seconds(2)));
  for (std::uint32_t tokens = 1; tokens <= 9; ++tokens) {
    latency.RecordFirstToken(gate.name, kModel, milliseconds(100), kNow);
    latency.RecordCompletion(gate.name, kModel, tokens * 10,
                             milliseconds(tokens * 200), kNow);
  }
  CHECK(latency.OutputTokens(gate, kModel, 500, kNow) == 50);
  CHECK(latency.ServiceTime(gate, kModel, 500, kNow) ==
        Duration(milliseconds(1100)));
  CHECK(latency.OutputTokens(gate, kModel, 500, kNow + minutes(6)) == 50);
  CHECK(latency.FirstTokenWait(gate.name, kModel, 500, kNow + minutes(6)) ==
        Duration(0));
}

TEST_CASE("admission: the wait is the work ahead divided by the slots") {
  CHECK(ExpectedWait({{4, seconds(2)}, {2, seconds(1)}}, 5) ==
        Duration(seconds(2)));
  CHECK(ExpectedWait({{1, seconds(2)}}, 0) == Duration(seconds(2)));
  CHECK(ExpectedFloorWait({1, seconds(2)}, 100, 10) == Duration(seconds(2)));
  CHECK(ExpectedFloorWait({3, seconds(2)}, 50, 10) == Duration(seconds(12)));
  CHECK(RetryAfterBacklog(milliseconds(5)) == Duration(seconds(1)));
  CHECK(RetryAfterBacklog(minutes(5)) == Duration(minutes(1)));
}

TEST_CASE("retry budget: a share of successes, separate for each tier") {
  RetryBudget budget;
  budget.SetShare(100);
  for (std::uint32_t i = 0; i < RetryBudget::kInitialRetries; ++i) {
    CHECK(budget.TryTake(Tier{3}));
  }
  CHECK_FALSE(budget.TryTake(Tier{3}));
  CHECK(budget.TryTake(Tier{0}));
  for (int i = 0; i < 10; ++i) {
    budget.RecordSuccess(Tier{3});
  }
  CHECK(budget.TryTake(Tier{3}));
  CHECK_FALSE(budget.TryTake(Tier{3}));
}

TEST_CASE(
    "trunk reservation: lower tiers may use fewer slots, but at least one") {
  CHECK(TrunkLimit(0, Tier{0}) == 0);
  CHECK(TrunkLimit(1, Tier{3}) == 1);
  CHECK(TrunkLimit(10, Tier{0}) == 10);
  CHECK(TrunkLimit(10, Tier{3}) == 7);
}

TEST_CASE(
    "upstreams: a report's load of others excludes own earlier requests") {
  UpstreamTable table;
  Announcement engine = MakeEngine("e1", 8);
  table.Announce(engine, kNow);
  UpstreamState* state = table.Find(engine.instance);
  table.AttemptStarted(state, {RequestId("old"), 0, kNow, false});
  table.AttemptStarted(state, {RequestId("new"), 0, kNow + seconds(5), false});
  engine.sequence = 2;
  engine.load.running = 3;
  table.Announce(engine, kNow + seconds(5));
  CHECK(state->reported_other_load == 2);
  CHECK(state->Load() == 2);
  engine.sequence = 1;
  engine.load.running = 0;
  CHECK_FALSE(table.Announce(engine, kNow + seconds(6)));
  CHECK(state->reported_other_load == 2);
  engine.load.running = 3;
  for (std::uint64_t sequence = 3; sequence < 20; ++sequence) {
    engine.sequence = sequence;
    table.Announce(engine, kNow + seconds(5));
  }
  CHECK(state->OtherLoad() == 2);
  CHECK(state->Load() == 4);
}

TEST_CASE("chooser: other failure domains only once the own one is loaded") {
  UpstreamTable table;
  table.Announce(MakeEngine("near", 10), kNow);
  Announcement far = MakeEngine("far", 10);
  far.failure_domain = FailureDomain("d2");
  table.Announce(far, kNow);
  Chooser chooser(FailureDomain("d1"), 1);
  UpstreamState* near = table.Find(UpstreamId("near"));
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(0)) == near);
  for (int i = 0; i < 8; ++i) {
    table.AttemptStarted(near, {RequestId(std::to_string(i)), 0, kNow, false});
  }
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(0)) != near);
}

TEST_CASE("chooser: a prefix stays on one upstream until it is loaded") {
  UpstreamTable table;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    table.Announce(MakeEngine(id, 10), kNow);
  }
  Chooser chooser(FailureDomain("d1"), 1);
  ChoiceQuery query = QueryAt(0);
  query.prefix = 42;
  UpstreamState* first = chooser.Choose(table.Serving(kModel), query);
  CHECK(chooser.Choose(table.Serving(kModel), query) == first);
  for (int i = 0; i < 5; ++i) {
    table.AttemptStarted(first, {RequestId(std::to_string(i)), 0, kNow, false});
  }
  CHECK(chooser.Choose(table.Serving(kModel), query) != first);
}

TEST_CASE(
    "chooser: the top tier ignores the load of others up to the capacity") {
  UpstreamTable table;
  Announcement engine = MakeEngine("e1", 2);
  engine.load.running = 9;
  table.Announce(engine, kNow);
  Chooser chooser(FailureDomain("d1"), 1);
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(1)) == nullptr);
  UpstreamState* chosen = chooser.Choose(table.Serving(kModel), QueryAt(0));
  REQUIRE(chosen != nullptr);
  table.AttemptStarted(chosen, {RequestId("r"), 0, kNow, false});
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(0)) == chosen);
  table.AttemptStarted(chosen, {RequestId("s"), 0, kNow, false});
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(0)) == nullptr);
  CHECK(chooser.Choose(table.Serving(kModel), QueryAt(1)) == nullptr);
}

TEST_CASE(
    "quarantine: completion clears a suspect, late reports do not restore it") {
  Quarantine quarantine;
  const UpstreamId dead("e1");
  quarantine.AddDeath(7, dead, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kSuspect);
  quarantine.RecordCompletion(7);
  quarantine.Merge({7, {dead}, false}, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kClear);
  quarantine.Merge({7, {UpstreamId("e2"), UpstreamId("e3")}, true}, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kQuarantined);
  quarantine.RecordCompletion(7);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kClear);
  quarantine.Merge({7, {UpstreamId("e2"), UpstreamId("e3")}, true}, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kClear);
  quarantine.Merge({7, {UpstreamId("e4"), UpstreamId("e5")}, true}, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kQuarantined);
  quarantine.Expire(kNow + Quarantine::kQuarantineExpiry + seconds(1));
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kClear);
}

TEST_CASE(
    "quarantine: the death of an instance that still announces is retracted") {
  Quarantine quarantine;
  const UpstreamId reachable("e1");
  quarantine.AddDeath(7, reachable, kNow);
  quarantine.AddDeath(7, UpstreamId("e2"), kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kQuarantined);
  quarantine.RecordAnnouncement(reachable, 10, kNow + seconds(1));
  quarantine.RecordAnnouncement(reachable, 10, kNow + seconds(2));
  quarantine.RecordAnnouncement(reachable, 11, kNow + seconds(2));
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kQuarantined);
  quarantine.RecordAnnouncement(reachable, 12, kNow + seconds(3));
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kSuspect);
}

TEST_CASE("quarantine: an instance that leaves as announced did not die") {
  Quarantine quarantine;
  const UpstreamId leaving("e1");
  quarantine.AddDeath(7, leaving, kNow);
  quarantine.AddDeath(7, UpstreamId("e2"), kNow);
  quarantine.RecordPlannedExit(leaving);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kSuspect);
  quarantine.Merge({7, {leaving}, false}, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kSuspect);
  quarantine.RecordExitCancelled(leaving);
  quarantine.AddDeath(7, leaving, kNow);
  CHECK(quarantine.StatusOf(7) == QuarantineStatus::kQuarantined);
}

TEST_CASE("quarantine: the table is bounded and evicts suspects first") {
  Quarantine quarantine;
  quarantine.Merge({1, {UpstreamId("e1"), UpstreamId("e2")}, true}, kNow);
  for (std::uint64_t i = 2; i < Quarantine::kMaxFingerprints + 100; ++i) {
    quarantine.AddDeath(i, UpstreamId("e3"), kNow + Duration(i));
  }
  CHECK(quarantine.size() == Quarantine::kMaxFingerprints);
  CHECK(quarantine.StatusOf(1) == QuarantineStatus::kQuarantined);
  CHECK(quarantine.StatusOf(0) == QuarantineStatus::kClear);
}

TEST_CASE("accounts: state is kept for active accounts only") {
  AccountLimits limits(2);
  ClientAccount account;
  account.id = ClientAccountId("a");
  account.max_in_flight = 2;
  account.requests_per_minute = 4;
  limits.SetAccounts({account});
  CHECK(limits.TryStart(account.id, kNow) == AccountRefusal::kNone);
  CHECK(limits.TryStart(account.id, kNow) == AccountRefusal::kInFlight);
  limits.End(account.id);
  CHECK(limits.TryStart(account.id, kNow) == AccountRefusal::kNone);
  limits.End(account.id);
  CHECK(limits.TryStart(account.id, kNow) == AccountRefusal::kRate);
  CHECK(limits.RetryAfter(account.id, kNow) > Duration(seconds(59)));
  limits.Expire(kNow);
  CHECK(limits.ActiveAccounts() == 1);
  limits.Expire(kNow + minutes(2));
  CHECK(limits.ActiveAccounts() == 0);
}

TEST_CASE("an unattainable deadline is explained with its unit") {
  const TimePoint now{seconds(10)};
  const auto late =
      CheckDeadline({now, now - milliseconds(3), Duration(0), Duration(0)});
  REQUIRE(late);
  CHECK(late->message.find(" 3 ms ago") != std::string::npos);
  const auto slow = CheckDeadline(
      {now, now + milliseconds(300), milliseconds(500), Duration(0)});
  REQUIRE(slow);
  CHECK(slow->message.find(" 500 ms,") != std::string::npos);
  CHECK(slow->message.find(" 300 ms") != std::string::npos);
}

}  // namespace rattanward::policy
