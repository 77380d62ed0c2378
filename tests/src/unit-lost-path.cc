#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fakes/cut_path.h"
#include "fakes/proxy_entry.h"
#include "fakes/reserved_ports.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using fakes::Contains;
using fakes::DroppingEndpoint;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;
using fakes::RefusingEndpoint;
using fakes::StreamHead;

constexpr std::size_t kUpstreams = 6;

/// An entry without a path to any upstream, and one that has a path to all.
struct TwoEntries {
  /// @param cut Address by which the first entry knows every upstream.
  explicit TwoEntries(const Endpoint& cut_endpoint, bool has_peer = true) {
    for (std::size_t i = 1; i <= kUpstreams; ++i) {
      reaching.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        peer.Send(MakeResponse(IdOf(request), "served"));
      });
      cut.AddRecord(i, cut_endpoint);
    }
    if (has_peer) {
      cut.data_path->AddRelayPeers({reaching.data_path->relay_endpoint()}, {});
    }
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration limit = fakes::kTestLimit) {
    const TimePoint end = MonotonicNow() + limit;
    while (!done() && MonotonicNow() < end) {
      cut.io.run_one_for(std::chrono::milliseconds(1));
      reaching.io.run_one_for(std::chrono::milliseconds(1));
    }
    return done();
  }

  /// Sends a request to the entry without paths and returns its answer.
  std::string Ask(const std::string& path, const std::string& id) {
    const auto caller = cut.ConnectCaller();
    caller->Send(MakeRequest(path, id));
    RunUntil([&] {
      return caller->ended() || Contains(caller->received(), "served") ||
             Contains(caller->received(), "\n\r\n");
    });
    return caller->received();
  }

  ProxyEntry cut;
  ProxyEntry reaching;
};

/// An entry with an upstream that begins requests and answers them when the
/// test says so.
struct SilentUpstream {
  /// @param first First event of each answer; no head if empty.
  explicit SilentUpstream(const std::string& first, double fixed_retries = 100)
      : entry(std::chrono::seconds(60), fixed_retries) {
    upstream = &entry.AddUpstream(
        [this, first](LoopbackPeer& peer, const std::string& request) {
          running.push_back(peer.shared_from_this());
          if (!first.empty()) {
            peer.Send(StreamHead(IdOf(request)) + http::EncodeChunk(first));
          }
        },
        "v1");
  }

  /// Sends a request and waits until the upstream has it.
  std::shared_ptr<LoopbackPeer> Ask(const std::string& path) {
    const std::size_t before = running.size();
    auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest(path, std::to_string(before)));
    REQUIRE(entry.RunUntil([&] { return running.size() > before; }));
    return caller;
  }

  /// Cuts the path, and waits for longer than the silence after which a request
  /// may be sent on.
  void CutAndWait() {
    upstream->Stop();
    entry.RunUntil([] { return false; }, std::chrono::milliseconds(2300));
    REQUIRE(std::any_of(
        entry.events.begin(), entry.events.end(),
        [](const Event& event) { return event.id == EventId::kPathLost; }));
  }

  void Answer(std::size_t request) {
    running[request]->Send(MakeResponse(std::to_string(request), "served"));
  }

  void EndStream() {
    running[0]->Send(http::EncodeChunk("data: served\n\n") + "0\r\n\r\n");
  }

  ProxyEntry entry;
  fakes::LoopbackUpstream* upstream = nullptr;
  std::vector<std::shared_ptr<LoopbackPeer>> running;
};

void ServeOther(LoopbackPeer& peer, const std::string& request) {
  peer.Send(MakeResponse(IdOf(request), "other"));
}

/// Answers of 200 to requests of several kinds, one after the other.
std::size_t CountServed(TwoEntries& entries, std::size_t requests) {
  const std::vector<std::string> paths = {"/safe/", "/once/", "/single/"};
  std::size_t served = 0;
  for (std::size_t i = 0; i < requests; ++i) {
    const std::string answer =
        entries.Ask(paths[i % paths.size()], std::to_string(i));
    served += Contains(answer, "HTTP/1.1 200") ? 1 : 0;
  }
  return served;
}

}  // namespace

TEST_CASE("callers of an entry that upstreams refuse are served by relay") {
  asio::io_context io;
  TwoEntries entries(RefusingEndpoint());
  CHECK(CountServed(entries, 12) == 12);
}

