#include <doctest/doctest.h>

#include "fakes/policy_values.h"

namespace rattanward::policy {
namespace {

using fakes::MakeEngine;
using fakes::MakeRequest;
using fakes::MakeResult;
using fakes::RefusedWith;
using fakes::StartedOn;
using std::chrono::milliseconds;
using std::chrono::seconds;

Config MakeTwoTierConfig() {
  Config config;
  config.classes = {fakes::MakeClass("gate", 0, 2),
                    fakes::MakeClass("stowage", 3, 2)};
  return config;
}

Dispatcher MakeStandard(const Config& config) {
  Dispatcher dispatcher(fakes::MakeOptions(Profile::kStandard));
  dispatcher.SetConfig(config, TimePoint());
  return dispatcher;
}

Error FirstRefusalError(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (const auto* refuse = std::get_if<Refuse>(&decision)) {
      return refuse->error;
    }
  }
  return {};
}

}  // namespace

TEST_CASE("dispatcher: the higher tier goes first") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  CHECK(StartedOn(d.Submit(MakeRequest("r1", "gate"), now).at(0)) == "e1");
  CHECK(d.Submit(MakeRequest("r2", "stowage"), now).empty());
  CHECK(d.Submit(MakeRequest("r3", "gate"), now).empty());
  const auto next = d.Finish(MakeResult("r1", 1, AttemptEnd::kCompleted), now);
  CHECK(std::get<StartAttempt>(next.at(0)).request == RequestId("r3"));
}

TEST_CASE("dispatcher: a full queue displaces the lowest tier") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  for (const char* id : {"r0", "r1", "r2"}) {
    d.Submit(MakeRequest(id, "gate"), now);
  }
  d.Submit(MakeRequest("low", "stowage"), now);
  const auto out = d.Submit(MakeRequest("r3", "gate"), now);
  CHECK(std::get<Refuse>(out.at(0)).request == RequestId("low"));
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kDisplaced);
  CHECK(FirstRefusalError(out).retry_after.has_value());
  CHECK(RefusedWith(d.Submit(MakeRequest("r4", "gate"), now).at(0)) ==
        ErrorCode::kQueueFull);
}

TEST_CASE("dispatcher: an unknown class and a missing upstream are refused") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  CHECK(RefusedWith(d.Submit(MakeRequest("r1", "other"), now).at(0)) ==
        ErrorCode::kUnknownClass);
  const auto out = d.Submit(MakeRequest("r1", "gate"), now);
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kNoUpstream);
  CHECK(FirstRefusalError(out).retry_after.has_value());
}

TEST_CASE(
    "dispatcher: a request that cannot begin in time is refused at once") {
  Config config = MakeTwoTierConfig();
  config.classes[0].expected_output_tokens = 500;
  Dispatcher d = MakeStandard(config);
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  const auto out = d.Submit(MakeRequest("r2", "gate"), now);
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kDeadlineUnattainable);
  CHECK(FirstRefusalError(out).verdict == Verdict::kNotRun);
  CHECK(FirstRefusalError(out).retry_after == Duration(seconds(10)));
  CHECK(d.OpenRequests() == 1);
}

TEST_CASE("dispatcher: a request past its deadline is not sent") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  d.Submit(MakeRequest("r2", "gate"), now);
  const auto out = d.Tick(now + seconds(10));
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kDeadlinePassed);
}

TEST_CASE("dispatcher: draining upstreams get no requests") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  Announcement engine = MakeEngine("e1", 1);
  d.UpstreamChanged(engine, now);
  d.Submit(MakeRequest("r1", "gate"), now);
  d.Submit(MakeRequest("r2", "gate"), now);
  engine.sequence = 2;
  engine.draining = true;
  CHECK(RefusedWith(d.UpstreamChanged(engine, now).at(0)) ==
        ErrorCode::kNoUpstream);
  CHECK(d.Finish(MakeResult("r1", 1, AttemptEnd::kCompleted), now).empty());
}

