#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <set>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/membership/relay_choice.h"
#include "rattanward/proxy/load_exchange.h"

namespace rattanward::proxy {
namespace {

using membership::ChooseRelays;
using membership::RelayCandidate;

Endpoint At(std::uint16_t port) { return {"127.0.0.1", port}; }

policy::EntryLoad Load(const std::string& entry) {
  policy::EntryLoad load;
  load.entry = ProcessId(entry);
  load.upstreams[UpstreamId("u")] = {3, 500, 700};
  load.placed_parts[UpstreamId("u")] = {{17, 400}};
  return load;
}

/// An entry's exchange that keeps what it was told.
struct Listener {
  Listener(asio::io_context& io, const std::string& secret)
      : exchange(io, secret, [this](const policy::EntryLoad& load) {
          taken.push_back(load);
        }) {
    REQUIRE(exchange.Start(At(0)).has_value());
  }

  std::vector<policy::EntryLoad> taken;
  LoadExchange exchange;
};

void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  constexpr int kMostSteps = 1000;
  for (int step = 0; step < kMostSteps && !done(); ++step) {
    io.run_one_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

TEST_CASE("a relay passes a load on to its failure domain, once") {
  asio::io_context io(1);
  Listener sender(io, "s");
  Listener relay(io, "s");
  Listener near(io, "s");
  relay.exchange.SetNear({near.exchange.endpoint()});
  near.exchange.SetNear({relay.exchange.endpoint()});
  sender.exchange.TellThrough(Load("sender"), {relay.exchange.endpoint()});
  RunUntil(io, [&] { return !near.taken.empty(); });
  CHECK(relay.taken == std::vector<policy::EntryLoad>{Load("sender")});
  CHECK(near.taken == std::vector<policy::EntryLoad>{Load("sender")});
  CHECK(relay.exchange.relayed() == 1);
  CHECK(near.exchange.relayed() == 0);
}

TEST_CASE("what is told directly is not passed on") {
  asio::io_context io(1);
  Listener sender(io, "s");
  Listener peer(io, "s");
  Listener near(io, "s");
  peer.exchange.SetNear({near.exchange.endpoint()});
  sender.exchange.Tell(Load("sender"), {peer.exchange.endpoint()});
  RunUntil(io, [&] { return !peer.taken.empty(); });
  CHECK(peer.taken.size() == 1);
  CHECK(peer.exchange.relayed() == 0);
}

TEST_CASE("a stranger's load is neither taken nor passed on") {
  asio::io_context io(1);
  Listener stranger(io, "other");
  Listener relay(io, "s");
  stranger.exchange.TellThrough(Load("x"), {relay.exchange.endpoint()});
  RunUntil(io, [&] { return relay.exchange.refused() > 0; });
  CHECK(relay.exchange.refused() == 1);
  CHECK(relay.taken.empty());
  CHECK(relay.exchange.relayed() == 0);
}

TEST_CASE("relays: one of each other failure domain, all by turns") {
  const FailureDomain own("a");
  const FailureDomain b("b");
  const FailureDomain c("c");
  const std::vector<RelayCandidate> candidates = {
      {own, At(1)}, {b, At(2)}, {b, At(3)}, {c, At(4)}};
  std::set<Endpoint> used;
  for (std::uint64_t turn = 0; turn < 4; ++turn) {
    const std::vector<Endpoint> relays = ChooseRelays(candidates, own, turn);
    REQUIRE(relays.size() == 2);
    used.insert(relays.begin(), relays.end());
  }
  CHECK(used == std::set<Endpoint>{At(2), At(3), At(4)});
}

}  // namespace rattanward::proxy
