#include <doctest/doctest.h>

#include "fakes/policy_values.h"

namespace rattanward::policy {
namespace {

using fakes::MakeEngine;
using fakes::MakeRequest;
using fakes::MakeResult;
using fakes::RefusedWith;
using fakes::StartedOn;

Dispatcher MakeBaseline() {
  Dispatcher dispatcher(fakes::MakeOptions(Profile::kBaseline));
  Config config;
  config.classes = {fakes::MakeClass("gate", 0, 1)};
  dispatcher.SetConfig(config, TimePoint());
  return dispatcher;
}

}  // namespace

TEST_CASE("baseline: round robin up to capacity, then a bounded queue") {
  Dispatcher dispatcher = MakeBaseline();
  const TimePoint now;
  CHECK(RefusedWith(dispatcher.Submit(MakeRequest("r0", "gate"), now).at(0)) ==
        ErrorCode::kNoUpstream);
  dispatcher.UpstreamChanged(MakeEngine("e1", 1), now);
  dispatcher.UpstreamChanged(MakeEngine("e2", 1), now);
  CHECK(StartedOn(dispatcher.Submit(MakeRequest("r1", "gate"), now).at(0)) ==
        "e1");
  CHECK(StartedOn(dispatcher.Submit(MakeRequest("r2", "gate"), now).at(0)) ==
        "e2");
  CHECK(dispatcher.Submit(MakeRequest("r3", "gate"), now).empty());
  CHECK(RefusedWith(dispatcher.Submit(MakeRequest("r4", "gate"), now).at(0)) ==
        ErrorCode::kQueueFull);
  const auto next =
      dispatcher.Finish(MakeResult("r1", 1, AttemptEnd::kCompleted), now);
  CHECK(StartedOn(next.at(0)) == "e1");
  CHECK(dispatcher.OpenRequests() == 2);
}

TEST_CASE("baseline: only a failed connect is retried") {
  Dispatcher dispatcher = MakeBaseline();
  const TimePoint now;
  dispatcher.UpstreamChanged(MakeEngine("e1", 1), now);
  dispatcher.UpstreamChanged(MakeEngine("e2", 1), now);
  dispatcher.Submit(MakeRequest("r1", "gate"), now);
  const auto again =
      dispatcher.Finish(MakeResult("r1", 1, AttemptEnd::kConnectFailed), now);
  CHECK(StartedOn(again.at(0)) == "e2");
  const auto end = dispatcher.Finish(
      MakeResult("r1", 2, AttemptEnd::kBroken, Verdict::kMayHaveRun), now);
  CHECK(std::get<Refuse>(end.at(0)).error.verdict == Verdict::kMayHaveRun);
  CHECK(dispatcher.OpenRequests() == 0);
}

}  // namespace rattanward::policy
