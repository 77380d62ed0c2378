#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::Ask;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;

/// Requests that an upstream may get in a time since it named its limit.
double Allowed(double per_second, Duration passed) {
  constexpr double kExcess = 1.5;
  constexpr double kSpare = 5;
  const std::chrono::duration<double> seconds = passed;
  return kExcess * per_second * seconds.count() + kSpare;
}

}  // namespace

TEST_CASE("an upstream gets no more requests than the limit it named") {
  ProxyEntry entry;
  auto& limited = entry.AddUpstream([](LoopbackPeer& peer,
                                       const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "ok", "signed: x\r\nlimit: 1\r\n"));
  });
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "ok"));
  });
  const TimePoint start = adapter::MonotonicNow();
  for (int i = 0; i < 40; ++i) {
    REQUIRE(Receives(entry, Ask(entry, "/once/", std::to_string(i)), "ok"));
  }
  CHECK(static_cast<double>(limited.requests().size()) <=
        Allowed(1, adapter::MonotonicNow() - start));
}

TEST_CASE("where every upstream is at its limit, callers are refused at once") {
  ProxyEntry entry;
  auto& limited = entry.AddUpstream([](LoopbackPeer& peer,
                                       const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "ok", "signed: x\r\nlimit: 0.1\r\n"));
  });
  REQUIRE(Receives(entry, Ask(entry, "/once/", "0"), "ok"));
  for (const char* path : {"/once/", "/safe/", "/stream/", "/resume/"}) {
    const auto caller = Ask(entry, path, "1");
    CHECK(fakes::Contains(caller->received(), "HTTP/1.1 503"));
    CHECK(fakes::Contains(caller->received(), "Retry-After: "));
  }
  CHECK(limited.requests().size() == 1);
}

TEST_CASE("a stream that breaks is not resumed beyond an upstream's limit") {
  ProxyEntry entry;
  std::vector<LoopbackUpstream*> upstreams;
  upstreams.reserve(3);
  for (int i = 0; i < 3; ++i) {
    upstreams.push_back(
        &entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
          peer.Send("HTTP/1.1 200 OK\r\nid: " + IdOf(request) +
                    "\r\nsigned: x\r\nlimit: 0.1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" +
                    http::EncodeChunk("id: 1\ndata: a\n\n"));
          peer.Close();
        }));
  }
  for (int i = 0; i < 6; ++i) {
    Ask(entry, "/resume/", std::to_string(i));
  }
  entry.RunUntil([] { return false; }, std::chrono::milliseconds(200));
  for (const LoopbackUpstream* upstream : upstreams) {
    CHECK(upstream->requests().size() <= 1);
  }
}

TEST_CASE("an upstream that names a rejection limit gets this entry's part") {
  ProxyEntry entry;
  auto& upstream = entry.AddUpstream([](LoopbackPeer& peer,
                                        const std::string& request) {
    if (IdOf(request) == "0") {
      peer.Send(MakeResponse("0", "ok", "signed: x\r\nrejection-limit: 1\r\n"));
    }
  });
  REQUIRE(Receives(entry, Ask(entry, "/once/", "0"), "ok"));
  CHECK(entry.data_path->Limits().front().limit.rejection_limit == 1);
  // Two entries share three of its four slots; this one has the larger part.
  const auto share_room = [&] {
    const TimePoint now = adapter::MonotonicNow();
    entry.data_path->ConfirmRouting(now, ConfigVersion{1},
                                    std::chrono::hours(1));
    entry.data_path->SetRoomShare({0, 2}, now);
    return false;
  };
  entry.RunUntil(share_room, std::chrono::milliseconds(5200));
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
  for (int i = 1; i <= 6; ++i) {
    callers.push_back(entry.ConnectCaller());
    callers.back()->Send(fakes::MakeRequest("/once/", std::to_string(i)));
  }
  entry.RunUntil(share_room, std::chrono::milliseconds(300));
  CHECK(upstream.requests().size() == 3);
}

TEST_CASE("only an upstream's own answer withdraws its limit") {
  struct Case {
    const char* name;
    std::string answer;
    bool limited;
  };
  const std::vector<Case> cases = {
      {"own answer", MakeResponse("1", "two"), false},
      {"malformed limit",
       MakeResponse("1", "two", "signed: x\r\nlimit: soon\r\n"), true},
      {"no signature", MakeResponse("1", "two", "", "404 No"), true},
      {"misdirected",
       MakeResponse("1", "two", "signed: x\r\nnot-run: 1\r\nlimit: 9\r\n",
                    "421 Other"),
       true}};
  for (const Case& one : cases) {
    CAPTURE(one.name);
    ProxyEntry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string& request) {
      peer.Send(IdOf(request) == "0"
                    ? MakeResponse("0", "one", "signed: x\r\nlimit: 100\r\n")
                    : one.answer);
    });
    REQUIRE(Receives(entry, Ask(entry, "/single/", "0"), "one"));
    REQUIRE(entry.limits.size() == 1);
    entry.data_path->SetLimitShares({{UpstreamId("u1"), 1, 1}},
                                    adapter::MonotonicNow());
    Ask(entry, "/single/", "1");
    CHECK(entry.data_path->Limits().front().limit.limited == one.limited);
  }
}

TEST_CASE("the next start of an upstream has no limit until it names one") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        const bool old = IdOf(request) == "0";
        peer.Send(MakeResponse(
            IdOf(request), "ok",
            old ? "signed: x\r\nlimit: 0.1\r\n" : "signed: x\r\n"));
      });
  Ask(entry, "/once/", "0");
  membership::InstanceRecord next;
  next.id = UpstreamId("u1");
  next.stamp = {2, 1};
  next.service = ServiceName("s");
  next.endpoint = upstream.endpoint();
  next.failure_domain = FailureDomain("d");
  next.slots = 4;
  entry.data_path->UpdateInstances({next});
  for (int i = 1; i < 9; ++i) {
    CHECK(Receives(entry, Ask(entry, "/once/", std::to_string(i)), "ok"));
  }
}

}  // namespace rattanward::proxy
