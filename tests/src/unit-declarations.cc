#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fakes/control_fleet.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::protocol {
namespace {

/// VoterHello of a build that takes no orders from other control VMs.
struct OlderHello {
  VoterId id;
  ProcessId process;
  Endpoint peer_endpoint;
  Endpoint operator_endpoint;
  std::string membership;
  std::uint32_t command_kinds = 0;
};

}  // namespace

template <>
struct FieldsOf<OlderHello> {
  static auto Tie(auto& m) {
    return std::tie(m.id, m.process, m.peer_endpoint, m.operator_endpoint,
                    m.membership, m.command_kinds);
  }
};

}  // namespace rattanward::protocol

namespace rattanward::control {
namespace {

using fakes::ControlFleet;

const std::string kAcknowledged = "HTTP/1.1 200 OK";

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[]})";
}

}  // namespace

// Guards against an order that reaches a running control VM, but is sent on to
// one that is frozen (SHORT).
TEST_CASE("an order is acknowledged where it came in though the leader froze") {
  ControlFleet fleet;
  REQUIRE(fleet.Founded());
  const std::size_t leader = fleet.leader();
  const std::size_t asked = (leader + 1) % ControlFleet::kVms;
  fleet.Freeze(leader);
  std::string answer = fleet.Put(asked, Configuration(1));
  CHECK(fleet.last_location() != fleet.Location(leader));
  if (answer != kAcknowledged) {
    // The election was slower than an order is held for.
    REQUIRE(
        fleet.RunUntil([&] { return fleet.leader() != ControlFleet::kVms; }));
    answer = fleet.Put(asked, Configuration(1));
    CHECK(fleet.last_location() != fleet.Location(leader));
  }
  CHECK(answer == kAcknowledged);
  CHECK(
      fleet.RunUntil([&] { return fleet.routes(asked) == ConfigVersion{1}; }));
}

// Guards against an order that needs two answers, of which each may be lost.
TEST_CASE("every control VM acknowledges an order by its own answer") {
  ControlFleet fleet;
  REQUIRE(fleet.Founded());
  for (std::size_t vm = 0; vm < ControlFleet::kVms; ++vm) {
    const int version = static_cast<int>(vm) + 1;
    CHECK(fleet.Put(vm, Configuration(version)) == kAcknowledged);
    CHECK(fleet.Put(vm, Configuration(version)) == kAcknowledged);
  }
}

TEST_CASE("an order that no quorum can take is refused as unavailable") {
  ControlFleet fleet;
  REQUIRE(fleet.Founded());
  const std::size_t asked = fleet.leader();
  fleet.Freeze((asked + 1) % ControlFleet::kVms);
  fleet.Freeze((asked + 2) % ControlFleet::kVms);
  CHECK(fleet.Put(asked, Configuration(1)) ==
        "HTTP/1.1 503 Service Unavailable");
}

TEST_CASE(
    "a declaration leaves a line as it comes in and one with its answer") {
  ControlFleet fleet;
  REQUIRE(fleet.Founded());
  const std::size_t leader = fleet.leader();
  CHECK(fleet.Put(leader, Configuration(1)) == kAcknowledged);
  CHECK(fleet.Logged(leader, EventId::kDeclarationReceived) == 1);
  CHECK(fleet.Logged(leader, EventId::kDeclarationAnswered) == 1);
}

// Guards against orders that are sent on, or refused, where a short wait would
// have acknowledged them.
TEST_CASE("what a control VM does with an order follows from who leads") {
  const VoterId other("b");
  LeaderView view;
  DeclarationState state;
  SUBCASE("it leads") {
    view.leads = true;
    view.has_enough_voters = true;
    CHECK(NextStep(view, state) == DeclarationStep::kCommit);
  }
  SUBCASE("it leads, but voters are missing") {
    view.leads = true;
    CHECK(NextStep(view, state) == DeclarationStep::kWait);
    state.held = kLongestHold;
    CHECK(NextStep(view, state) == DeclarationStep::kRefuse);
  }
  SUBCASE("another one leads") {
    view.other_leader = other;
    view.other_takes = true;
    CHECK(NextStep(view, state) == DeclarationStep::kPassOn);
    state.asked = other;
    state.awaits_answer = true;
    CHECK(NextStep(view, state) == DeclarationStep::kWait);
    view.other_leader = VoterId("c");
    CHECK(NextStep(view, state) == DeclarationStep::kPassOn);
    state.held = kLongestHold;
    CHECK(NextStep(view, state) == DeclarationStep::kRedirect);
    view.other_leader = other;
    state.awaits_answer = false;
    CHECK(NextStep(view, state) == DeclarationStep::kRefuse);
  }
  SUBCASE("another one leads that takes no orders from control VMs") {
    view.other_leader = other;
    CHECK(NextStep(view, state) == DeclarationStep::kRedirect);
  }
  SUBCASE("an order that was passed on goes no further") {
    view.other_leader = other;
    view.other_takes = true;
    state.source = DeclarationSource::kControlVm;
    CHECK(NextStep(view, state) == DeclarationStep::kRedirect);
  }
  SUBCASE("none leads") {
    CHECK(NextStep(view, state) == DeclarationStep::kWait);
    state.held = kLongestHold;
    CHECK(NextStep(view, state) == DeclarationStep::kRefuse);
    state.held = Duration::zero();
    view.leaderless = kElectionTime;
    CHECK(NextStep(view, state) == DeclarationStep::kRefuse);
  }
}

TEST_CASE("a refused commit is tried again, an unknown outcome is told") {
  LeaderView view;
  view.leads = true;
  view.has_enough_voters = true;
  std::vector<DeclarationDesk::Done> commits;
  DeclarationHooks hooks;
  hooks.view = [&](TimePoint) { return view; };
  hooks.commit = [&](const Declaration&, DeclarationDesk::Done done) {
    commits.push_back(std::move(done));
  };
  DeclarationDesk desk(hooks);
  std::optional<Status> answer;
  const TimePoint start;
  desk.Take({ConfigVersion{1}, "text"}, DeclarationSource::kOperator, start,
            [&](const Status& status) { answer = status; });
  REQUIRE(commits.size() == 1);
  commits[0](MakeError(ErrorCode::kNotLeader, "deposed"));
  CHECK_FALSE(answer);
  desk.Check(start);
  REQUIRE(commits.size() == 2);
  commits[1](MakeError(ErrorCode::kOutcomeUnknown, "no quorum in time"));
  REQUIRE(answer);
  CHECK(answer->error().code == ErrorCode::kOutcomeUnknown);
  CHECK(desk.held() == 0);
}

// Guards against orders passed on to a build that doesn't answer them.
TEST_CASE("control VMs of builds without and with orders read each other") {
  protocol::OlderHello older;
  older.id = VoterId("a");
  const auto read =
      protocol::Decode<protocol::VoterHello>(protocol::Encode(older));
  REQUIRE(read);
  CHECK(read.value().id == older.id);
  CHECK_FALSE(read.value().takes_declarations);
  protocol::VoterHello hello;
  hello.id = VoterId("b");
  hello.takes_declarations = true;
  const auto read_by_older =
      protocol::Decode<protocol::OlderHello>(protocol::Encode(hello));
  REQUIRE(read_by_older);
  CHECK(read_by_older.value().id == hello.id);
}

}  // namespace rattanward::control
