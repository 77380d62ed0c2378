#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
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
using fakes::StreamHead;

using Change = std::function<void(RoutingDeclaration&)>;

struct NamedChange {
  std::string name;
  Change apply;
};

/// An entry with an upstream that holds every request, and puts a changed
/// declaration in force when the test says so.
struct ChangingEntry {
  ChangingEntry() {
    entry.AddUpstream([this](LoopbackPeer& peer, const std::string& request) {
      running.push_back(peer.shared_from_this());
      if (Contains(request, "POST /stream/") ||
          Contains(request, "POST /resume/")) {
        peer.Send(StreamHead(fakes::IdOf(request)) +
                  http::EncodeChunk("id: 1\ndata: a\n\n"));
      }
    });
  }

  /// Sends a request and waits until the upstream has it.
  std::shared_ptr<LoopbackPeer> Ask(const std::string& path) {
    const std::size_t before = running.size();
    auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest(path, std::to_string(before)));
    REQUIRE(entry.RunUntil([&] { return running.size() > before; }));
    return caller;
  }

  /// Sends requests until one has to wait, and returns its caller.
  std::shared_ptr<LoopbackPeer> AskUntilWaiting(const std::string& path) {
    for (int i = 0; i < 60 && entry.data_path->waiting() == 0; ++i) {
      callers.push_back(entry.ConnectCaller());
      callers.back()->Send(MakeRequest(path, "w" + std::to_string(i)));
      RunFor(std::chrono::milliseconds(20));
    }
    REQUIRE(entry.data_path->waiting() == 1);
    return callers.back();
  }

  void Put(const Change& change) {
    RoutingDeclaration declaration = MakeDeclaration();
    declaration.version = ConfigVersion{2};
    change(declaration);
    REQUIRE(entry.data_path->SetRouting(
        std::make_shared<const RoutingTable>(declaration)));
    entry.data_path->ConfirmRouting(MonotonicNow(), ConfigVersion{2},
                                    std::chrono::hours(1));
  }

  void RunFor(Duration time) {
    entry.RunUntil([] { return false; }, time);
  }

  ProxyEntry entry;
  std::vector<std::shared_ptr<LoopbackPeer>> running;
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
};

void DropService(RoutingDeclaration& declaration) {
  declaration.services = {{ServiceName("other"), 100, std::nullopt}};
  for (Route& route : declaration.routes) {
    route.split = {{ServiceName("other"), 1}};
  }
}

const std::vector<NamedChange>& Changes() {
  static const std::vector<NamedChange> kChanges = {
      {"service gone", DropService},
      {"routes gone",
       [](RoutingDeclaration& declaration) { declaration.routes.clear(); }},
      {"key gone",
       [](RoutingDeclaration& declaration) { declaration.accounts.clear(); }},
      {"one attempt",
       [](RoutingDeclaration& declaration) {
         for (Route& route : declaration.routes) {
           route.max_attempts = 1;
         }
       }},
      {"short timeout",
       [](RoutingDeclaration& declaration) {
         for (Route& route : declaration.routes) {
           route.timeout = std::chrono::milliseconds(100);
         }
       }},
      {"other kind",
       [](RoutingDeclaration& declaration) {
         for (Route& route : declaration.routes) {
           route.kind = RouteKind::kAtMostOnce;
           route.resumable = false;
         }
       }},
      {"small limits",
       [](RoutingDeclaration& declaration) {
         declaration.limits.max_body_bytes = 1;
         declaration.limits.header_timeout = std::chrono::milliseconds(100);
         declaration.limits.idle_timeout = std::chrono::milliseconds(100);
       }},
      {"engines", [](RoutingDeclaration& declaration) {
         declaration.services[0].engine = EngineDeclaration();
       }}};
  return kChanges;
}

}  // namespace

