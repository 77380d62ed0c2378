#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/temporary_folder.h"
#include "rattanward/control/control_daemon.h"

namespace rattanward::control {
namespace {

constexpr std::size_t kVoters = 3;

Endpoint FreeEndpoint(asio::io_context& io) {
  const asio::ip::tcp::acceptor taken(
      io, {asio::ip::make_address_v4("127.0.0.1"), 0});
  return {"127.0.0.1", taken.local_endpoint().port()};
}

/// Control VMs on loopback in one event loop, each with a folder of its own.
class ControlGroup {
 public:
  ControlGroup() {
    std::vector<Endpoint> initial;
    for (std::size_t i = 0; i < kVoters; ++i) {
      initial.push_back(FreeEndpoint(io_));
    }
    for (const Endpoint& endpoint : initial) {
      Add(endpoint, initial, /*bootstrap=*/true);
    }
  }

  /// Adds a control VM with an empty folder that knows only these seeds.
  ControlDaemon& AddWithSeeds(const std::vector<Endpoint>& seeds) {
    return Add(FreeEndpoint(io_), seeds, /*bootstrap=*/false);
  }

  ControlDaemon* Leader() {
    const auto found = std::find_if(
        daemons_.begin(), daemons_.end(),
        [](const auto& daemon) { return daemon->replica().ConfirmedLeader(); });
    return found == daemons_.end() ? nullptr : found->get();
  }

  /// A control VM that doesn't lead.
  ControlDaemon& Follower() {
    return **std::find_if(
        daemons_.begin(), daemons_.end(),
        [this](const auto& daemon) { return daemon.get() != Leader(); });
  }

  /// The fields of the last event of this kind, as "name=value" each.
  std::set<std::string> LastLogged(EventId id) const {
    std::set<std::string> fields;
    for (const Event& event : events_) {
      if (event.id == id) {
        fields.clear();
        for (const EventField& field : event.fields) {
          fields.insert(field.name + '=' + field.value);
        }
      }
    }
    return fields;
  }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io_.run_for(std::chrono::milliseconds(10));
    }
    return done();
  }

 private:
  ControlDaemon& Add(const Endpoint& self, const std::vector<Endpoint>& seeds,
                     bool bootstrap) {
    folders_.push_back(std::make_unique<fakes::TemporaryFolder>());
    adapter::ControlSettings settings;
    settings.identity.process =
        ProcessId("control-" + std::to_string(daemons_.size()));
    settings.peer_listen = self;
    settings.initial_voters = seeds;
    settings.bootstrap = bootstrap;
    settings.wanted_voters = kVoters;
    daemons_.push_back(std::make_unique<ControlDaemon>(
        io_, settings, "secret",
        adapter::FileLogStorage::Open(folders_.back()->path() + "/log").value(),
        [this](const Event& event) { events_.push_back(event); }));
    REQUIRE(daemons_.back()->Start());
    return *daemons_.back();
  }

  asio::io_context io_;
  std::vector<std::unique_ptr<fakes::TemporaryFolder>> folders_;
  std::vector<std::unique_ptr<ControlDaemon>> daemons_;
  std::vector<Event> events_;
};

}  // namespace

TEST_CASE("a control VM joins although the leader is none of its seeds") {
  ControlGroup group;
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  const ControlDaemon& added =
      group.AddWithSeeds({group.Follower().settings().peer_listen});
  CHECK(group.RunUntil([&] {
    const ControlDaemon* leader = group.Leader();
    return leader != nullptr &&
           consensus::FindMember(leader->replica().node().membership(),
                                 added.replica().id()) != nullptr;
  }));
}

TEST_CASE("a start on an empty folder is logged with the new voter's id") {
  ControlGroup group;
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  const ControlDaemon& added =
      group.AddWithSeeds({group.Leader()->settings().peer_listen});
  const auto logged = group.LastLogged(EventId::kStorageOpened);
  CHECK(logged.count("voter=" + added.replica().id().str()) == 1);
  CHECK(logged.count("new=1") == 1);
  CHECK(logged.count("blank=1") == 1);
  CHECK(logged.count("last_index=0") == 1);
}

}  // namespace rattanward::control
