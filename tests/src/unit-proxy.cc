#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback_peer.h"
#include "fakes/test_dialect.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;

constexpr Duration kTestLimit{std::chrono::seconds(10)};

Route MakeRoute(const std::string& prefix, RouteKind kind) {
  Route route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = std::chrono::seconds(5);
  route.target = std::chrono::seconds(1);
  route.split = {{ServiceName("s"), 1}};
  route.max_attempts = 2;
  return route;
}

RoutingDeclaration MakeDeclaration() {
  RoutingDeclaration declaration;
  declaration.version = ConfigVersion{1};
  declaration.services = {{ServiceName("s"), 100, std::nullopt}};
  declaration.accounts = {{ClientAccountId("a"), {"k"}, std::nullopt}};
  declaration.routes = {MakeRoute("/safe/", RouteKind::kIdempotent),
                        MakeRoute("/once/", RouteKind::kAtMostOnce),
                        MakeRoute("/stream/", RouteKind::kStream),
                        MakeRoute("/resume/", RouteKind::kStream),
                        MakeRoute("/quick/", RouteKind::kAtMostOnce)};
  declaration.routes[3].resumable = true;
  declaration.routes[4].timeout = std::chrono::milliseconds(150);
  return declaration;
}

/// An entry's data path on loopback, with upstreams that a test scripts.
class Entry {
 public:
  explicit Entry(Duration key_lease = std::chrono::seconds(4)) {
    ProxyOptions options;
    options.process = ProcessId("entry");
    options.failure_domain = FailureDomain("d");
    options.listen = {"127.0.0.1", 0};
    options.retries.fixed = 100;
    options.max_body_bytes = 2U << 20U;
    options.key_lease = key_lease;
    ProxyHooks hooks;
    hooks.witness = [this](const protocol::CrashWitness& witness) {
      witnesses.push_back(witness);
    };
    hooks.events = [this](const Event& event) { events.push_back(event); };
    proxy = std::make_unique<Proxy>(io, options, dialect, hooks);
    REQUIRE(proxy->Start().has_value());
    proxy->SetRouting(std::make_shared<const RoutingTable>(MakeDeclaration()));
    proxy->Confirm(MonotonicNow(), ConfigVersion{1});
  }

  LoopbackUpstream& AddUpstream(LoopbackUpstream::Handler handler) {
    upstreams.push_back(
        std::make_unique<LoopbackUpstream>(io, std::move(handler)));
    membership::InstanceRecord record;
    record.id = UpstreamId("u" + std::to_string(upstreams.size()));
    record.stamp = {upstreams.size(), 1};
    record.service = ServiceName("s");
    record.endpoint = upstreams.back()->endpoint();
    record.failure_domain = FailureDomain("d");
    record.slots = 4;
    proxy->TakeInstances({record});
    return *upstreams.back();
  }

  std::shared_ptr<LoopbackPeer> Caller() {
    return LoopbackPeer::Connect(io, proxy->endpoint());
  }

