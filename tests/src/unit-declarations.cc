#include <doctest/doctest.h>

#include <string>

#include "fakes/control_fleet.h"

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
  CHECK(fleet.Put(asked, Configuration(1)) == kAcknowledged);
  CHECK(fleet.routes(asked) == ConfigVersion{1});
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

}  // namespace rattanward::control
