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

Endpoint LoopbackEndpoint(std::uint16_t port) { return {"127.0.0.1", port}; }

policy::EntryLoad MakeLoad(const std::string& entry) {
  policy::EntryLoad load;
  load.entry = ProcessId(entry);
  load.upstreams[UpstreamId("u")] = {3, 500, 700};
  load.placed_parts[UpstreamId("u")] = {{17, 400}};
  load.streams = {{99, "v1.2"}};
  return load;
}

/// A load exchange that stores the reports it receives.
struct Listener {
  Listener(asio::io_context& io, const std::string& secret)
      : exchange(io, secret, [this](const policy::EntryLoad& load) {
          received.push_back(load);
        }) {
    REQUIRE(exchange.Start(LoopbackEndpoint(0)).has_value());
  }

  std::vector<policy::EntryLoad> received;
  LoadExchange exchange;
};

void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  constexpr int kMaxSteps = 1000;
  for (int step = 0; step < kMaxSteps && !done(); ++step) {
    io.run_one_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

TEST_CASE("a relay forwards a load report to its failure domain once") {
  asio::io_context io(1);
  Listener sender(io, "s");
  Listener relay(io, "s");
  Listener local_entry(io, "s");
  relay.exchange.SetRelayTargets({local_entry.exchange.endpoint()});
  local_entry.exchange.SetRelayTargets({relay.exchange.endpoint()});
  sender.exchange.SendViaRelays(MakeLoad("sender"),
                                {relay.exchange.endpoint()});
  RunUntil(io, [&] { return !local_entry.received.empty(); });
  CHECK(relay.received == std::vector<policy::EntryLoad>{MakeLoad("sender")});
  CHECK(local_entry.received ==
        std::vector<policy::EntryLoad>{MakeLoad("sender")});
  CHECK(relay.exchange.relayed() == 1);
  CHECK(local_entry.exchange.relayed() == 0);
}

TEST_CASE("a load report sent directly is not forwarded") {
  asio::io_context io(1);
  Listener sender(io, "s");
  Listener peer(io, "s");
  Listener local_entry(io, "s");
  peer.exchange.SetRelayTargets({local_entry.exchange.endpoint()});
  sender.exchange.SendLoad(MakeLoad("sender"), {peer.exchange.endpoint()});
  RunUntil(io, [&] { return !peer.received.empty(); });
  CHECK(peer.received.size() == 1);
  CHECK(peer.exchange.relayed() == 0);
}

TEST_CASE("a load report with a wrong digest is neither used nor forwarded") {
  asio::io_context io(1);
  Listener stranger(io, "other");
  Listener relay(io, "s");
  stranger.exchange.SendViaRelays(MakeLoad("x"), {relay.exchange.endpoint()});
  RunUntil(io, [&] { return relay.exchange.rejected() > 0; });
  CHECK(relay.exchange.rejected() == 1);
  CHECK(relay.received.empty());
  CHECK(relay.exchange.relayed() == 0);
}

TEST_CASE("relays are chosen one per other failure domain, in rotation") {
  const FailureDomain own("a");
  const FailureDomain b("b");
  const FailureDomain c("c");
  const std::vector<RelayCandidate> candidates = {{own, LoopbackEndpoint(1)},
                                                  {b, LoopbackEndpoint(2)},
                                                  {b, LoopbackEndpoint(3)},
                                                  {c, LoopbackEndpoint(4)}};
  std::set<Endpoint> used;
  for (std::uint64_t turn = 0; turn < 4; ++turn) {
    const std::vector<Endpoint> relays = ChooseRelays(candidates, own, turn);
    REQUIRE(relays.size() == 2);
    used.insert(relays.begin(), relays.end());
  }
  CHECK(used == std::set<Endpoint>{LoopbackEndpoint(2), LoopbackEndpoint(3),
                                   LoopbackEndpoint(4)});
}

}  // namespace rattanward::proxy