TEST_CASE("dispatcher: a draining upstream that cuts a request did not die") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  for (const std::string id : {"e1", "e2", "e3"}) {
    Announcement engine = MakeEngine(id, 1);
    d.UpstreamChanged(engine, now);
    RequestInfo request = MakeRequest(id, "gate");
    request.fingerprint = 7;
    request.idempotent = false;
    CHECK(StartedOn(d.Submit(request, now).at(0)) == id);
    engine.sequence = 2;
    engine.draining = true;
    d.UpstreamChanged(engine, now);
    d.Finish(MakeResult(id, 1, AttemptEnd::kBroken, Verdict::kMayHaveRun), now);
    d.UpstreamGone(UpstreamId(id), now);
  }
  CHECK(d.TakeSuspicions().empty());
}

TEST_CASE("dispatcher: an error answer does not block an upstream for others") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.Submit(MakeRequest("bad", "gate"), now);
  d.Submit(MakeRequest("good", "gate"), now);
  AttemptResult failed =
      MakeResult("bad", 1, AttemptEnd::kBroken, Verdict::kMayHaveRun);
  failed.error.code = ErrorCode::kUpstreamFailed;
  failed.answer_begun = true;
  const auto out = d.Finish(failed, now);
  CHECK(std::get<StartAttempt>(out.at(1)).request == RequestId("good"));
  CHECK(d.TakeSuspicions().empty());
}

TEST_CASE("dispatcher: an operator's drain applies without a new sequence") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  Announcement engine = MakeEngine("e1", 1);
  d.UpstreamChanged(engine, now);
  engine.draining = true;
  d.UpstreamChanged(engine, now);
  CHECK(RefusedWith(d.Submit(MakeRequest("r1", "gate"), now).at(0)) ==
        ErrorCode::kNoUpstream);
  engine.draining = false;
  d.UpstreamChanged(engine, now);
  CHECK(StartedOn(d.Submit(MakeRequest("r2", "gate"), now).at(0)) == "e1");
}

TEST_CASE("dispatcher: an idempotent request is retried on another upstream") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.UpstreamChanged(MakeEngine("e2", 1), now);
  const std::string first =
      StartedOn(d.Submit(MakeRequest("r1", "gate"), now).at(0));
  const auto again = d.Finish(
      MakeResult("r1", 1, AttemptEnd::kBroken, Verdict::kMayHaveRun), now);
  CHECK(StartedOn(again.at(0)) != first);
  CHECK_FALSE(StartedOn(again.at(0)).empty());
}

TEST_CASE(
    "dispatcher: no retry of a non-idempotent request that may have run") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.UpstreamChanged(MakeEngine("e2", 1), now);
  RequestInfo booking = MakeRequest("r1", "gate");
  booking.idempotent = false;
  d.Submit(booking, now);
  auto out = d.Finish(MakeResult("r1", 1, AttemptEnd::kRefused), now);
  CHECK_FALSE(StartedOn(out.at(0)).empty());
  out = d.Finish(MakeResult("r1", 2, AttemptEnd::kBroken, Verdict::kMayHaveRun),
                 now);
  CHECK(FirstRefusalError(out).verdict == Verdict::kMayHaveRun);
  CHECK(d.OpenRequests() == 0);
}

TEST_CASE(
    "dispatcher: an upstream that asks for back-off gets nothing until then") {
  Config config = MakeTwoTierConfig();
  config.limits.max_attempts = 1;
  Dispatcher d = MakeStandard(config);
  TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 4), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  d.UpstreamChanged(MakeEngine("e2", 4), now);
  AttemptResult refused = MakeResult("r1", 1, AttemptEnd::kRefused);
  refused.backoff_for = seconds(2);
  // Not an attempt of the request: it goes on elsewhere.
  CHECK(StartedOn(d.Finish(refused, now).at(0)) == "e2");
  d.Finish(MakeResult("r1", 2, AttemptEnd::kCompleted), now);
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(600);
    const std::string id = "s" + std::to_string(i);
    const auto started = d.Submit(MakeRequest(id, "gate", now), now);
    CHECK(StartedOn(started.at(0)) == "e2");
  }
}

