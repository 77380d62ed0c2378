#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::Ask;
using fakes::Contains;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;

const std::string kLeaving = "leaving: 1\r\n";

/// Answers every request well.
void AnswerWell(LoopbackPeer& peer, const std::string& request) {
  peer.Send(MakeResponse(IdOf(request), "from the other"));
}

membership::InstanceRecord RecordOf(const ProxyEntry& entry,
                                    std::size_t upstream,
                                    membership::InstanceStamp stamp) {
  membership::InstanceRecord record;
  record.id = UpstreamId("u" + std::to_string(upstream + 1));
  record.stamp = stamp;
  record.service = ServiceName("s");
  record.endpoint = entry.upstreams[upstream]->endpoint();
  record.failure_domain = FailureDomain("d");
  record.slots = 4;
  return record;
}

}  // namespace

TEST_CASE("an upstream that says in any answer that it leaves gets no more") {
  struct Case {
    const char* name;
    const char* path;
    std::string answer;
  };
  const std::string stream_head = "HTTP/1.1 200 OK\r\nid: 0\r\nsigned: x\r\n" +
                                  kLeaving +
                                  "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"success", "/once/",
       MakeResponse("0", "ok", "signed: x\r\n" + kLeaving)},
      {"head of a stream that goes on", "/stream/",
       stream_head + http::EncodeChunk("data: a\n\n")},
      {"error", "/once/",
       MakeResponse("0", "no", "signed: x\r\n" + kLeaving, "500 Error")},
      {"rejection", "/once/",
       MakeResponse("0", "", "not-run: 1\r\n" + kLeaving, "503 Full")},
      {"skipped copy of another answer", "/once/",
       MakeResponse("9", "late", "signed: x\r\n" + kLeaving) +
           MakeResponse("0", "ok")},
      {"interim answer", "/once/",
       "HTTP/1.1 102 Processing\r\n" + kLeaving + "\r\n" +
           MakeResponse("0", "ok")},
  };
  for (const Case& one : cases) {
    CAPTURE(one.name);
    ProxyEntry entry;
    auto& leaving = entry.AddUpstream(
        [&](LoopbackPeer& peer, const std::string&) { peer.Send(one.answer); });
    const auto first = entry.ConnectCaller();
    first->Send(MakeRequest(one.path, "0"));
    REQUIRE(entry.RunUntil([&] {
      return Contains(first->received(), "\r\n\r\n") ||
             entry.data_path->waiting() > 0;
    }));
    entry.AddUpstream(AnswerWell);
    for (int i = 1; i < 6; ++i) {
      Ask(entry, "/once/", std::to_string(i));
    }
    // Its own heartbeats don't bring it back.
    entry.data_path->UpdateInstances({RecordOf(entry, 0, {1, 99})});
    for (int i = 6; i < 12; ++i) {
      Ask(entry, "/once/", std::to_string(i));
    }
    CHECK(leaving.requests().size() == 1);
    REQUIRE(entry.leaving.size() == 1);
    CHECK(entry.leaving[0] == membership::InstanceStart{UpstreamId("u1"), 1});
  }
}

TEST_CASE("the next start of an upstream that left is free at once") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        const bool old = IdOf(request) == "0";
        peer.Send(MakeResponse(IdOf(request), "ok",
                               "signed: x\r\n" + (old ? kLeaving : "")));
      });
  Ask(entry, "/once/", "0");
  entry.data_path->UpdateInstances({RecordOf(entry, 0, {2, 1})});
  CHECK(Receives(entry, Ask(entry, "/once/", "1"), "ok"));
  CHECK(upstream.requests().size() == 2);
}

TEST_CASE("a late answer of an older start marks that start only") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        if (IdOf(request) != "0") {
          peer.Send(MakeResponse(IdOf(request), "ok"));
        }
      });
  const auto late = entry.ConnectCaller();
  late->Send(MakeRequest("/once/", "0"));
  REQUIRE(entry.RunUntil([&] { return upstream.requests().size() == 1; }));
  entry.data_path->UpdateInstances({RecordOf(entry, 0, {2, 1})});
  upstream.connections()[0]->Send(
      MakeResponse("0", "late", "signed: x\r\n" + kLeaving));
  REQUIRE(Receives(entry, late, "late"));
  CHECK(Receives(entry, Ask(entry, "/once/", "1"), "ok"));
}