  bool Until(const std::function<bool()>& done, Duration limit = kTestLimit) {
    const TimePoint end = MonotonicNow() + limit;
    while (!done() && MonotonicNow() < end) {
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  std::size_t Arrivals() const {
    std::size_t count = 0;
    for (const auto& upstream : upstreams) {
      count += upstream->requests().size();
    }
    return count;
  }

  asio::io_context io;
  fakes::TestDialect dialect;
  std::vector<protocol::CrashWitness> witnesses;
  std::vector<Event> events;
  std::unique_ptr<Proxy> proxy;
  std::vector<std::unique_ptr<LoopbackUpstream>> upstreams;
};

std::string Request(const std::string& path, const std::string& id,
                    const std::string& body = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nkey: k\r\nid: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Answer(const std::string& id, const std::string& body,
                   const std::string& more = "signed: x\r\n",
                   const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nid: " + id + "\r\n" + more +
         "Keep-Alive: timeout=5\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nid: " + id +
         "\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool Gets(Entry& entry, const std::shared_ptr<LoopbackPeer>& caller,
          const std::string& part) {
  return entry.Until([&] { return Has(caller->received(), part); });
}

}  // namespace

TEST_CASE("a request is answered, without its key and with its account") {
  Entry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(Answer("1", "hello"));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/x?q=1", "1", "body"));
  CHECK(Gets(entry, caller, "hello"));
  REQUIRE(upstream.requests().size() == 1);
  const std::string& request = upstream.requests().front();
  CHECK(Has(request, "POST /once/x?q=1 HTTP/1.1"));
  CHECK(Has(request, "account: a"));
  CHECK(Has(request, "body"));
  CHECK_FALSE(Has(request, "key: k"));
}

TEST_CASE("connections are kept on both sides") {
  Entry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        peer.Send(Answer(Has(request, "id: 1") ? "1" : "2", "ok"));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  REQUIRE(Gets(entry, caller, "ok"));
  caller->Forget();
  caller->Send(Request("/once/", "2"));
  REQUIRE(Gets(entry, caller, "ok"));
  CHECK(upstream.connections().size() == 1);
}

TEST_CASE("an unknown key is denied while the routes are confirmed, else 503") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.Caller();
  caller->Send("GET /once/ HTTP/1.1\r\nHost: h\r\nkey: no\r\n\r\n");
  CHECK(Gets(entry, caller, "HTTP/1.1 401"));
  entry.proxy->Confirm(MonotonicNow(), ConfigVersion{2});
  entry.Until([&] { return false; }, std::chrono::milliseconds(1600));
  const auto later = entry.Caller();
  later->Send("GET /none/ HTTP/1.1\r\nHost: h\r\nkey: k\r\n\r\n");
  CHECK(Gets(entry, later, "HTTP/1.1 503"));
  CHECK(Has(later->received(), "Retry-After:"));
}

TEST_CASE("a key is not served once its lease is over") {
  Entry entry(std::chrono::milliseconds(100));
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "ok"));
  });
  entry.Until([&] { return false; }, std::chrono::milliseconds(150));
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 503"));
  CHECK(entry.Arrivals() == 0);
}

TEST_CASE("a refusal that says not run is tried elsewhere, within attempts") {
  Entry entry;
  const auto refuse = [](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "", "not-run: 1\r\n", "503 Full"));
  };
  entry.AddUpstream(refuse);
  entry.AddUpstream(refuse);
  entry.AddUpstream(refuse);
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 503"));
  CHECK(Has(caller->received(), "Retry-After:"));
  CHECK(entry.Arrivals() == 2);
}

TEST_CASE("a bare 503 may have run: the caller is not told that it has not") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "", "signed: x\r\n", "503 Busy"));
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 502"));
}

TEST_CASE("what may run once is not sent again after a break") {
  for (const bool reset : {false, true}) {
    Entry entry;
    const auto breaks = [reset](LoopbackPeer& peer, const std::string&) {
      peer.Close(reset);
    };
    entry.AddUpstream(breaks);
    entry.AddUpstream(breaks);
    const auto caller = entry.Caller();
    caller->Send(Request("/once/", "1"));
    CHECK(Gets(entry, caller, "HTTP/1.1 502"));
    CHECK(entry.Arrivals() == 1);
  }
}

TEST_CASE("what may be repeated is sent to another upstream after a break") {
  Entry entry;
  int arrivals = 0;
  const auto handler = [&](LoopbackPeer& peer, const std::string&) {
    if (++arrivals == 1) {
      peer.Close();
    } else {
      peer.Send(Answer("1", "ok"));
    }
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  const auto caller = entry.Caller();
  caller->Send(Request("/safe/", "1"));
  CHECK(Gets(entry, caller, "ok"));
  CHECK(arrivals == 2);
}

TEST_CASE("an answer cut at any byte is never passed on as whole") {
  const std::string whole = Answer("1", "0123456789");
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    Entry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
      peer.Send(whole.substr(0, cut));
      peer.Close();
    });
    const auto caller = entry.Caller();
    caller->Send(Request("/once/", "1"));
    REQUIRE(Gets(entry, caller, "HTTP/1.1 502"));
  }
}