TEST_CASE(
    "dispatcher: where all ask for back-off, callers wait or get its end") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 4), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  AttemptResult refused = MakeResult("r1", 1, AttemptEnd::kRefused);
  refused.backoff_for = seconds(4);
  CHECK(d.Finish(refused, now).empty());  // Waits: its deadline is at 10 s.
  now += seconds(4);
  const auto started = d.Tick(now);
  REQUIRE(started.size() == 1);
  CHECK(StartedOn(started.at(0)) == "e1");
  refused.attempt = 2;
  refused.backoff_for = seconds(30);
  const auto out = d.Finish(refused, now);
  REQUIRE(out.size() == 1);
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kNoUpstream);
  CHECK(std::get<Refuse>(out.at(0)).error.retry_after == seconds(30));
}

TEST_CASE("dispatcher: no retry after the answer has begun") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.UpstreamChanged(MakeEngine("e2", 1), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  AttemptResult result =
      MakeResult("r1", 1, AttemptEnd::kBroken, Verdict::kRan);
  result.answer_begun = true;
  CHECK(FirstRefusalError(d.Finish(result, now)).verdict == Verdict::kRan);
}

TEST_CASE("dispatcher: a second crash quarantines the request") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  for (const char* id : {"e1", "e2", "e3"}) {
    d.UpstreamChanged(MakeEngine(id, 2), now);
  }
  RequestInfo poison = MakeRequest("r1", "gate");
  poison.fingerprint = 7;
  d.Submit(poison, now);
  d.Finish(MakeResult("r1", 1, AttemptEnd::kBroken, Verdict::kMayHaveRun), now);
  CHECK(d.TakeSuspicions().at(0).deaths.size() == 1);
  const auto out = d.Finish(
      MakeResult("r1", 2, AttemptEnd::kBroken, Verdict::kMayHaveRun), now);
  CHECK(RefusedWith(out.at(0)) == ErrorCode::kQuarantined);
  CHECK(FirstRefusalError(out).verdict == Verdict::kRan);
  poison.id = RequestId("r2");
  CHECK(RefusedWith(d.Submit(poison, now).at(0)) == ErrorCode::kQuarantined);
  CHECK(d.TakeSuspicions().at(0).quarantined);
  CHECK(d.ReleaseSuspicion(7));
  CHECK_FALSE(StartedOn(d.Submit(poison, now).at(0)).empty());
}

TEST_CASE("dispatcher: requests that share a crashing message are refused") {
  constexpr std::uint64_t kSystemMessage = 1;
  constexpr std::uint64_t kBadMessage = 66;
  constexpr int kEngines = 12;
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  TimePoint now;
  for (int i = 0; i < kEngines; ++i) {
    d.UpstreamChanged(MakeEngine("e" + std::to_string(i), 4), now);
  }
  const auto submit = [&](const std::string& id, std::uint64_t body,
                          std::vector<std::uint64_t> parts) {
    RequestInfo request = MakeRequest(id, "gate", now);
    request.fingerprint = body;
    request.shared_parts = std::move(parts);
    request.idempotent = false;
    return d.Submit(request, now);
  };
  int crashes = 0;
  for (std::uint64_t i = 0; i < 8; ++i) {
    now += seconds(2);
    const std::string bad = "bad" + std::to_string(i);
    if (!StartedOn(submit(bad, 100 + i, {kSystemMessage, kBadMessage}).at(0))
             .empty()) {
      ++crashes;
      d.Finish(MakeResult(bad, 1, AttemptEnd::kBroken, Verdict::kMayHaveRun),
               now);
    }
    const std::string sound = "sound" + std::to_string(i);
    CHECK(!StartedOn(submit(sound, 200 + i, {kSystemMessage}).at(0)).empty());
    d.Finish(MakeResult(sound, 1, AttemptEnd::kCompleted, Verdict::kRan), now);
  }
  CHECK(crashes == 3);
  CHECK(RefusedWith(submit("last", 300, {kBadMessage}).at(0)) ==
        ErrorCode::kQuarantined);
}

