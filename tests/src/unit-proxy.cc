#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using fakes::Contains;
using fakes::LoopbackPeer;
using fakes::MakeDeclaration;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;

}  // namespace

TEST_CASE("an upstream with a recent failure rarely gets the next request") {
  ProxyEntry entry;
  auto& failing = entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "no", "signed: x\r\n", "500 Bad"));
  });
  auto& healthy = entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "yes"));
  });
  constexpr std::size_t kRequests = 6;
  for (std::size_t i = 1; i <= kRequests; ++i) {
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1"));
    REQUIRE(entry.RunUntil([&] { return !caller->received().empty(); }));
  }
  CHECK(failing.requests().size() <= 1);
  CHECK(healthy.requests().size() >= kRequests - 1);
}

TEST_CASE("a request is forwarded with its account instead of its key") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(MakeResponse("1", "hello"));
      });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/x?q=1", "1", "body"));
  CHECK(Receives(entry, caller, "hello"));
  REQUIRE(upstream.requests().size() == 1);
  const std::string& request = upstream.requests().front();
  CHECK(Contains(request, "POST /once/x?q=1 HTTP/1.1"));
  CHECK(Contains(request, "account: a"));
  CHECK(Contains(request, "body"));
  CHECK_FALSE(Contains(request, "key: k"));
}

TEST_CASE("connections to callers and upstreams are reused") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        peer.Send(MakeResponse(Contains(request, "id: 1") ? "1" : "2", "ok"));
      });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(Receives(entry, caller, "ok"));
  caller->ClearReceived();
  caller->Send(MakeRequest("/once/", "2"));
  REQUIRE(Receives(entry, caller, "ok"));
  CHECK(upstream.connections().size() == 1);
}

TEST_CASE("unknown keys and paths get 503 unless the routes are confirmed") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.ConnectCaller();
  caller->Send("GET /once/ HTTP/1.1\r\nHost: h\r\nkey: no\r\n\r\n");
  CHECK(Receives(entry, caller, "HTTP/1.1 401"));
  entry.data_path->ConfirmRouting(MonotonicNow(), ConfigVersion{2},
                                  std::chrono::hours(1));
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(1600));
  const auto later = entry.ConnectCaller();
  later->Send("GET /none/ HTTP/1.1\r\nHost: h\r\nkey: k\r\n\r\n");
  CHECK(Receives(entry, later, "HTTP/1.1 503"));
  CHECK(Contains(later->received(), "Retry-After:"));
}

// Guards against proper requests that are denied under a configuration without
// accounts (review case 5).
TEST_CASE("a request without a key is served once no keys are needed") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "ok"));
  });
  RoutingDeclaration declaration = MakeDeclaration();
  declaration.version = ConfigVersion{2};
  declaration.accounts.clear();
  declaration.needs_keys = false;
  entry.data_path->SetRouting(
      std::make_shared<const RoutingTable>(declaration));
  entry.data_path->ConfirmRouting(MonotonicNow(), ConfigVersion{2},
                                  std::chrono::hours(1));
  const auto caller = entry.ConnectCaller();
  caller->Send("GET /once/ HTTP/1.1\r\nHost: h\r\nid: 1\r\n\r\n");
  CHECK(Receives(entry, caller, "ok"));
  const auto withdrawn = entry.ConnectCaller();
  withdrawn->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, withdrawn, "HTTP/1.1 401"));
}

TEST_CASE("a request with a key is refused after the key lease expires") {
  ProxyEntry entry(std::chrono::milliseconds(100));
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "ok"));
  });
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(150));
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(entry.RequestCount() == 0);
}

TEST_CASE("a request rejected as not run is retried up to max_attempts") {
  ProxyEntry entry;
  const auto refuse = [](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "", "not-run: 1\r\n", "503 Full"));
  };
  entry.AddUpstream(refuse);
  entry.AddUpstream(refuse);
  entry.AddUpstream(refuse);
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(Contains(caller->received(), "Retry-After:"));
  CHECK(entry.RequestCount() == 2);
}

TEST_CASE("a 503 that doesn't state that nothing ran is reported as 502") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "", "signed: x\r\n", "503 Busy"));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 502"));
}

TEST_CASE("an at-most-once request is not retried after a lost connection") {
  for (const bool reset : {false, true}) {
    ProxyEntry entry;
    const auto breaks = [reset](LoopbackPeer& peer, const std::string&) {
      peer.Close(reset);
    };
    entry.AddUpstream(breaks);
    entry.AddUpstream(breaks);
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1"));
    CHECK(Receives(entry, caller, "HTTP/1.1 502"));
    CHECK(entry.RequestCount() == 1);
  }
}

TEST_CASE("an idempotent request is retried after a lost connection") {
  ProxyEntry entry;
  int arrivals = 0;
  const auto handler = [&](LoopbackPeer& peer, const std::string&) {
    if (++arrivals == 1) {
      peer.Close();
    } else {
      peer.Send(MakeResponse("1", "ok"));
    }
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/safe/", "1"));
  CHECK(Receives(entry, caller, "ok"));
  CHECK(arrivals == 2);
}

TEST_CASE("a caller that disconnects cancels its request at the upstream") {
  ProxyEntry entry;
  auto& upstream = entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(entry.RunUntil([&] { return upstream.requests().size() == 1; }));
  caller->Close();
  CHECK(entry.RunUntil([&] { return upstream.connections()[0]->ended(); }));
  CHECK(entry.data_path->idle());
}

TEST_CASE("a queued request is removed when its caller disconnects") {
  ProxyEntry entry;
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(
      entry.RunUntil([&] { return entry.data_path->open_requests() == 1; }));
  caller->Close();
  REQUIRE(
      entry.RunUntil([&] { return entry.data_path->open_requests() == 0; }));
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(250));
  CHECK(entry.RequestCount() == 0);
}

