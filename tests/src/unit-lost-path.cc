#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/cut_path.h"
#include "fakes/proxy_entry.h"

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
using fakes::RefusingEndpoint;

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
  TwoEntries entries(RefusingEndpoint(io));
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

}  // namespace rattanward::proxy