TEST_CASE("dispatcher: two suspects never share an upstream") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 4), now);
  d.MergeSuspicion({7, {UpstreamId("x")}, false}, now);
  d.MergeSuspicion({8, {UpstreamId("x")}, false}, now);
  RequestInfo first = MakeRequest("r1", "gate");
  first.fingerprint = 7;
  RequestInfo second = MakeRequest("r2", "gate");
  second.fingerprint = 8;
  CHECK(StartedOn(d.Submit(first, now).at(0)) == "e1");
  CHECK(d.Submit(second, now).empty());
  CHECK(StartedOn(d.Submit(MakeRequest("r3", "gate"), now).at(0)) == "e1");
  const auto next = d.Finish(MakeResult("r1", 1, AttemptEnd::kCompleted), now);
  CHECK(std::get<StartAttempt>(next.at(0)).request == RequestId("r2"));
}

TEST_CASE("dispatcher: an account at its limit displaces its own lower tier") {
  Config config = MakeTwoTierConfig();
  ClientAccount account;
  account.id = ClientAccountId("a");
  account.max_in_flight = 2;
  config.accounts = {account};
  Dispatcher d = MakeStandard(config);
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  d.Submit(MakeRequest("r1", "gate"), now);
  d.Submit(MakeRequest("low", "stowage"), now);
  const auto out = d.Submit(MakeRequest("r2", "gate"), now);
  CHECK(std::get<Refuse>(out.at(0)).request == RequestId("low"));
  CHECK(RefusedWith(d.Submit(MakeRequest("r3", "gate"), now).at(0)) ==
        ErrorCode::kAccountLimit);
  d.Finish(MakeResult("r1", 1, AttemptEnd::kCompleted), now);
  CHECK(d.Submit(MakeRequest("r4", "gate"), now).empty());
}

TEST_CASE("dispatcher: a slow upstream is put on probation and probed later") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  TimePoint now;
  d.UpstreamChanged(MakeEngine("fast", 1), now);
  d.UpstreamChanged(MakeEngine("slow", 1), now);
  int slow_starts = 0;
  for (int round = 0; round < 40; ++round) {
    const std::string id = "r" + std::to_string(round);
    const auto out = d.Submit(MakeRequest(id, "gate", now), now);
    const std::string on = StartedOn(out.at(0));
    slow_starts += on == "slow" ? 1 : 0;
    now += milliseconds(on == "slow" ? 900 : 30);
    d.FirstToken(RequestId(id), now);
    d.Finish(MakeResult(id, 1, AttemptEnd::kCompleted), now);
    d.Tick(now);
  }
  CHECK(slow_starts >= 5);
  CHECK(slow_starts <= 8);
  CHECK(d.TakeEvents().at(0).id == EventId::kUpstreamProbation);
  CHECK(d.TakeEvents().empty());
}

TEST_CASE("dispatcher: upstreams on probation are used if no others exist") {
  Dispatcher d = MakeStandard(MakeTwoTierConfig());
  TimePoint now;
  d.UpstreamChanged(MakeEngine("fast", 1), now);
  d.UpstreamChanged(MakeEngine("slow", 1), now);
  for (int round = 0; round < 40; ++round) {
    const std::string id = "r" + std::to_string(round);
    const auto out = d.Submit(MakeRequest(id, "gate", now), now);
    now += milliseconds(StartedOn(out.at(0)) == "slow" ? 900 : 30);
    d.FirstToken(RequestId(id), now);
    d.Finish(MakeResult(id, 1, AttemptEnd::kCompleted), now);
    d.Tick(now);
  }
  d.UpstreamGone(UpstreamId("fast"), now);
  CHECK(StartedOn(d.Submit(MakeRequest("last", "gate", now), now).at(0)) ==
        "slow");
}

TEST_CASE("dispatcher: a floor admits a low tier despite a long backlog") {
  Config config = MakeTwoTierConfig();
  config.classes[0].queue_limit = 100;
  config.classes[0].expected_output_tokens = 25;
  config.classes[0].deadline = std::chrono::minutes(10);
  config.classes[1].expected_output_tokens = 25;
  config.classes[1].floor_permille = 200;
  Dispatcher d = MakeStandard(config);
  const TimePoint now;
  d.UpstreamChanged(MakeEngine("e1", 1), now);
  for (int i = 0; i < 50; ++i) {
    d.Submit(MakeRequest("r" + std::to_string(i), "gate"), now);
  }
  CHECK(d.Submit(MakeRequest("low", "stowage"), now).empty());
}

}  // namespace rattanward::policy