TEST_CASE("what runs at an upstream ends whole after any change of routes") {
  for (const NamedChange& change : Changes()) {
    CAPTURE(change.name);
    ChangingEntry changing;
    const auto ordinary = changing.Ask("/once/");
    const auto stream = changing.Ask("/stream/");
    REQUIRE(Receives(changing.entry, stream, "data: a"));
    changing.Put(change.apply);
    changing.RunFor(std::chrono::milliseconds(600));
    changing.running[0]->Send(MakeResponse("0", "whole"));
    changing.running[1]->Send(http::EncodeChunk("id: 2\ndata: b\n\n") +
                              "0\r\n\r\n");
    CHECK(Receives(changing.entry, ordinary, "whole"));
    CHECK(Receives(changing.entry, stream, "data: b"));
    CHECK(Receives(changing.entry, stream, "0\r\n\r\n"));
  }
}

TEST_CASE(
    "a request that waits for a service that is gone is refused at once") {
  ChangingEntry changing;
  const auto waiting = changing.AskUntilWaiting("/once/");
  changing.Put(DropService);
  const TimePoint changed = MonotonicNow();
  CHECK(Receives(changing.entry, waiting, "\r\n\r\n"));
  CHECK(MonotonicNow() - changed < std::chrono::milliseconds(500));
  CHECK(Contains(waiting->received(), "HTTP/1.1 503"));
  CHECK(Contains(waiting->received(), "Retry-After: "));
}

// Guards against a request that runs for an account that no longer has its key.
TEST_CASE("a request that waits while its key moves to another account") {
  ChangingEntry changing;
  const auto waiting = changing.AskUntilWaiting("/once/");
  const std::size_t before = changing.running.size();
  changing.Put([](RoutingDeclaration& declaration) {
    declaration.accounts = {{ClientAccountId("b"), {"k"}, std::nullopt}};
  });
  for (std::size_t i = 0; i < before; ++i) {
    changing.running[i]->Send(MakeResponse("w" + std::to_string(i), "served"));
  }
  CHECK(Receives(changing.entry, waiting, "\r\n\r\n"));
  CHECK(Contains(waiting->received(), "HTTP/1.1 503"));
  CHECK(Contains(waiting->received(), "Retry-After: "));
  CHECK(changing.running.size() == before);
}

TEST_CASE(
    "what waits is served after a change that keeps its service and key") {
  for (const NamedChange& change : Changes()) {
    if (change.name == "service gone" || change.name == "key gone") {
      continue;
    }
    CAPTURE(change.name);
    ChangingEntry changing;
    const auto waiting = changing.AskUntilWaiting("/once/");
    const std::size_t before = changing.running.size();
    changing.Put(change.apply);
    changing.RunFor(std::chrono::milliseconds(300));
    // A declaration of engines may change the number that fit.
    for (std::size_t i = 0; i < before; ++i) {
      changing.running[i]->Send(
          MakeResponse("w" + std::to_string(i), "served"));
    }
    REQUIRE(changing.entry.RunUntil(
        [&] { return changing.running.size() > before; }));
    changing.running.back()->Send(
        MakeResponse("w" + std::to_string(before), "served"));
    CHECK(Receives(changing.entry, waiting, "served"));
  }
}

TEST_CASE("what runs at an upstream ends whole after a change of its record") {
  for (const membership::InstanceState state :
       {membership::InstanceState::kReady, membership::InstanceState::kDraining,
        membership::InstanceState::kGone}) {
    for (const bool restarted : {false, true}) {
      CAPTURE(static_cast<int>(state));
      CAPTURE(restarted);
      ChangingEntry changing;
      const auto ordinary = changing.Ask("/once/");
      const auto stream = changing.Ask("/stream/");
      REQUIRE(Receives(changing.entry, stream, "data: a"));
      membership::InstanceRecord record;
      record.id = UpstreamId("u1");
      record.stamp = {restarted ? 7U : 1U, 9};
      record.service = ServiceName("s");
      record.endpoint = {"127.0.0.1", 1};
      record.failure_domain = FailureDomain("d");
      record.slots = 4;
      record.state = state;
      changing.entry.data_path->UpdateInstances({record});
      changing.RunFor(std::chrono::milliseconds(2300));
      changing.running[0]->Send(MakeResponse("0", "whole"));
      changing.running[1]->Send(http::EncodeChunk("id: 2\ndata: b\n\n") +
                                "0\r\n\r\n");
      CHECK(Receives(changing.entry, ordinary, "whole"));
      CHECK(Receives(changing.entry, stream, "0\r\n\r\n"));
    }
  }
}

}  // namespace rattanward::proxy