TEST_CASE("a success without a signature is no success") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "stray", ""));
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 502"));
  CHECK_FALSE(Has(caller->received(), "stray"));
}

TEST_CASE("a late answer to another request is skipped") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("0", "not yours") + Answer("1", "yours"));
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "yours"));
  CHECK_FALSE(Has(caller->received(), "not yours"));
}

TEST_CASE("stray bytes after an answer end the connection's use") {
  Entry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        const std::string id = Has(request, "id: 1") ? "1" : "2";
        peer.Send(Answer(id, "ok" + id) + (id == "1" ? "HTTP/1.1 2" : ""));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  REQUIRE(Gets(entry, caller, "ok1"));
  caller->Send(Request("/once/", "2"));
  CHECK(Gets(entry, caller, "ok2"));
  CHECK(upstream.connections().size() == 2);
}

TEST_CASE("a caller that leaves ends the work of its upstream") {
  Entry entry;
  auto& upstream = entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  REQUIRE(entry.Until([&] { return upstream.requests().size() == 1; }));
  caller->Close();
  CHECK(entry.Until([&] { return upstream.connections()[0]->ended(); }));
  CHECK(entry.proxy->idle());
}

TEST_CASE("a caller that leaves while its request waits leaves the queue") {
  Entry entry;
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  REQUIRE(entry.Until([&] { return entry.proxy->open_requests() == 1; }));
  caller->Close();
  REQUIRE(entry.Until([&] { return entry.proxy->open_requests() == 0; }));
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  entry.Until([&] { return false; }, std::chrono::milliseconds(250));
  CHECK(entry.Arrivals() == 0);
}

TEST_CASE("a request that ran out of time gets its answer at once") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto sent = entry.Caller();
  sent->Send(Request("/quick/", "1"));
  CHECK(Gets(entry, sent, "HTTP/1.1 504"));
  Entry empty;
  const auto waiting = empty.Caller();
  waiting->Send(Request("/quick/", "1"));
  CHECK(Gets(empty, waiting, "HTTP/1.1 503"));
}

TEST_CASE("a stream is passed on by whole events and ends whole") {
  Entry entry;
  std::shared_ptr<LoopbackPeer> stream;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(StreamHead("1") + http::Chunk("id: 1\ndata: a\n\nid: 2\nda"));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/stream/", "1"));
  REQUIRE(Gets(entry, caller, "data: a\n\n"));
  CHECK_FALSE(Has(caller->received(), "id: 2"));
  upstream.connections()[0]->Send(http::Chunk("ta: b\n\n"));
  REQUIRE(Gets(entry, caller, "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Has(caller->received(), "0\r\n\r\n"));
  upstream.connections()[0]->Send("0\r\n\r\n");
  CHECK(Gets(entry, caller, "0\r\n\r\n"));
}

TEST_CASE("a broken stream is cut, never ended") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(StreamHead("1") + http::Chunk("id: 1\ndata: a\n\nid: 2\n"));
    peer.Close();
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/stream/", "1"));
  CHECK(entry.Until([&] { return caller->ended(); }));
  CHECK(Has(caller->received(), "data: a"));
  CHECK_FALSE(Has(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("a stream that may be resumed goes on after its last whole event") {
  Entry entry;
  int arrivals = 0;
  const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
    if (++arrivals == 1) {
      peer.Send(StreamHead("1") + http::Chunk("id: 1\ndata: a\n\nid: 2\nda"));
      peer.Close(true);
    } else {
      CHECK(Has(request, "after: 1"));
      peer.Send(StreamHead("1") + http::Chunk("id: 2\ndata: b\n\n") +
                "0\r\n\r\n");
    }
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  const auto caller = entry.Caller();
  caller->Send(Request("/resume/", "1"));
  CHECK(Gets(entry, caller, "0\r\n\r\n"));
  CHECK(Has(caller->received(), "id: 1\ndata: a\n\n"));
  CHECK(Has(caller->received(), "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Has(caller->received(), "id: 2\nda\r"));
}

TEST_CASE("a request whose upstreams crash is not run a fourth time") {
  Entry entry;
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
    const auto caller = entry.Caller();
    caller->Send(Request("/once/", std::to_string(i), "poison"));
    REQUIRE(Gets(entry, caller, "HTTP/1.1 50"));
    entry.Until([&] { return false; }, std::chrono::milliseconds(100));
  }
  CHECK(entry.Arrivals() == 3);
  CHECK(entry.witnesses.size() == 3);
}

TEST_CASE("an upstream that leaves gets nothing new") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "ok"));
  });
  membership::InstanceRecord record;
  record.id = UpstreamId("u1");
  record.stamp = {1, 2};
  record.service = ServiceName("s");
  record.endpoint = entry.upstreams[0]->endpoint();
  record.state = membership::InstanceState::kDraining;
  entry.proxy->TakeInstances({record});
  const auto caller = entry.Caller();
  caller->Send(Request("/quick/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 503"));
  CHECK(entry.Arrivals() == 0);
}

