#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/cut_path.h"
#include "fakes/proxy_entry.h"
#include "rattanward/proxy/relay_fields.h"

namespace rattanward::proxy {
namespace {

using fakes::Contains;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::MakeStopPlan;
using fakes::ProxyEntry;
using fakes::Receives;
using std::chrono::milliseconds;

void Ignore(LoopbackPeer& /*peer*/, const std::string& /*request*/) {}

void Wait(ProxyEntry& entry, Duration time) {
  entry.RunUntil([] { return false; }, time);
}

std::size_t CountOf(const ProxyEntry& entry, EventId id) {
  std::size_t count = 0;
  for (const Event& event : entry.events) {
    count += event.id == id ? 1U : 0U;
  }
  return count;
}

/// Adds an upstream that serves one request after the given time, and then
/// calls the handler.
LoopbackUpstream& AddUpstream(ProxyEntry& entry, Duration run_time,
                              const LoopbackUpstream::Handler& handler) {
  auto& upstream =
      entry.AddUpstream([&entry, run_time, handler](
                            LoopbackPeer& peer, const std::string& request) {
        if (IdOf(request) != "known") {
          handler(peer, request);
          return;
        }
        const auto timer =
            std::make_shared<asio::steady_timer>(entry.io, run_time);
        timer->async_wait(
            [timer, peer = peer.shared_from_this()](const asio::error_code&) {
              peer->Send(MakeResponse("known", "served"));
            });
      });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "known"));
  REQUIRE(Receives(entry, caller, "served"));
  return upstream;
}

/// Sends requests and waits until some are at upstreams and some wait.
std::vector<std::shared_ptr<LoopbackPeer>> FillQueue(ProxyEntry& entry,
                                                     const std::string& path) {
  constexpr std::size_t kRequests = 20;
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    callers.push_back(entry.ConnectCaller());
    callers.back()->Send(MakeRequest(path, std::to_string(i)));
  }
  REQUIRE(entry.RunUntil(
      [&] { return entry.data_path->open_requests() == kRequests; }));
  Wait(entry, milliseconds(50));
  REQUIRE(entry.data_path->waiting() > 0);
  return callers;
}

}  // namespace

TEST_CASE("a stopping entry does not begin what can not end in time") {
  ProxyEntry entry;
  const auto& upstream = AddUpstream(entry, milliseconds(1500), Ignore);
  entry.data_path->BeginShutdown(MakeStopPlan(milliseconds(1500)));
  const auto caller = Ask(entry, "/once/", "1");
  CHECK(Contains(caller->received(), "HTTP/1.1 503"));
  CHECK(Contains(caller->received(), "Retry-After: 0.250"));
  CHECK(upstream.requests().size() == 1);
  CHECK(CountOf(entry, EventId::kRequestStopped) == 1);
  CHECK(entry.data_path->counters().stopped_not_run == 1);
}

TEST_CASE("a stopping entry serves what can still end in time") {
  ProxyEntry entry;
  AddUpstream(entry, milliseconds(100),
              [](LoopbackPeer& peer, const std::string& request) {
                peer.Send(MakeResponse(IdOf(request), "in time"));
              });
  entry.data_path->BeginShutdown(MakeStopPlan(milliseconds(1500)));
  const auto caller = Ask(entry, "/once/", "1");
  CHECK(Receives(entry, caller, "in time"));
  CHECK(CountOf(entry, EventId::kRequestStopped) == 0);
}

TEST_CASE("requests in the queue are refused when they can not end in time") {
  ProxyEntry entry;
  AddUpstream(entry, milliseconds(400), Ignore);
  const auto callers = FillQueue(entry, "/once/");
  const std::size_t waiting = entry.data_path->waiting();
  const auto began = adapter::MonotonicNow();
  entry.data_path->BeginShutdown(MakeStopPlan(milliseconds(1500)));
  CHECK(entry.data_path->waiting() == waiting);
  CHECK(entry.RunUntil(
      [&] { return entry.data_path->counters().stopped_not_run == waiting; }));
  const Duration after = adapter::MonotonicNow() - began;
  CHECK(after > milliseconds(850));
  CHECK(after < milliseconds(1300));
  CHECK(entry.data_path->open_requests() == callers.size() - waiting);
}

TEST_CASE("the end of a stop promises nothing about what is at an upstream") {
  ProxyEntry entry;
  entry.AddUpstream(Ignore);
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(entry.RunUntil([&] { return entry.RequestCount() == 1; }));
  entry.data_path->BeginShutdown(MakeStopPlan());
  entry.data_path->EndOpen();
  CHECK(Receives(entry, caller, "HTTP/1.1 502"));
  CHECK(entry.RunUntil([&] { return caller->ended(); }));
  CHECK_FALSE(caller->reset());
  CHECK_FALSE(Contains(caller->received(), "Retry-After"));
  CHECK(entry.data_path->counters().stopped_maybe_run == 1);
}

TEST_CASE("the end of a stop refuses a request whose connection is not open") {
  ProxyEntry entry;
  const fakes::DroppingEndpoint dropping(entry.io);
  entry.AddRecord(1, dropping.endpoint());
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(entry.RunUntil(
      [&] { return CountOf(entry, EventId::kRequestDispatched) == 1; }));
  entry.data_path->BeginShutdown(MakeStopPlan());
  entry.data_path->EndOpen();
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(Contains(caller->received(), "Retry-After"));
  CHECK(entry.data_path->counters().stopped_not_run == 1);
}

