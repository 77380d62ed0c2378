#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/caller_entry.h"
#include "fakes/policy_values.h"

namespace rattanward::entry {
namespace {

using fakes::CallerEntry;
using fakes::Completion;
using fakes::LoopbackPeer;
using fakes::RequestIdIn;
using fakes::StreamResponse;
using policy::AttemptEnd;
using policy::Dispatcher;
using policy::Profile;
using policy::Refuse;
using policy::StopPlan;
using policy::fakes::MakeEngine;
using policy::fakes::MakeRequest;
using policy::fakes::MakeResult;
using policy::fakes::StartedOn;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOnce =
    "X-Request-Class: once\r\nIdempotency-Key: k-1\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void IgnoreRequest(LoopbackPeer&, const std::string&) {}

void BeginStream(LoopbackPeer& connection, const std::string& request) {
  const std::string whole = StreamResponse(RequestIdIn(request));
  connection.Send(whole.substr(0, whole.find("id: 2")));
}

/// One engine that runs one request at a time, for 2 s each as declared.
Dispatcher MakeBusyDispatcher(Profile profile, int waiting) {
  Config config;
  config.classes = {policy::fakes::MakeClass("gate", 0, 10)};
  config.classes[0].expected_output_tokens = 50;
  Dispatcher dispatcher(policy::fakes::MakeOptions(profile));
  dispatcher.SetConfig(config, TimePoint());
  dispatcher.UpstreamChanged(MakeEngine("e1", 1), TimePoint());
  for (int i = 0; i <= waiting; ++i) {
    dispatcher.Submit(MakeRequest("r" + std::to_string(i), "gate"),
                      TimePoint());
  }
  return dispatcher;
}

StopPlan MakePlan(Duration grace) {
  return {TimePoint(), {milliseconds(100), grace}};
}

std::vector<Error> Refusals(const std::vector<policy::Decision>& decisions) {
  std::vector<Error> errors;
  for (const policy::Decision& decision : decisions) {
    if (const auto* refuse = std::get_if<Refuse>(&decision)) {
      errors.push_back(refuse->error);
    }
  }
  return errors;
}

}  // namespace

TEST_CASE("what waits at a stop and can't end in time is refused at once") {
  Dispatcher d = MakeBusyDispatcher(Profile::kStandard, 3);
  const auto refused = Refusals(d.BeginStop(MakePlan(seconds(5)), TimePoint()));
  REQUIRE(refused.size() == 2);
  for (const Error& error : refused) {
    CHECK(error.code == ErrorCode::kShuttingDown);
    CHECK(error.verdict == Verdict::kNotRun);
    CHECK(error.retry_after.has_value());
  }
  CHECK(d.OpenRequests() == 2);
}

TEST_CASE("what waits at a stop and can end in time is served") {
  Dispatcher d = MakeBusyDispatcher(Profile::kStandard, 1);
  CHECK(d.BeginStop(MakePlan(seconds(9)), TimePoint()).empty());
  const auto next = d.Finish(MakeResult("r0", 1, AttemptEnd::kCompleted),
                             TimePoint(seconds(2)));
  REQUIRE(next.size() == 1);
  CHECK(StartedOn(next[0]) == "e1");
}

TEST_CASE("nothing begins at a stop that would be cut") {
  Dispatcher d = MakeBusyDispatcher(Profile::kStandard, 0);
  d.BeginStop(MakePlan(seconds(5)), TimePoint());
  const TimePoint late(seconds(3));
  d.Finish(MakeResult("r0", 1, AttemptEnd::kCallerLeft), late);
  const auto refused = Refusals(d.Submit(MakeRequest("r1", "gate"), late));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].code == ErrorCode::kShuttingDown);
}