TEST_CASE("an upstream that asks for back-off gets nothing for that time") {
  ProxyEntry entry;
  auto& busy = entry.AddUpstream([](LoopbackPeer& peer,
                                    const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "",
                           "not-run: 1\r\nbackoff-ms: 60000\r\n", "503 Busy"));
  });
  CHECK(Contains(Ask(entry, "/once/", "0")->received(), "HTTP/1.1 503"));
  for (int i = 1; i < 4; ++i) {
    entry.RunUntil([&] { return false; }, std::chrono::milliseconds(100));
    CHECK(Contains(Ask(entry, "/once/", std::to_string(i))->received(),
                   "HTTP/1.1 503"));
  }
  CHECK(busy.requests().size() == 1);
  entry.AddUpstream(AnswerWell);
  CHECK(Receives(entry, Ask(entry, "/once/", "9"), "other"));
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("back-off that is asked for as the deadline passes is heeded") {
  ProxyEntry entry;
  std::vector<std::shared_ptr<LoopbackPeer>> held;
  auto& busy = entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
    held.push_back(peer.shared_from_this());
  });
  const auto late = entry.ConnectCaller();
  late->Send(MakeRequest("/quick/", "0"));
  // The upstream drops it at the deadline that it was told, and says so later
  // by the way of the answer.
  REQUIRE(Receives(entry, late, "HTTP/1.1 504"));
  held[0]->Send(
      MakeResponse("0", "", "not-run: 1\r\nbackoff-ms: 3000\r\n", "503 Busy"));
  entry.RunUntil([] { return false; }, std::chrono::milliseconds(600));
  for (int i = 1; i < 5; ++i) {
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/quick/", std::to_string(i)));
    entry.RunUntil([&] { return Contains(caller->received(), "HTTP/1.1 50"); });
  }
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("a request that an upstream turned away goes to another at once") {
  ProxyEntry entry;
  bool turned_away = false;
  const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
    if (!turned_away) {
      turned_away = true;
      peer.Send(MakeResponse(IdOf(request), "",
                             "not-run: 1\r\nbackoff-ms: 60000\r\n",
                             "503 Busy"));
      return;
    }
    AnswerWell(peer, request);
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  // Its route allows no second attempt; the first one has not run.
  CHECK(Receives(entry, Ask(entry, "/single/", "0"), "other"));
}

TEST_CASE("where every upstream asks for back-off, callers get its end") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "",
                           "not-run: 1\r\nbackoff-ms: 3000\r\n", "503 Busy"));
  });
  Ask(entry, "/once/", "0");
  // More than half of the 5 s that the request has are left to wait.
  const auto caller = Ask(entry, "/once/", "1");
  CHECK(Contains(caller->received(), "HTTP/1.1 503"));
  CHECK(Contains(caller->received(), "Retry-After: "));
  CHECK(entry.RequestCount() == 1);
}

TEST_CASE("what runs at an upstream ends whole after any signal of it") {
  const std::vector<std::string> signals = {
      "leaving: 1\r\n", "backoff-ms: 1000\r\nnot-run: 1\r\n", "not-run: 1\r\n",
      "limit: 0\r\n", "rejection-limit: 1\r\n"};
  for (const std::string& signal : signals) {
    CAPTURE(signal);
    ProxyEntry entry;
    std::vector<std::shared_ptr<LoopbackPeer>> running;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string& request) {
      running.push_back(peer.shared_from_this());
      if (IdOf(request) == "1") {
        peer.Send(fakes::StreamHead("1") +
                  http::EncodeChunk("id: 1\ndata: a\n\n"));
      } else if (IdOf(request) == "2") {
        peer.Send(MakeResponse("2", "no", signal, "503 Busy"));
      }
    });
    const auto ordinary = entry.ConnectCaller();
    ordinary->Send(MakeRequest("/once/", "0"));
    const auto stream = entry.ConnectCaller();
    stream->Send(MakeRequest("/stream/", "1"));
    REQUIRE(Receives(entry, stream, "data: a"));
    const auto signalled = entry.ConnectCaller();
    signalled->Send(MakeRequest("/single/", "2"));
    CHECK(Receives(entry, signalled, "\r\n\r\n"));
    entry.RunUntil([] { return false; }, std::chrono::milliseconds(300));
    REQUIRE(running.size() == 3);
    running[0]->Send(MakeResponse("0", "whole"));
    running[1]->Send(http::EncodeChunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    CHECK(Receives(entry, ordinary, "whole"));
    CHECK(Receives(entry, stream, "0\r\n\r\n"));
  }
}

}  // namespace rattanward::proxy
