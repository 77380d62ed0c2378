#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/cut_path.h"
#include "fakes/proxy_entry.h"
#include "fakes/reserved_ports.h"
#include "rattanward/proxy/relay_fields.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using fakes::Contains;
using fakes::FieldOf;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::RefusingEndpoint;

void Serve(LoopbackPeer& peer, const std::string& request) {
  peer.Send(MakeResponse(IdOf(request), "served"));
}

/// Entries on loopback that run in turn.
struct Fleet {
  explicit Fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      entries.push_back(std::make_unique<ProxyEntry>());
    }
    for (const auto& entry : entries) {
      std::set<Endpoint> others;
      for (const auto& other : entries) {
        if (other != entry) {
          others.insert(other->data_path->relay_endpoint());
        }
      }
      entry->data_path->AddRelayPeers(others, {});
    }
  }

  ProxyEntry& operator[](std::size_t i) { return *entries[i]; }

  bool RunUntil(const std::function<bool()>& done,
                Duration limit = fakes::kTestLimit) {
    const TimePoint end = MonotonicNow() + limit;
    while (!done() && MonotonicNow() < end) {
      for (const auto& entry : entries) {
        entry->io.run_one_for(std::chrono::milliseconds(1));
      }
    }
    return done();
  }

  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }

  /// Sends a request to the first entry and returns its answer.
  std::string Ask(const std::string& path, const std::string& id) {
    const auto caller = entries[0]->ConnectCaller();
    caller->Send(MakeRequest(path, id));
    RunUntil([&] {
      return caller->ended() || Contains(caller->received(), "served") ||
             Contains(caller->received(), "HTTP/1.1 50");
    });
    return caller->received();
  }

  std::vector<std::unique_ptr<ProxyEntry>> entries;
};

std::size_t CountEvents(const ProxyEntry& entry, EventId id) {
  return static_cast<std::size_t>(
      std::count_if(entry.events.begin(), entry.events.end(),
                    [id](const Event& event) { return event.id == id; }));
}

}  // namespace

TEST_CASE("a relayed request is not relayed again") {
  asio::io_context io;
  Fleet fleet(3);
  const Endpoint refusing = RefusingEndpoint();
  for (const auto& entry : fleet.entries) {
    entry->AddRecord(1, refusing);
    entry->AddRecord(2, refusing);
  }
  const std::string answer = fleet.Ask("/once/", "0");
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After: "));
  CHECK(CountEvents(fleet[0], EventId::kRequestRelayed) >= 2);
  CHECK(CountEvents(fleet[1], EventId::kRequestRelayed) == 0);
  CHECK(CountEvents(fleet[2], EventId::kRequestRelayed) == 0);
}

TEST_CASE("a request is not relayed to older routes") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  const auto& upstream = fleet[1].AddUpstream(Serve);
  RoutingDeclaration newer = fakes::MakeDeclaration();
  newer.version = ConfigVersion{2};
  fleet[0].data_path->SetRouting(std::make_shared<const RoutingTable>(newer));
  fleet[0].data_path->ConfirmRouting(MonotonicNow(), ConfigVersion{2},
                                     std::chrono::hours(1));
  CHECK(Contains(fleet.Ask("/once/", "0"), "HTTP/1.1 503"));
  CHECK(upstream.requests().empty());
  fleet[1].data_path->SetRouting(std::make_shared<const RoutingTable>(newer));
  fleet[1].data_path->ConfirmRouting(MonotonicNow(), ConfigVersion{2},
                                     std::chrono::hours(1));
  fleet.RunFor(std::chrono::milliseconds(1100));
  CHECK(Contains(fleet.Ask("/once/", "1"), "served"));
}

TEST_CASE("an entry that stops takes no relayed request") {
  asio::io_context io;
  Fleet fleet(3);
  fleet[0].AddRecord(1, RefusingEndpoint());
  const auto& stopping = fleet[1].AddUpstream(Serve);
  const auto& other = fleet[2].AddUpstream(Serve);
  fleet[1].data_path->BeginShutdown(fakes::MakeStopPlan());
  for (int i = 0; i < 6; ++i) {
    CHECK(Contains(fleet.Ask("/once/", std::to_string(i)), "served"));
  }
  CHECK(stopping.requests().empty());
  CHECK(other.requests().size() == 6);
}