TEST_CASE("a request that may have run isn't called not run at a stop") {
  Dispatcher d = MakeBusyDispatcher(Profile::kStandard, 0);
  d.BeginStop(MakePlan(seconds(5)), TimePoint());
  const auto refused = Refusals(
      d.Finish(MakeResult("r0", 1, AttemptEnd::kBroken, Verdict::kMayHaveRun),
               TimePoint(seconds(3))));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].code == ErrorCode::kEntryStopped);
  CHECK(refused[0].verdict == Verdict::kMayHaveRun);
}

TEST_CASE("the baseline profile refuses all that wait at a stop") {
  Dispatcher d = MakeBusyDispatcher(Profile::kBaseline, 3);
  CHECK(Refusals(d.BeginStop(MakePlan(seconds(9)), TimePoint())).size() == 3);
  CHECK(d.OpenRequests() == 1);
}

TEST_CASE("at the end of a stop, each open request gets a true answer") {
  CallerEntry entry(IgnoreRequest);
  const auto running = entry.Caller();
  running->Send(Completion());
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 1; }));
  const auto waiting = entry.Caller();
  waiting->Send(Completion());
  REQUIRE(entry.RunUntil([&] { return entry.front.open_requests() == 2; }));
  entry.core.RefuseNewWork();
  entry.front.CutShort();
  entry.front.CloseAfterResponses();
  CHECK(entry.RunUntil([&] { return running->ended() && waiting->ended(); }));
  CHECK(Contains(running->received(), "HTTP/1.1 502"));
  CHECK(Contains(running->received(), "entry-stopped"));
  CHECK(Contains(running->received(), "X-Rattanward-Verdict: may-have-run"));
  CHECK(Contains(waiting->received(), "HTTP/1.1 503"));
  CHECK(Contains(waiting->received(), "X-Rattanward-Verdict: not-run"));
  CHECK(Contains(waiting->received(), "Retry-After: 1"));
  CHECK(entry.front.open_requests() == 0);
  const auto totals =
      entry.metrics.Snapshot().classes.at(RequestClassName("gate"));
  CHECK(totals.stopped.at(Verdict::kMayHaveRun) == 1);
  CHECK(totals.stopped.at(Verdict::kNotRun) == 1);
}

TEST_CASE("a stream that a stop cuts ends with an error event") {
  CallerEntry entry(BeginStream);
  const auto caller = entry.Caller();
  caller->Send(Completion());
  REQUIRE(
      entry.RunUntil([&] { return Contains(caller->received(), "data:"); }));
  entry.front.CutShort();
  CHECK(entry.RunUntil(
      [&] { return Contains(caller->received(), "\r\n0\r\n\r\n"); }));
  CHECK(Contains(caller->received(), "data: {\"error\":"));
  CHECK(Contains(caller->received(), "entry-stopped"));
  CHECK_FALSE(Contains(caller->received(), "[DONE]"));
}

TEST_CASE("a claimed request that a stop cuts stays unknown") {
  CallerEntry entry(IgnoreRequest);
  const auto caller = entry.Caller();
  caller->Send(Completion(kOnce));
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 1; }));
  entry.front.CutShort();
  CHECK(entry.guard->verdicts == std::vector<Verdict>{Verdict::kMayHaveRun});
  CHECK(entry.RunUntil([&] {
    return Contains(caller->received(), "X-Rattanward-Verdict: may-have-run");
  }));
}

TEST_CASE("a request whose claim is pending at a stop is never sent") {
  CallerEntry entry(IgnoreRequest);
  entry.guard->hold_permission = true;
  const auto caller = entry.Caller();
  caller->Send(Completion(kOnce));
  REQUIRE(entry.RunUntil([&] { return entry.guard->held_sink != nullptr; }));
  entry.front.CutShort();
  CHECK(entry.RunUntil([&] {
    return Contains(caller->received(), "X-Rattanward-Verdict: not-run");
  }));
  std::exchange(entry.guard->held_sink, nullptr)(MaySend{});
  entry.core.context().run_for(milliseconds(50));
  CHECK(entry.upstream.requests().empty());
  CHECK(entry.guard->verdicts == std::vector<Verdict>{Verdict::kNotRun});
}

}  // namespace rattanward::entry