TEST_CASE("a stopping entry closes idle connections without reading on") {
  Entry entry;
  const auto caller = entry.Caller();
  REQUIRE(entry.Until([&] { return entry.proxy->connections() == 1; }));
  entry.proxy->BeginShutdown();
  CHECK_FALSE(entry.proxy->Ready());
  entry.proxy->CloseIdle();
  CHECK(entry.proxy->connections() == 0);
  CHECK(entry.Until([&] { return caller->ended(); }));
}

TEST_CASE("a stopping entry refuses what it could not finish") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1").substr(0, 20));
  entry.Until([&] { return false; }, std::chrono::milliseconds(50));
  entry.proxy->BeginShutdown();
  entry.proxy->CloseIdle();
  caller->Send(Request("/once/", "1").substr(20));
  CHECK(Gets(entry, caller, "HTTP/1.1 503"));
  CHECK(Has(caller->received(), "Connection: close"));
  CHECK(entry.Arrivals() == 0);
}

TEST_CASE("bodies of all callers together are bounded, and given back") {
  Entry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(Answer(Has(request, "id: 3") ? "3" : "1", "ok"));
  });
  constexpr std::size_t kHeld = 900U << 10U;
  const std::string half(kHeld, 'x');
  const auto request = [&](const std::string& id) {
    return Request("/once/", id, half + half);
  };
  // 1.8 MB of 2 MB are held by a caller that does not finish.
  const auto slow = entry.Caller();
  slow->Send(request("1").substr(0, 2 * kHeld));
  entry.Until([&] { return false; }, std::chrono::milliseconds(200));
  const auto other = entry.Caller();
  other->Send(request("2").substr(0, kHeld));
  CHECK(Gets(entry, other, "HTTP/1.1 503"));
  slow->Close();
  entry.Until([&] { return false; }, std::chrono::milliseconds(50));
  const auto third = entry.Caller();
  third->Send(request("3"));
  CHECK(Gets(entry, third, "ok"));
}

TEST_CASE("smuggled and malformed requests change nothing") {
  const std::vector<std::string> bad = {
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\n"
      "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
      "GET /once/ HTTP/1.1\r\nHost: h\r\nkey: k\r\nfolded: a\r\n b\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string& bytes : bad) {
    Entry entry;
    entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
    const auto caller = entry.Caller();
    caller->Send(bytes);
    CHECK(Gets(entry, caller, "HTTP/1.1 400"));
    CHECK(entry.Until([&] { return caller->ended(); }));
    CHECK(entry.Arrivals() == 0);
  }
}

}  // namespace rattanward::proxy