TEST_CASE("a request gets an error response when its deadline passes") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto sent = entry.ConnectCaller();
  sent->Send(MakeRequest("/quick/", "1"));
  CHECK(Receives(entry, sent, "HTTP/1.1 504"));
  ProxyEntry empty;
  const auto waiting = empty.ConnectCaller();
  waiting->Send(MakeRequest("/quick/", "1"));
  CHECK(Receives(empty, waiting, "HTTP/1.1 503"));
}

TEST_CASE("a request that crashed three upstreams is not sent to a fourth") {
  ProxyEntry entry;
  const auto crash = [&](std::size_t index) {
    return [&entry, index](LoopbackPeer& peer, const std::string&) {
      entry.upstreams[index]->Stop();
      peer.Close(true);
    };
  };
  for (std::size_t i = 0; i < 5; ++i) {
    entry.AddUpstream(crash(i));
  }
  for (int i = 0; i < 5; ++i) {
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", std::to_string(i), "poison"));
    REQUIRE(Receives(entry, caller, "HTTP/1.1 50"));
    entry.RunUntil([&] { return false; }, std::chrono::milliseconds(100));
  }
  CHECK(entry.RequestCount() == 3);
  CHECK(entry.witnesses.size() == 3);
}

TEST_CASE("a restart under the same id while a request runs is a crash") {
  ProxyEntry entry;
  entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
    membership::InstanceRecord restarted;
    restarted.id = UpstreamId("u1");
    restarted.stamp = {2, 1};
    restarted.service = ServiceName("s");
    restarted.endpoint = entry.upstreams[0]->endpoint();
    restarted.failure_domain = FailureDomain("d");
    restarted.slots = 4;
    entry.data_path->UpdateInstances({restarted});
    peer.Close(true);
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1", "poison"));
  REQUIRE(Receives(entry, caller, "HTTP/1.1 502"));
  REQUIRE(entry.RunUntil([&] { return !entry.witnesses.empty(); },
                         std::chrono::seconds(1)));
  CHECK(entry.witnesses[0].born == 1);
}

TEST_CASE("a draining upstream gets no new requests") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "ok"));
  });
  membership::InstanceRecord record;
  record.id = UpstreamId("u1");
  record.stamp = {1, 2};
  record.service = ServiceName("s");
  record.endpoint = entry.upstreams[0]->endpoint();
  record.state = membership::InstanceState::kDraining;
  entry.data_path->UpdateInstances({record});
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/quick/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(entry.RequestCount() == 0);
}

TEST_CASE("an entry closes idle connections at shutdown without waiting") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "ok"));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(Receives(entry, caller, "ok"));
  REQUIRE(entry.data_path->connections() == 1);
  entry.data_path->BeginShutdown(fakes::MakeStopPlan());
  CHECK_FALSE(entry.data_path->Ready());
  entry.data_path->CloseIdle();
  CHECK(entry.data_path->connections() == 0);
  CHECK(entry.RunUntil([&] { return caller->ended(); }));
}

TEST_CASE("an entry refuses a request that completes during shutdown") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1").substr(0, 20));
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(50));
  entry.data_path->BeginShutdown(fakes::MakeStopPlan());
  entry.data_path->CloseIdle();
  caller->Send(MakeRequest("/once/", "1").substr(20));
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(Contains(caller->received(), "Connection: close"));
  CHECK(entry.RequestCount() == 0);
}

TEST_CASE("the total size of request bodies is limited and released") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(Contains(request, "id: 3") ? "3" : "1", "ok"));
  });
  constexpr std::size_t kHeld = 900U << 10U;
  const std::string half(kHeld, 'x');
  const auto request = [&](const std::string& id) {
    return MakeRequest("/once/", id, half + half);
  };
  // An incomplete request holds 1.8 MB of the 2 MB limit.
  const auto slow = entry.ConnectCaller();
  slow->Send(request("1").substr(0, 2 * kHeld));
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(200));
  const auto other = entry.ConnectCaller();
  other->Send(request("2").substr(0, kHeld));
  CHECK(Receives(entry, other, "HTTP/1.1 503"));
  slow->Close();
  entry.RunUntil([&] { return false; }, std::chrono::milliseconds(50));
  const auto third = entry.ConnectCaller();
  third->Send(request("3"));
  CHECK(Receives(entry, third, "ok"));
}

TEST_CASE("malformed and smuggled requests are rejected and not forwarded") {
  const std::vector<std::string> bad = {
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\n"
      "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\nfolded: a\r\n b\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string& bytes : bad) {
    ProxyEntry entry;
    entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
    const auto caller = entry.ConnectCaller();
    caller->Send(bytes);
    CHECK(Receives(entry, caller, "HTTP/1.1 400"));
    CHECK(entry.RunUntil([&] { return caller->ended(); }));
    CHECK(entry.RequestCount() == 0);
  }
}

}  // namespace rattanward::proxy