TEST_CASE("a relayed request that broke off is not sent again") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  const auto& upstream =
      fleet[1].AddUpstream([](LoopbackPeer&, const std::string&) {});
  LoopbackUpstream peer(
      io, [](LoopbackPeer& from, const std::string&) { from.Close(true); });
  // The only entry that it knows takes the request and breaks off.
  Fleet alone(1);
  alone[0].AddRecord(1, RefusingEndpoint());
  alone[0].data_path->AddRelayPeers({peer.endpoint()}, {});
  const auto caller = alone[0].ConnectCaller();
  caller->Send(MakeRequest("/once/", "0"));
  alone.RunUntil([&] {
    io.poll();
    return Contains(caller->received(), "HTTP/1.1 502");
  });
  CHECK(Contains(caller->received(), "HTTP/1.1 502"));
  CHECK(peer.requests().size() == 1);
  CHECK(upstream.requests().empty());
}

TEST_CASE("a caller that leaves ends its relayed request at the upstream") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  const auto& upstream =
      fleet[1].AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = fleet[0].ConnectCaller();
  caller->Send(MakeRequest("/once/", "0"));
  REQUIRE(fleet.RunUntil([&] { return upstream.requests().size() == 1; }));
  caller->Close();
  CHECK(fleet.RunUntil([&] { return upstream.connections()[0]->ended(); },
                       std::chrono::milliseconds(400)));
}

TEST_CASE("an upstream's own failure comes back as it is") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  fleet[1].AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "no", "signed: x\r\n", "500 Failed"));
  });
  const std::string answer = fleet.Ask("/once/", "0");
  CHECK(Contains(answer, "HTTP/1.1 500"));
  CHECK(Contains(answer, "signed: x"));
  CHECK_FALSE(Contains(answer, "Rattanward-"));
}

TEST_CASE("what an upstream gets of a relayed request is as from its caller") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  const auto& upstream = fleet[1].AddUpstream(Serve);
  CHECK(Contains(fleet.Ask("/once/", "0"), "served"));
  REQUIRE(upstream.requests().size() == 1);
  const std::string& request = upstream.requests()[0];
  CHECK_FALSE(Contains(request, "Rattanward-"));
  CHECK(FieldOf(request, "account") == "a");
  CHECK(FieldOf(request, "expected") == "u1");
  CHECK(std::stol(FieldOf(request, "wait-ms")) <= 5000);
}

TEST_CASE("an upstream that leaves by a relayed answer gets no more") {
  asio::io_context io;
  Fleet fleet(2);
  fleet[0].AddRecord(1, RefusingEndpoint());
  fleet[1].AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(
        MakeResponse(IdOf(request), "served", "signed: x\r\nleaving: 1\r\n"));
  });
  CHECK(Contains(fleet.Ask("/once/", "0"), "served"));
  REQUIRE(fleet[0].leaving.size() == 1);
  CHECK(fleet[0].leaving[0] == membership::InstanceStart{UpstreamId("u1"), 1});
}

TEST_CASE("a lost path is no crash of an upstream that others reach") {
  for (const bool reached_by_other : {true, false}) {
    CAPTURE(reached_by_other);
    asio::io_context io;
    Fleet fleet(2);
    std::shared_ptr<LoopbackPeer> last;
    auto& upstream =
        fleet[0].AddUpstream([&](LoopbackPeer& peer, const std::string&) {
          last = peer.shared_from_this();
        });
    LoopbackUpstream sound(fleet[1].io, Serve);
    const Endpoint other_way =
        reached_by_other ? sound.endpoint() : RefusingEndpoint();
    // Others in order, so that the other entry can tell.
    for (std::size_t i = 2; i <= 4; ++i) {
      fleet[1].AddRecord(i, sound.endpoint());
    }
    fleet[1].AddRecord(1, other_way);
    const auto caller = fleet[0].ConnectCaller();
    caller->Send(MakeRequest("/once/", "0"));
    REQUIRE(fleet.RunUntil([&] { return last != nullptr; }));
    upstream.Stop();
    last->Close(true);
    fleet.RunFor(std::chrono::milliseconds(1500));
    CHECK(fleet[0].witnesses.size() == (reached_by_other ? 0 : 1));
  }
}

