#include <doctest/doctest.h>
#include <xxhash.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/caller_entry.h"

namespace rattanward::entry {
namespace {

using fakes::CallerEntry;
using fakes::Completion;
using fakes::LoopbackPeer;
using fakes::Post;
using fakes::RequestIdIn;
using fakes::StreamResponse;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void IgnoreRequest(LoopbackPeer&, const std::string&) {}

void RespondWithStream(LoopbackPeer& connection, const std::string& request) {
  connection.Send(StreamResponse(RequestIdIn(request)));
  connection.Close();
}

}  // namespace

TEST_CASE("a stream is relayed up to its end marker") {
  CallerEntry entry(RespondWithStream);
  const auto caller = entry.Caller();
  caller->Send(Completion());
  REQUIRE(
      entry.RunUntil([&] { return Contains(caller->received(), "[DONE]"); }));
  CHECK(Contains(caller->received(), "X-Rattanward-Verdict: ran"));
  CHECK(entry.RunUntil([&] { return entry.front.open_requests() == 0; }));
  CHECK(entry.core.View().open_requests == 0);
}

TEST_CASE("no decision waits until the other entries know a part is cleared") {
  CallerEntry entry(RespondWithStream);
  entry.core.set_suspicion_broadcaster([](const auto&, const auto&) {});
  const std::string shared = R"({"content":"s"})";
  entry.core.dispatcher().MergePartSuspicion(
      {XXH3_64bits(shared.data(), shared.size()), 0, 1}, EntryCore::Now());
  const std::string request = Post(
      "/v1/chat/completions", R"({"model":"small","stream":true,"messages":[)" +
                                  shared + R"(,{"content":"x"}]})");
  // The engine runs one at a time, so that the second waits for the first.
  const auto first = entry.Caller();
  const auto second = entry.Caller();
  first->Send(request);
  second->Send(request);
  CHECK(entry.RunUntil([&] {
    return Contains(first->received(), "[DONE]") &&
           Contains(second->received(), "[DONE]");
  }));
}

TEST_CASE("a queued request is dropped unsent when its caller disconnects") {
  CallerEntry entry(IgnoreRequest);
  const auto first = entry.Caller();
  first->Send(Completion());
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 1; }));
  const auto second = entry.Caller();
  second->Send(Completion());
  REQUIRE(entry.RunUntil([&] { return entry.front.open_requests() == 2; }));
  second->Close();
  CHECK(entry.RunUntil([&] { return entry.front.open_requests() == 1; }));
  CHECK(entry.core.View().open_requests == 1);
  CHECK(entry.upstream.requests().size() == 1);
}

TEST_CASE("a caller disconnect during a service call ends the call at once") {
  CallerEntry entry(IgnoreRequest);
  const auto caller = entry.Caller();
  caller->Send(Post("/services/plugs/read", "{}"));
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 1; }));
  caller->Close();
  CHECK(
      entry.RunUntil([&] { return entry.upstream.connections()[0]->ended(); }));
  CHECK(entry.RunUntil([&] { return entry.front.open_requests() == 0; }));
  CHECK(entry.core.View().open_requests == 0);
}

TEST_CASE("a streamed response settles its claim exactly once, as run") {
  CallerEntry entry(RespondWithStream);
  const auto caller = entry.Caller();
  caller->Send(Completion("X-Request-Class: once\r\nIdempotency-Key: k-1\r\n"));
  REQUIRE(
      entry.RunUntil([&] { return Contains(caller->received(), "[DONE]"); }));
  REQUIRE(entry.RunUntil([&] { return entry.front.open_requests() == 0; }));
  CHECK(entry.guard->permission_requests == 1);
  CHECK(entry.guard->verdicts == std::vector<Verdict>{Verdict::kRan});
  CHECK(entry.guard->answers == 0);
}

TEST_CASE("a caller disconnect while the claim is pending: nothing is sent") {
  CallerEntry entry(RespondWithStream);
  entry.guard->hold_permission = true;
  const auto caller = entry.Caller();
  caller->Send(Completion("X-Request-Class: once\r\nIdempotency-Key: k-1\r\n"));
  REQUIRE(entry.RunUntil([&] { return entry.guard->held_sink != nullptr; }));
  caller->Close();
  // Lets the loop notice the disconnect before the permission is granted.
  entry.core.context().run_for(std::chrono::milliseconds(50));
  std::exchange(entry.guard->held_sink, nullptr)(MaySend{});
  CHECK(entry.RunUntil([&] { return entry.front.open_requests() == 0; }));
  CHECK(entry.upstream.requests().empty());
  CHECK(entry.guard->verdicts == std::vector<Verdict>{Verdict::kNotRun});
}

TEST_CASE("an unknown path gets a numbered error; the connection stays open") {
  CallerEntry entry(IgnoreRequest);
  const auto caller = entry.Caller();
  caller->Send("GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(entry.RunUntil([&] { return Contains(caller->received(), "1011"); }));
  caller->ClearReceived();
  // The connection can be reused after the error.
  caller->Send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(entry.RunUntil(
      [&] { return Contains(caller->received(), "\"ready\":true"); }));
}

}  // namespace rattanward::entry
