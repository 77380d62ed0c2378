#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "rattanward/policy/relay_choice.h"
#include "rattanward/policy/upstream_paths.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick{milliseconds(100)};
constexpr Duration kProbeTimeout{milliseconds(300)};

/// Upstreams behind a network that a test cuts, probed in stepped time.
class Network {
 public:
  explicit Network(std::size_t upstreams) {
    for (std::size_t i = 0; i < upstreams; ++i) {
      known.emplace_back("u" + std::to_string(i));
    }
  }

  void Step() {
    now += kTick;
    for (auto it = pending_.begin(); it != pending_.end();) {
      const bool reached = cut.count(it->first) == 0;
      if (!reached && now - it->second < kProbeTimeout) {
        ++it;
        continue;
      }
      reached ? paths.RecordReached(it->first, now)
              : paths.RecordLost(it->first, now);
      it = pending_.erase(it);
    }
    for (const UpstreamId& id : paths.TakeDueProbes(waiting, known, now)) {
      pending_[id] = now;
      ++probes;
    }
  }

  void RunFor(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTick) {
      Step();
    }
  }

  void Cut(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      cut.insert(known[i]);
    }
  }

  UpstreamPaths paths;
  std::vector<UpstreamId> known;
  std::vector<WaitingUpstream> waiting;
  std::set<UpstreamId> cut;
  TimePoint now{std::chrono::seconds(100)};
  std::size_t probes = 0;

 private:
  std::map<UpstreamId, TimePoint> pending_;
};

}  // namespace

TEST_CASE("an upstream that stays silent while requests wait is probed") {
  Network network(3);
  network.waiting = {{network.known[0], network.now, milliseconds(400)}};
  network.RunFor(milliseconds(300));
  CHECK(network.probes == 0);
  network.RunFor(milliseconds(300));
  CHECK(network.probes == 1);
  // It was reached, so it is slow: the next probe comes later.
  network.RunFor(milliseconds(400));
  CHECK(network.probes == 1);
}

TEST_CASE("a cut of all paths is known within two seconds of the first loss") {
  for (const std::size_t upstreams : {3, 15, 165}) {
    CAPTURE(upstreams);
    Network network(upstreams);
    network.Cut(upstreams);
    network.paths.RecordLost(network.known[0], network.now);
    std::size_t steps = 0;
    while (network.paths.lost() < upstreams && steps < 100) {
      network.Step();
      ++steps;
    }
    CHECK(steps * kTick <= milliseconds(upstreams > 100 ? 3500 : 2000));
  }
}

TEST_CASE("the crash of one upstream costs few probes of the others") {
  Network network(165);
  network.Cut(1);
  network.paths.RecordLost(network.known[0], network.now);
  network.RunFor(milliseconds(200));
  CHECK(network.probes <= 4);
  CHECK_FALSE(network.paths.sampling());
  network.RunFor(std::chrono::seconds(10));
  CHECK(network.paths.lost() == 1);
  // Of these, all but four are of the one that crashed.
  CHECK(network.probes <= 4 + 10);
}

TEST_CASE("paths that are back are found again within two seconds") {
  Network network(165);
  network.Cut(165);
  network.paths.RecordLost(network.known[0], network.now);
  network.RunFor(std::chrono::seconds(8));
  REQUIRE(network.paths.lost() == 165);
  network.cut.clear();
  network.RunFor(std::chrono::seconds(2));
  CHECK(network.paths.lost() == 0);
}

TEST_CASE("no more probes run at the same time than the limit") {
  Network network(165);
  network.Cut(165);
  network.paths.RecordLost(network.known[0], network.now);
  for (int i = 0; i < 50; ++i) {
    const std::size_t before = network.probes;
    network.Step();
    CHECK(network.probes - before <= UpstreamPaths::kMaxProbes);
  }
}

TEST_CASE("relays spread over the entries that serve") {
  RelayChoice choice(7);
  std::set<Endpoint> nearby;
  for (std::uint16_t i = 1; i <= 8; ++i) {
    nearby.insert({"10.0.0.1", i});
  }
  const TimePoint now;
  choice.AddPeers(nearby, {{"10.0.1.1", 1}}, now);
  std::map<Endpoint, int> chosen;
  for (int i = 0; i < 80; ++i) {
    const auto peer = choice.Choose(ServiceName("s"), {}, now);
    REQUIRE(peer.has_value());
    choice.RecordSent(*peer);
    ++chosen[*peer];
  }
  CHECK(chosen.size() == 8);
  for (const auto& [endpoint, count] : chosen) {
    CHECK(count == 10);
  }
}

TEST_CASE("after an entry nearby was unable, one farther away comes first") {
  RelayChoice choice(7);
  const TimePoint now;
  const Endpoint remote{"10.0.1.1", 1};
  choice.AddPeers({{"10.0.0.1", 1}, {"10.0.0.1", 2}}, {remote}, now);
  const auto first = choice.Choose(ServiceName("s"), {}, now);
  REQUIRE(first.has_value());
  CHECK(*first != remote);
  choice.RecordUnable(*first, ServiceName("s"), now);
  CHECK(choice.Choose(ServiceName("s"), {*first}, now) == remote);
  // It is unable to serve this service only, and for a while only.
  bool chosen_again = false;
  for (int i = 0; i < 20; ++i) {
    chosen_again |= choice.Choose(ServiceName("other"), {}, now) == first;
    CHECK(choice.Choose(ServiceName("s"), {}, now) != first);
  }
  CHECK(chosen_again);
}

TEST_CASE("an entry that isn't told of again is forgotten") {
  RelayChoice choice(7);
  TimePoint now;
  choice.AddPeers({{"10.0.0.1", 1}}, {}, now);
  now += std::chrono::seconds(30);
  choice.AddPeers({{"10.0.0.1", 2}}, {}, now);
  CHECK(choice.Choose(ServiceName("s"), {{"10.0.0.1", 2}}, now) ==
        std::nullopt);
}

}  // namespace rattanward::policy