TEST_CASE("callers of an entry whose connections hang are served by relay") {
  asio::io_context io;
  const DroppingEndpoint dropping(io);
  TwoEntries entries(dropping.endpoint());
  const TimePoint begun = MonotonicNow();
  CHECK(CountServed(entries, 12) == 12);
  // One connection attempt hangs for up to 0.5 s; later requests don't try.
  CHECK(MonotonicNow() - begun < std::chrono::seconds(3));
}

TEST_CASE("without any path, a request is refused before half of its time") {
  asio::io_context io;
  const DroppingEndpoint dropping(io);
  TwoEntries entries(dropping.endpoint(), false);
  const TimePoint begun = MonotonicNow();
  const std::string answer = entries.Ask("/once/", "0");
  CHECK(Contains(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After: "));
  CHECK(MonotonicNow() - begun < std::chrono::milliseconds(2700));
}

TEST_CASE("silence at a lost path doesn't end a sole upstream's answer") {
  SilentUpstream silent("");
  const auto caller = silent.Ask("/safe/");
  silent.CutAndWait();
  silent.Answer(0);
  CHECK(Receives(silent.entry, caller, "served"));
}

TEST_CASE("silence at a lost path doesn't end a stream without event ids") {
  SilentUpstream silent("data: a\n\n");
  const auto caller = silent.Ask("/resume/");
  silent.entry.AddUpstream(ServeOther, "v1");
  silent.CutAndWait();
  silent.EndStream();
  CHECK(Receives(silent.entry, caller, "served"));
  CHECK(Receives(silent.entry, caller, "0\r\n\r\n"));
}

TEST_CASE("silence at a lost path doesn't end a stream of a sole version") {
  SilentUpstream silent("id: 1\ndata: a\n\n");
  const auto caller = silent.Ask("/resume/");
  silent.entry.AddUpstream(ServeOther, "v2");
  silent.CutAndWait();
  silent.EndStream();
  CHECK(Receives(silent.entry, caller, "served"));
  CHECK(Receives(silent.entry, caller, "0\r\n\r\n"));
}

TEST_CASE("silence at a lost path doesn't end a stream that can't be relayed") {
  SilentUpstream silent("id: 1\ndata: a\n\n");
  ProxyEntry peer;
  silent.entry.data_path->AddRelayPeers({peer.data_path->relay_endpoint()}, {});
  const auto caller = silent.Ask("/resume/");
  silent.CutAndWait();
  silent.EndStream();
  CHECK(Receives(silent.entry, caller, "served"));
  CHECK(Receives(silent.entry, caller, "0\r\n\r\n"));
}

TEST_CASE("silence at a lost path doesn't end an answer without retry budget") {
  SilentUpstream silent("", 0);
  const auto first = silent.Ask("/safe/");
  const auto second = silent.Ask("/safe/");
  silent.entry.AddUpstream(ServeOther, "v1");
  silent.CutAndWait();
  silent.Answer(0);
  silent.Answer(1);
  for (const auto& caller : {first, second}) {
    CHECK(Receives(silent.entry, caller, "HTTP/1.1 200"));
  }
  // The budget allows one.
  CHECK(silent.entry.upstreams[1]->requests().size() == 1);
}

TEST_CASE(
    "silence at a lost path doesn't end an answer while others are full") {
  SilentUpstream silent("");
  const auto caller = silent.Ask("/safe/");
  auto& other =
      silent.entry.AddUpstream([](LoopbackPeer&, const std::string&) {}, "v1");
  silent.upstream->Stop();
  std::vector<std::shared_ptr<LoopbackPeer>> others;
  for (int i = 0; i < 40 && silent.entry.data_path->waiting() == 0; ++i) {
    others.push_back(silent.entry.ConnectCaller());
    others.back()->Send(MakeRequest("/once/", "o" + std::to_string(i)));
    silent.entry.RunUntil([] { return false; }, std::chrono::milliseconds(20));
  }
  REQUIRE(silent.entry.data_path->waiting() > 0);
  const std::size_t filled = other.requests().size();
  silent.CutAndWait();
  silent.Answer(0);
  CHECK(Receives(silent.entry, caller, "served"));
  CHECK(other.requests().size() == filled);
}

TEST_CASE("a request at a lost path goes on where an upstream has room") {
  SilentUpstream silent("");
  const auto caller = silent.Ask("/safe/");
  silent.entry.AddUpstream(ServeOther, "v1");
  silent.CutAndWait();
  CHECK(Receives(silent.entry, caller, "other"));
  CHECK(silent.running[0]->ended());
}

}  // namespace rattanward::proxy
