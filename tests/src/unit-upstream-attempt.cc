#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fakes/scripted_upstream.h"
#include "rattanward/entry/upstream_attempt.h"

namespace rattanward::entry {
namespace {

using fakes::ConnectionScript;
using fakes::PlainAnswer;
using fakes::ScriptedUpstream;
using fakes::StreamEvent;
using fakes::StreamHead;
using policy::AttemptEnd;

constexpr Duration kSilence = std::chrono::milliseconds(60);
const std::string kId = "r-1";
const std::string kRunning =
    PlainAnswer(200, R"({"state":"running","produced":2})", kId);

/// What one attempt against a scripted upstream gave.
struct Outcome {
  policy::AttemptResult result;
  std::vector<std::string> events;
  WholeAnswer whole;
  int requests = 0;
  int connections = 0;
};

policy::StartAttempt StartAt(const Endpoint& endpoint) {
  policy::StartAttempt start;
  start.request = RequestId(kId);
  start.attempt = 1;
  start.endpoint = endpoint;
  start.not_run_statuses = {429};
  return start;
}

UpstreamRequest Post() {
  UpstreamRequest request;
  request.id = RequestId(kId);
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.content_type = "application/json";
  request.body = "{}";
  return request;
}

Outcome Stream(std::vector<ConnectionScript> scripts) {
  ScriptedUpstream upstream(std::move(scripts));
  const UpstreamRequest request = Post();
  Outcome outcome;
  asio::io_context io;
  const auto attempt = std::make_shared<UpstreamAttempt>(
      io, StartAt(upstream.endpoint()), request, kSilence);
  attempt->RunStream(
      [&](const StreamPieces& pieces) {
        outcome.events.insert(outcome.events.end(), pieces.events.begin(),
                              pieces.events.end());
        return true;
      },
      [&](const auto& result) { outcome.result = result; });
  io.run();
  outcome.requests = upstream.requests();
  outcome.connections = upstream.connections();
  return outcome;
}

Outcome Whole(std::vector<ConnectionScript> scripts) {
  ScriptedUpstream upstream(std::move(scripts));
  const UpstreamRequest request = Post();
  Outcome outcome;
  asio::io_context io;
  const auto attempt = std::make_shared<UpstreamAttempt>(
      io, StartAt(upstream.endpoint()), request, kSilence);
  attempt->RunWhole([&](const auto& result) {
    outcome.result = result;
    outcome.whole = attempt->answer();
  });
  io.run();
  outcome.requests = upstream.requests();
  return outcome;
}

std::string WholeStream() {
  return StreamHead(kId) + StreamEvent(1, "a") + StreamEvent(2, "b") +
         StreamEvent(3, "[DONE]");
}

}  // namespace

TEST_CASE("a whole stream completes") {
  const Outcome outcome = Stream({{true, WholeStream(), false}});
  CHECK(outcome.result.end == AttemptEnd::kCompleted);
  CHECK(outcome.events == std::vector<std::string>{"a", "b"});
}

TEST_CASE("the verdict at each place where a stream can break") {
  SUBCASE("no connection: not run") {
    Endpoint closed;
    {
      const ScriptedUpstream gone({});
      closed = gone.endpoint();
    }
    const UpstreamRequest request = Post();
    asio::io_context io;
    const auto attempt = std::make_shared<UpstreamAttempt>(io, StartAt(closed),
                                                           request, kSilence);
    policy::AttemptResult result;
    attempt->RunStream([](const auto&) { return true; },
                       [&](const auto& ended) { result = ended; });
    io.run();
    CHECK(result.end == AttemptEnd::kConnectFailed);
    CHECK(result.verdict == Verdict::kNotRun);
  }
  SUBCASE("closed before the request was read: may have run") {
    const Outcome outcome = Stream({{false, "", false}});
    CHECK(outcome.result.end == AttemptEnd::kBroken);
    CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("closed after the request: may have run, and sent only once") {
    const Outcome outcome = Stream({{true, "", false}});
    CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
    CHECK(outcome.requests == 1);
  }
  SUBCASE("a declared refusal: not run") {
    const Outcome outcome = Stream({{true, PlainAnswer(429, "", kId), false}});
    CHECK(outcome.result.end == AttemptEnd::kRefused);
    CHECK(outcome.result.verdict == Verdict::kNotRun);
  }
  SUBCASE("a bare 503 that is not declared: may have run") {
    const Outcome outcome = Stream({{true, PlainAnswer(503, "", kId), false}});
    CHECK(outcome.result.end == AttemptEnd::kBroken);
    CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
  }
  SUBCASE("broken after the first event, and unknown on asking: ran") {
    const std::string unknown = PlainAnswer(200, R"({"state":"unknown"})", kId);
    const Outcome outcome =
        Stream({{true, StreamHead(kId) + StreamEvent(1, "a"), false},
                {true, unknown, false}});
    CHECK(outcome.result.end == AttemptEnd::kBroken);
    CHECK(outcome.result.verdict == Verdict::kRan);
  }
}

TEST_CASE("another request's answer is never relayed") {
  const Outcome outcome =
      Stream({{true, StreamHead("r-2") + StreamEvent(1, "x"), false}});
  CHECK(outcome.events.empty());
  CHECK(outcome.result.error.code == ErrorCode::kWrongRequestId);
  CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a stream without its end marker is no whole answer") {
  const std::string unknown = PlainAnswer(200, R"({"state":"unknown"})", kId);
  const Outcome outcome = Stream(
      {{true, StreamHead(kId) + StreamEvent(1, "a") + StreamEvent(2, "b"),
        false},
       {true, unknown, false}});
  CHECK(outcome.result.end != AttemptEnd::kCompleted);
}

TEST_CASE("a broken stream is resumed on a new connection") {
  const std::string rest =
      StreamHead(kId) + StreamEvent(2, "b") + StreamEvent(3, "[DONE]");
  SUBCASE("closed in between") {
    const Outcome outcome =
        Stream({{true, StreamHead(kId) + StreamEvent(1, "a"), false},
                {true, kRunning, false},
                {true, rest, false}});
    CHECK(outcome.result.end == AttemptEnd::kCompleted);
    CHECK(outcome.events == std::vector<std::string>{"a", "b"});
  }
  SUBCASE("gone silent while new connections work") {
    const Outcome outcome =
        Stream({{true, StreamHead(kId) + StreamEvent(1, "a"), true},
                {true, kRunning, false},
                {true, rest, false}});
    CHECK(outcome.result.end == AttemptEnd::kCompleted);
    CHECK(outcome.events == std::vector<std::string>{"a", "b"});
  }
  SUBCASE("an event missing is asked for again") {
    const Outcome outcome = Stream(
        {{true,
          StreamHead(kId) + StreamEvent(1, "a") + StreamEvent(3, "[DONE]"),
          false},
         {true, kRunning, false},
         {true, rest, false}});
    CHECK(outcome.result.end == AttemptEnd::kCompleted);
    CHECK(outcome.events == std::vector<std::string>{"a", "b"});
  }
}

TEST_CASE("an upstream silent on every connection ends the attempt") {
  const ConnectionScript silent{true, "", true};
  const Outcome outcome = Stream({silent, silent, silent, silent});
  CHECK(outcome.result.end == AttemptEnd::kSilent);
  CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
}

TEST_CASE("an event of another kind ends the attempt; nothing asks again") {
  ScriptedUpstream upstream({{true, WholeStream(), false}});
  const UpstreamRequest request = Post();
  asio::io_context io;
  const auto attempt = std::make_shared<UpstreamAttempt>(
      io, StartAt(upstream.endpoint()), request, kSilence);
  policy::AttemptResult result;
  attempt->RunStream([](const auto&) { return false; },
                     [&](const auto& ended) { result = ended; });
  io.run();
  CHECK(result.end == AttemptEnd::kBroken);
  CHECK(result.error.code == ErrorCode::kUpstreamMalformed);
  CHECK(result.verdict == Verdict::kRan);
  CHECK(attempt->resumes() == 0);
}

TEST_CASE("a caller that leaves ends the attempt and the work at once") {
  ScriptedUpstream upstream(
      {{true, StreamHead(kId) + StreamEvent(1, "a"), true},
       {true, PlainAnswer(200, "{}", kId), false}});
  const UpstreamRequest request = Post();
  asio::io_context io;
  const auto attempt = std::make_shared<UpstreamAttempt>(
      io, StartAt(upstream.endpoint()), request, kSilence);
  policy::AttemptResult result;
  attempt->RunStream(
      [&](const auto&) {
        attempt->CallerLeft();
        return true;
      },
      [&](const auto& ended) { result = ended; });
  io.run();
  CHECK(result.end == AttemptEnd::kCallerLeft);
  CHECK(result.verdict == Verdict::kRan);
  // The second request takes the work away.
  CHECK(upstream.requests() == 2);
}

TEST_CASE("a service call is delivered whole or not at all") {
  SUBCASE("whole") {
    const Outcome outcome =
        Whole({{true, PlainAnswer(200, "{\"plug\":1}", kId), false}});
    CHECK(outcome.result.end == AttemptEnd::kCompleted);
    CHECK(outcome.whole.body == "{\"plug\":1}");
  }
  SUBCASE("cut in the body: may have run, never sent again") {
    std::string cut = PlainAnswer(200, "{\"plug\":1}", kId);
    cut.resize(cut.size() - 4);
    const Outcome outcome = Whole({{true, cut, false}, {true, cut, false}});
    CHECK(outcome.result.end == AttemptEnd::kBroken);
    CHECK(outcome.result.verdict == Verdict::kMayHaveRun);
    CHECK(outcome.whole.body.empty());
    CHECK(outcome.requests == 1);
  }
}

}  // namespace rattanward::entry
