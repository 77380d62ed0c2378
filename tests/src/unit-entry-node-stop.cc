#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes/proxy_entry.h"
#include "rattanward/proxy/entry_node.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using fakes::Contains;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;
using fakes::MakeRequest;
using fakes::MakeResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace{milliseconds(3600)};

RoutingDeclaration MakeSlowDeclaration() {
  RoutingDeclaration declaration = fakes::MakeDeclaration();
  for (Route& route : declaration.routes) {
    route.timeout = seconds(7);
  }
  return declaration;
}

/// An entry that stops within kGrace, with an upstream of four slots.
struct StoppingEntry {
  explicit StoppingEntry(LoopbackUpstream::Handler handler)
      : upstream(io, std::move(handler)) {
    EntryNodeOptions options;
    options.proxy.process = ProcessId("entry");
    options.proxy.failure_domain = FailureDomain("d");
    options.proxy.listen = {"127.0.0.1", 0};
    options.ready = {"127.0.0.1", 0};
    options.peer_listen = {"127.0.0.1", 0};
    options.grace = kGrace;
    node = std::make_unique<EntryNode>(
        *node_io, options, dialect,
        [this](const Event& event) { events.push_back(event); });
    REQUIRE(node->Start().has_value());
    node->proxy().SetRouting(
        std::make_shared<const RoutingTable>(MakeSlowDeclaration()));
    node->proxy().ConfirmRouting(MonotonicNow() + seconds(20), ConfigVersion{1},
                                 std::chrono::hours(1));
    membership::InstanceRecord record;
    record.id = UpstreamId("u1");
    record.stamp = {1, 1};
    record.service = ServiceName("s");
    record.endpoint = upstream.endpoint();
    record.failure_domain = FailureDomain("d");
    record.slots = 4;
    node->proxy().UpdateInstances({record});
  }

  std::shared_ptr<LoopbackPeer> Ask(const std::string& path,
                                    const std::string& id) {
    auto caller = LoopbackPeer::Connect(io, node->proxy().endpoint());
    caller->Send(MakeRequest(path, id));
    callers.push_back(caller);
    return caller;
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration limit = fakes::kTestLimit) {
    const TimePoint end = MonotonicNow() + limit;
    while (!done() && MonotonicNow() < end) {
      io.run_one_for(milliseconds(1));
      if (node) {
        node_io->run_one_for(milliseconds(1));
      }
    }
    return done();
  }

  /// Shuts down and returns how long that took.
  Duration Stop() {
    const TimePoint began = MonotonicNow();
    bool stopped = false;
    node->Shutdown([&stopped] { stopped = true; });
    CHECK(RunUntil([&] { return stopped; }));
    const Duration took = MonotonicNow() - began;
    // As at the end of a process; what the kernel has reaches the callers.
    node.reset();
    node_io.reset();
    RunUntil([] { return false; }, milliseconds(100));
    return took;
  }

  std::size_t AnswersWith(const std::string& part) const {
    std::size_t count = 0;
    for (const auto& caller : callers) {
      count += Contains(caller->received(), part) ? 1U : 0U;
    }
    return count;
  }

  /// Of the callers and the upstream.
  asio::io_context io;
  std::unique_ptr<asio::io_context> node_io =
      std::make_unique<asio::io_context>(1);
  fakes::TestDialect dialect;
  std::vector<Event> events;
  LoopbackUpstream upstream;
  std::unique_ptr<EntryNode> node;
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
};

}  // namespace

// Guards against requests that a stopping entry drops unanswered (review case
// 1).
TEST_CASE("no request is left without an answer when the grace time ends") {
  StoppingEntry entry([](LoopbackPeer&, const std::string&) {});
  constexpr std::size_t kRequests = 12;
  for (std::size_t i = 0; i < kRequests; ++i) {
    entry.Ask("/once/", std::to_string(i));
  }
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 4; }));
  CHECK(entry.Stop() < kGrace);
  const std::size_t ran = entry.upstream.requests().size();
  CHECK(entry.AnswersWith("HTTP/1.1 502") == ran);
  CHECK(entry.AnswersWith("HTTP/1.1 503") == kRequests - ran);
  CHECK(entry.AnswersWith("Retry-After") == kRequests - ran);
}

TEST_CASE("an event loop that stands still at the end leaves no answer out") {
  StoppingEntry entry([](LoopbackPeer&, const std::string&) {});
  constexpr std::size_t kRequests = 6;
  for (std::size_t i = 0; i < kRequests; ++i) {
    entry.Ask("/once/", std::to_string(i));
  }
  REQUIRE(
      entry.RunUntil([&] { return entry.upstream.requests().size() == 4; }));
  auto timer = std::make_shared<asio::steady_timer>(*entry.node_io);
  timer->expires_after(kGrace - milliseconds(600));
  timer->async_wait([timer](const asio::error_code&) {
    std::this_thread::sleep_for(milliseconds(500));
  });
  timer.reset();
  entry.Stop();
  CHECK(entry.AnswersWith("HTTP/1.1 502") == entry.upstream.requests().size());
  CHECK(entry.AnswersWith("HTTP/1.1 50") == kRequests);
}

TEST_CASE("an answer that comes shortly before the end is passed on") {
  std::vector<LoopbackPeer*> running;
  StoppingEntry entry([&](LoopbackPeer& peer, const std::string&) {
    running.push_back(&peer);
  });
  const auto caller = entry.Ask("/once/", "1");
  REQUIRE(entry.RunUntil([&] { return running.size() == 1; }));
  asio::steady_timer timer(entry.io);
  timer.expires_after(kGrace - milliseconds(500));
  timer.async_wait([&](const asio::error_code&) {
    running[0]->Send(MakeResponse("1", "whole answer"));
  });
  CHECK(entry.Stop() < kGrace);
  CHECK(Contains(caller->received(), "whole answer"));
}

TEST_CASE("a connection made while an entry stops gets an answer") {
  StoppingEntry entry([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "served"));
  });
  asio::steady_timer timer(entry.io);
  std::shared_ptr<LoopbackPeer> late;
  timer.expires_after(milliseconds(2900));
  timer.async_wait(
      [&](const asio::error_code&) { late = entry.Ask("/once/", "late"); });
  const auto slow =
      LoopbackPeer::Connect(entry.io, entry.node->proxy().endpoint());
  slow->Send(MakeRequest("/once/", "slow").substr(0, 20));
  entry.Stop();
  REQUIRE(late);
  CHECK(Contains(late->received(), "HTTP/1.1 503"));
  CHECK_FALSE(late->reset());
}

}  // namespace rattanward::proxy