TEST_CASE("a stream whose path is lost goes on through another entry") {
  Fleet fleet(2);
  std::shared_ptr<LoopbackPeer> begun;
  auto& silent = fleet[0].AddUpstream(
      [&](LoopbackPeer& peer, const std::string& request) {
        peer.Send(fakes::StreamHead(IdOf(request)) +
                  http::EncodeChunk("id: 1\ndata: a\n\n"));
        begun = peer.shared_from_this();
      },
      "v1");
  asio::io_context io;
  fleet[0].AddRecord(2, RefusingEndpoint(), "v1");
  std::string after;
  fleet[1].AddUpstream(
      [&](LoopbackPeer& peer, const std::string& request) {
        after = FieldOf(request, "after");
        peer.Send(fakes::StreamHead(IdOf(request)) +
                  http::EncodeChunk("id: 2\ndata: served\n\n") + "0\r\n\r\n");
      },
      "v1");
  const auto caller = fleet[0].ConnectCaller();
  caller->Send(MakeRequest("/resume/", "0"));
  REQUIRE(
      fleet.RunUntil([&] { return Contains(caller->received(), "data: a"); }));
  silent.Stop();
  CHECK(
      fleet.RunUntil([&] { return Contains(caller->received(), "0\r\n\r\n"); },
                     std::chrono::milliseconds(4000)));
  CHECK(Contains(caller->received(), "data: served"));
  CHECK(after == "1");
}

TEST_CASE("a stream that no entry could go on with gets no second answer") {
  asio::io_context io;
  Fleet fleet(2);
  std::shared_ptr<LoopbackPeer> begun;
  auto& first = fleet[0].AddUpstream(
      [&](LoopbackPeer& peer, const std::string& request) {
        peer.Send(fakes::StreamHead(IdOf(request)) +
                  http::EncodeChunk("id: 1\ndata: a\n\n"));
        begun = peer.shared_from_this();
      },
      "v1");
  fleet[0].AddRecord(9, RefusingEndpoint(), "v1");
  fleet[1].AddRecord(9, RefusingEndpoint(), "v1");
  const auto caller = fleet[0].ConnectCaller();
  caller->Send(MakeRequest("/resume/", "0"));
  REQUIRE(
      fleet.RunUntil([&] { return Contains(caller->received(), "data: a"); }));
  first.Stop();
  begun->Close(true);
  REQUIRE(fleet.RunUntil([&] {
    return CountEvents(fleet[0], EventId::kRequestRelayed) > 0 &&
           fleet[0].data_path->waiting() > 0;
  }));
  fleet[0].AddUpstream(
      [](LoopbackPeer& peer, const std::string& request) {
        peer.Send(
            MakeResponse(IdOf(request), "no", "signed: x\r\n", "500 Failed"));
      },
      "v1");
  REQUIRE(fleet.RunUntil([&] { return caller->ended(); }));
  CHECK_FALSE(Contains(caller->received(), "HTTP/1.1 500"));
  CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("relay fields survive the way and are removed at its end") {
  http::Fields fields;
  const RelayedRequest request{ConfigVersion{7}, 2, "v1"};
  AddRelayFields(request, &fields);
  CHECK(TakeRelayedRequest(&fields) == request);
  CHECK(fields.all().empty());
  const RelayedResponse response{true, {{UpstreamId("u"), 9}}};
  AddRelayFields(response, &fields);
  CHECK(TakeRelayedResponse(&fields) == response);
  CHECK(fields.all().empty());
}

TEST_CASE("a malformed relay field makes no relayed request") {
  for (const char* routes : {"", "-1", "1x", "99999999999999999999"}) {
    http::Fields fields;
    fields.Set("Rattanward-Routes", routes);
    fields.Set("Rattanward-Attempts", "0");
    CHECK_FALSE(TakeRelayedRequest(&fields).has_value());
  }
}

}  // namespace rattanward::proxy
