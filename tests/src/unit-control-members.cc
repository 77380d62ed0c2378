#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/reserved_ports.h"
#include "fakes/temporary_folder.h"
#include "rattanward/control/control_daemon.h"

namespace rattanward::control {
namespace {

constexpr std::size_t kVoters = 3;

/// Control VMs on loopback in one thread, each with an event loop and a folder
/// of its own.
class ControlGroup {
 public:
  ControlGroup() {
    std::vector<Endpoint> initial;
    for (std::size_t i = 0; i < kVoters; ++i) {
      initial.push_back(fakes::ReservedEndpoint());
    }
    for (const Endpoint& endpoint : initial) {
      Add(endpoint, initial, /*bootstrap=*/true);
    }
  }

  /// Adds a control VM with an empty folder that knows only these seeds.
  ControlDaemon& AddWithSeeds(const std::vector<Endpoint>& seeds) {
    return Add(fakes::ReservedEndpoint(), seeds, /*bootstrap=*/false);
  }

  ControlDaemon& At(std::size_t index) { return *vms_[index]->daemon; }

  ControlDaemon* Leader() {
    for (const auto& vm : vms_) {
      if (!vm->daemon->stopped() && vm->daemon->replica().ConfirmedLeader()) {
        return vm->daemon.get();
      }
    }
    return nullptr;
  }

  /// A control VM that doesn't lead.
  ControlDaemon& Follower() { return &At(0) == Leader() ? At(1) : At(0); }

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
      for (const auto& vm : vms_) {
        vm->io.poll();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return done();
  }

 private:
  struct Vm {
    asio::io_context io;
    fakes::TemporaryFolder folder;
    std::unique_ptr<ControlDaemon> daemon;
  };

  ControlDaemon& Add(const Endpoint& self, const std::vector<Endpoint>& seeds,
                     bool bootstrap) {
    adapter::ControlSettings settings;
    settings.identity.process =
        ProcessId("control-" + std::to_string(vms_.size()));
    settings.peer_listen = self;
    settings.initial_voters = seeds;
    settings.bootstrap = bootstrap;
    settings.wanted_voters = kVoters;
    auto vm = std::make_unique<Vm>();
    vm->daemon = std::make_unique<ControlDaemon>(
        vm->io, settings, "secret",
        adapter::FileLogStorage::Open(vm->folder.path() + "/log").value(),
        [this](const Event& event) { events_.push_back(event); });
    REQUIRE(vm->daemon->Start());
    vms_.push_back(std::move(vm));
    return *vms_.back()->daemon;
  }

  std::vector<Event> events_;
  std::vector<std::unique_ptr<Vm>> vms_;
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

// Guards against a stop that leaves the vote to others' timeouts.
TEST_CASE("control VMs that are told to stop together hand over their votes") {
  ControlGroup group;
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  const std::vector<Endpoint> seeds{group.At(0).settings().peer_listen};
  for (std::size_t i = 0; i < kVoters; ++i) {
    group.AddWithSeeds(seeds);
  }
  const auto members = [&] {
    const ControlDaemon* leader = group.Leader();
    return leader == nullptr
               ? std::size_t{0}
               : leader->replica().node().membership().members.size();
  };
  REQUIRE(group.RunUntil([&] { return members() == 2 * kVoters; }));
  for (std::size_t i = 0; i < kVoters; ++i) {
    ControlDaemon& old = group.At(i);
    old.LeaveGroup(std::chrono::seconds(5), [&old] { old.Stop(); });
    // Told twice.
    old.LeaveGroup(std::chrono::seconds(5), [] { CHECK(false); });
  }
  CHECK(group.RunUntil([&] {
    return group.At(0).stopped() && group.At(1).stopped() &&
           group.At(2).stopped() && members() == kVoters;
  }));
  CHECK(group.LastLogged(EventId::kHandOverEnded).count("released=1") == 1);
}

TEST_CASE("a restart where nobody stands by isn't delayed by a hand-over") {
  ControlGroup group;
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  bool ended = false;
  group.Follower().LeaveGroup(std::chrono::seconds(5), [&] { ended = true; });
  CHECK(ended);
}

TEST_CASE("only what a leader says after the stop ends a hand-over") {
  const auto at = [](int ms) {
    return TimePoint() + std::chrono::milliseconds(ms);
  };
  const VoterId self("a");
  protocol::VoterHello without;
  without.membership = consensus::EncodeMembership(
      {{{VoterId("b"), {"10.0.0.1", 1}, consensus::MemberRole::kVoter}}});
  HandOver learner(self, false, at(100), std::chrono::milliseconds(50));
  learner.RecordHello(without, at(120));
  without.confirms_membership = true;
  learner.RecordHello(without, at(99));
  learner.RecordCommitted(
      consensus::DecodeMembership(without.membership).value());
  CHECK_FALSE(learner.Over(at(149)));
  CHECK(learner.Over(at(150)));
  CHECK_FALSE(learner.released());
  learner.RecordHello(without, at(120));
  CHECK(learner.released());
}

}  // namespace rattanward::control