TEST_CASE("the end of a stop cuts a stream so that it does not look complete") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(fakes::StreamHead(IdOf(request)) + "9\r\ndata: a\n\n\r\n");
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/stream/", "1"));
  REQUIRE(Receives(entry, caller, "data: a"));
  entry.data_path->BeginShutdown(MakeStopPlan());
  entry.data_path->EndOpen();
  CHECK(entry.RunUntil([&] { return caller->ended(); }));
  CHECK(caller->reset());
  CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
  CHECK(entry.data_path->counters().stopped_streams == 1);
}

TEST_CASE("a retry that waits at the end of a stop may have run") {
  ProxyEntry entry;
  std::map<std::string, std::shared_ptr<LoopbackPeer>> running;
  entry.AddUpstream([&](LoopbackPeer& peer, const std::string& request) {
    running[IdOf(request)] = peer.shared_from_this();
  });
  entry.AddUpstream(Ignore);
  const auto callers = FillQueue(entry, "/safe/");
  const auto [retried, connection] = *running.begin();
  connection->Close(true);
  REQUIRE(entry.RunUntil(
      [&] { return CountOf(entry, EventId::kRequestRetried) == 1; }));
  Wait(entry, milliseconds(50));
  const std::size_t ran = entry.RequestCount();
  entry.data_path->BeginShutdown(MakeStopPlan());
  entry.data_path->EndOpen();
  const auto& caller = callers[std::stoul(retried)];
  CHECK(Receives(entry, caller, "HTTP/1.1 502"));
  CHECK_FALSE(Contains(caller->received(), "Retry-After"));
  CHECK(entry.data_path->counters().stopped_maybe_run == ran);
  CHECK(entry.data_path->counters().stopped_not_run == callers.size() - ran);
}

TEST_CASE("an answer that has arrived at the end of a stop is passed on") {
  ProxyEntry entry;
  std::map<std::string, std::shared_ptr<LoopbackPeer>> running;
  entry.AddUpstream([&](LoopbackPeer& peer, const std::string& request) {
    running[IdOf(request)] = peer.shared_from_this();
  });
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(entry.ConnectCaller());
    callers.back()->Send(MakeRequest("/once/", std::to_string(i)));
  }
  REQUIRE(entry.RunUntil([&] { return running.size() == 4; }));
  entry.data_path->BeginShutdown(MakeStopPlan());
  for (const auto& [id, peer] : running) {
    peer->Send(MakeResponse(id, "arrived"));
  }
  entry.data_path->EndOpen();
  for (const auto& caller : callers) {
    CHECK(Receives(entry, caller, "arrived"));
  }
  CHECK(CountOf(entry, EventId::kRequestStopped) == 0);
}

TEST_CASE("an error that can not be retried before a stop is passed on") {
  ProxyEntry entry;
  std::shared_ptr<LoopbackPeer> running;
  AddUpstream(entry, milliseconds(600),
              [&](LoopbackPeer& peer, const std::string&) {
                running = peer.shared_from_this();
              });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/safe/", "1"));
  REQUIRE(entry.RunUntil([&] { return running != nullptr; }));
  entry.data_path->BeginShutdown(MakeStopPlan(milliseconds(500)));
  running->Send(MakeResponse("1", "an error", "signed: x\r\n", "500 Error"));
  CHECK(Receives(entry, caller, "an error"));
  CHECK(CountOf(entry, EventId::kRequestRetried) == 0);
}

TEST_CASE("an entry that stops tells truly whether another may serve") {
  ProxyEntry entry;
  entry.AddUpstream(Ignore);
  std::vector<std::shared_ptr<LoopbackPeer>> peers;
  for (int i = 0; i < 12; ++i) {
    http::RequestHead head;
    head.method = "POST";
    head.target = "/once/";
    head.fields.Add("Host", "h");
    head.fields.Add("key", "k");
    head.fields.Add("id", std::to_string(i));
    head.fields.Add("Content-Length", "0");
    AddRelayFields(RelayedRequest{ConfigVersion{1}, 0, {}}, &head.fields);
    peers.push_back(
        LoopbackPeer::Connect(entry.io, entry.data_path->relay_endpoint()));
    peers.back()->Send(Serialize(head));
  }
  REQUIRE(entry.RunUntil([&] {
    return entry.data_path->waiting() > 0 && entry.RequestCount() > 0 &&
           entry.data_path->open_requests() == 12;
  }));
  Wait(entry, milliseconds(50));
  const std::size_t waiting = entry.data_path->waiting();
  entry.data_path->BeginShutdown(MakeStopPlan());
  entry.data_path->EndOpen();
  std::size_t elsewhere = 0;
  for (const auto& peer : peers) {
    REQUIRE(Receives(entry, peer, "\r\n\r\n"));
    const std::string& answer = peer->received();
    const bool not_run = Contains(answer, "HTTP/1.1 503");
    elsewhere += not_run ? 1U : 0U;
    CHECK(not_run == Contains(answer, "Rattanward-Unable"));
    CHECK(not_run != Contains(answer, "HTTP/1.1 502"));
  }
  CHECK(elsewhere == waiting);
}

}  // namespace rattanward::proxy
