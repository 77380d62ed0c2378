#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "fakes/reserved_ports.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/control/voter_directory.h"
#include "rattanward/membership/endpoint_book.h"
#include "rattanward/proxy/control_link.h"

namespace rattanward::membership {
namespace {

constexpr std::size_t kMost = 4;

TimePoint At(int seconds) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::seconds(seconds);
}

Endpoint Control(int number) {
  return {"10.0.0." + std::to_string(number), 7340};
}

/// A book and what is connected.
struct Known {
  EndpointBook book{kMost};
  std::set<Endpoint> connected;

  EndpointBook::Outcome Name(int number, int at) {
    return book.Name(Control(number), At(at), [this](const Endpoint& endpoint) {
      return connected.count(endpoint) > 0;
    });
  }
};

}  // namespace

// Guards against an entry that has outlived so many control VMs that it takes
// no further one.
TEST_CASE("after any number of replaced control VMs the next one is taken") {
  Known known;
  for (int number = 1; number <= 200; ++number) {
    known.connected = {Control(number - 1), Control(number)};
    CHECK(known.Name(number, 3 * number).added);
    known.book.RecordHeard(Control(number), At(3 * number));
  }
  CHECK(known.book.Knows(Control(199)));
  CHECK_FALSE(known.book.Knows(Control(1)));
}

TEST_CASE("who was silent longest makes room, who is connected stays") {
  Known known;
  for (int number = 1; number <= 4; ++number) {
    known.Name(number, 0);
  }
  known.connected = {Control(1)};
  known.book.RecordHeard(Control(2), At(3));
  CHECK_FALSE(known.Name(5, 4).added);
  CHECK(known.Name(5, 6) == EndpointBook::Outcome{true, Control(3)});
  CHECK(known.Name(6, 6) == EndpointBook::Outcome{true, Control(4)});
  CHECK(known.Name(7, 6) == EndpointBook::Outcome{true, Control(2)});
  CHECK(known.book.Knows(Control(1)));
}

TEST_CASE("a list of any length pushes out neither seeds nor those named") {
  Known known;
  known.book.SetSeeds({Control(1)});
  known.Name(1, 0);
  known.Name(2, 0);
  known.connected = {Control(3)};
  known.Name(3, 0);
  for (int at = 0; at < 60; ++at) {
    known.Name(2, at);
    known.book.RecordHeard(Control(2), At(at));
    for (int forged = 100; forged < 150; ++forged) {
      known.Name(forged, at);
    }
  }
  for (int number = 1; number <= 3; ++number) {
    CHECK(known.book.Knows(Control(number)));
  }
  // A forged one makes room in its turn.
  CHECK(known.Name(4, 80).added);
  // A former seed is an endpoint like others.
  known.book.SetSeeds({Control(5)});
  known.connected = {Control(2), Control(3), Control(4)};
  CHECK(known.Name(5, 81) == EndpointBook::Outcome{true, Control(1)});
}

TEST_CASE("an entry and a control VM reach the next control VM though full") {
  asio::io_context io;
  adapter::TransportOptions options;
  options.secret = "secret";
  adapter::MessageListener listener(
      io, options,
      [](const adapter::InboundMessage&, const adapter::ReplyHandle&) {});
  REQUIRE(listener.Listen({"127.0.0.1", 0}));
  proxy::ControlLinkHooks hooks;
  hooks.suspicions = [] { return std::vector<policy::PartSuspicion>(); };
  hooks.limits = [] { return std::vector<UpstreamLimit>(); };
  proxy::ControlLink link(io, options, {}, hooks);
  control::VoterDirectory voters(io, options, {"127.0.0.1", 1},
                                 [] { return protocol::VoterHello(); });
  std::set<Endpoint> reached;
  voters.OnConnected(
      [&](const Endpoint& endpoint) { reached.insert(endpoint); });
  constexpr int kMoreThanKept = 70;
  for (int i = 0; i < kMoreThanKept; ++i) {
    const Endpoint gone = fakes::ReservedEndpoint();
    link.ConnectTo(gone);
    voters.ConnectTo(gone);
  }
  io.run_for(EndpointBook::kNamedFor + std::chrono::milliseconds(200));
  link.ConnectTo(listener.endpoint());
  voters.ConnectTo(listener.endpoint());
  io.run_for(std::chrono::milliseconds(500));
  CHECK(link.connected() == 1);
  CHECK(reached.count(listener.endpoint()) == 1);
  CHECK(link.known() <= 32);
  link.Stop();
  voters.Stop();
  listener.Stop();
}

}  // namespace rattanward::membership
