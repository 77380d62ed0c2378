#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "fakes/proxy_entry.h"
#include "rattanward/policy/abandoned_runs.h"

namespace rattanward::proxy {
namespace {

using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;
using membership::InstanceState;
using std::chrono::milliseconds;

/// An entry whose request was let go of by its caller while its upstream ran
/// it.
class LeftRequest {
 public:
  LeftRequest() {
    entry_.AddUpstream([](LoopbackPeer&, const std::string&) {});
    endpoint_ = entry_.upstreams[0]->endpoint();
    const auto caller = entry_.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1", "body", "66 67"));
    REQUIRE(entry_.RunUntil([&] { return entry_.RequestCount() == 1; }));
    caller->Close();
    REQUIRE(entry_.RunUntil([&] { return LastLogged(EventId::kCallerLeft); }));
    CHECK(entry_.witnesses.empty());
  }

  ProxyEntry& entry() { return entry_; }

  /// Tells of the upstream, or of another start.
  void Tell(const std::string& id, std::uint64_t born, InstanceState state,
            bool silent = false) {
    membership::InstanceRecord record;
    record.id = UpstreamId(id);
    record.stamp = {born, 9};
    record.service = ServiceName("s");
    record.endpoint = endpoint_;
    record.state = state;
    record.silent = silent;
    entry_.data_path->UpdateInstances({record});
  }

  bool IsWitness() {
    const auto counts = [&] {
      return entry_.witnesses.size() == 1 && !entry_.suspicions.empty();
    };
    return entry_.RunUntil(counts, milliseconds(2000));
  }

 private:
  bool LastLogged(EventId id) const {
    return !entry_.events.empty() && entry_.events.back().id == id;
  }

  ProxyEntry entry_;
  Endpoint endpoint_;
};

}  // namespace

// Guards against a crashing request whose caller leaves before the crash.
TEST_CASE("a request that its caller left is a witness of the crash") {
  LeftRequest left;
  SUBCASE("that a later start at the address shows") {
    left.Tell("u2", 2, InstanceState::kReady);
  }
  SUBCASE("that a later start of the same id shows") {
    left.Tell("u1", 2, InstanceState::kReady);
  }
  SUBCASE("that silence and a refused connection show") {
    left.entry().upstreams[0]->Stop();
    left.Tell("u1", 1, InstanceState::kReady, /*silent=*/true);
  }
  SUBCASE("that the entry finds by itself") {
    left.entry().upstreams[0]->Stop();
  }
  SUBCASE("that another request's refused connection shows") {
    left.entry().upstreams[0]->Stop();
    const auto other = left.entry().ConnectCaller();
    other->Send(MakeRequest("/once/", "2", "other body"));
  }
  SUBCASE("that another entry has seen") {
    left.entry().data_path->RecordCrashes({{99, UpstreamId("u1"), 1}});
  }
  CHECK(left.IsWitness());
}

TEST_CASE("a request that its caller left is no witness without a crash") {
  LeftRequest left;
  SUBCASE("of an upstream that announced its exit") {
    left.Tell("u1", 1, InstanceState::kDraining);
    left.Tell("u1", 1, InstanceState::kGone);
    left.Tell("u2", 2, InstanceState::kReady);
  }
  SUBCASE("of one that is silent and can be reached") {
    left.Tell("u1", 1, InstanceState::kReady, /*silent=*/true);
  }
  left.entry().RunUntil([] { return false; }, milliseconds(600));
  CHECK(left.entry().witnesses.empty());
}

TEST_CASE("a request whose deadline passed is a witness of the crash") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer&, const std::string&) {});
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/quick/", "1", "body"));
  REQUIRE(Receives(entry, caller, "HTTP/1.1 504"));
  entry.upstreams[0]->Stop();
  const auto other = entry.ConnectCaller();
  other->Send(MakeRequest("/once/", "2", "other body"));
  CHECK(entry.RunUntil([&] { return !entry.witnesses.empty(); },
                       milliseconds(2000)));
}

TEST_CASE("a request that was answered whole is no witness of a later crash") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "ok"));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1", "body"));
  REQUIRE(Receives(entry, caller, "HTTP/1.1 200"));
  entry.upstreams[0]->Stop();
  const auto other = entry.ConnectCaller();
  other->Send(MakeRequest("/once/", "2", "other body"));
  entry.RunUntil([] { return false; }, milliseconds(800));
  CHECK(entry.witnesses.empty());
}

TEST_CASE("what was let go of is kept for a bounded time and number") {
  using Runs = policy::AbandonedRuns<int>;
  const auto at = [](int ms) { return TimePoint() + milliseconds(ms); };
  const policy::RunPlace place{UpstreamId("u"), 5};
  Runs runs;
  runs.Add(place, 1, at(0));
  runs.Add(place, 2, at(1500));
  runs.RecordAlive({UpstreamId("u"), 6}, at(3000));
  CHECK(runs.size() == 2);
  runs.RecordAlive(place, at(2500));
  CHECK(runs.FindAt(place, at(2500)) == 2);
  CHECK_FALSE(runs.FindBefore(place, at(2500)));
  CHECK(runs.FindBefore({UpstreamId("u"), 6}, at(2500)) == 2);
  CHECK(runs.TakeCrashed(place, at(1501) + Runs::kNoticeTime).empty());
  for (std::size_t i = 0; i <= Runs::kMaxRuns; ++i) {
    runs.Add(place, static_cast<int>(i), at(20000));
  }
  CHECK(runs.size() == Runs::kMaxRuns);
  CHECK(runs.TakeCrashed(place, at(20000)).front() == 1);
  CHECK(runs.size() == 0);
}

}  // namespace rattanward::proxy
