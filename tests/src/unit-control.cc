#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "rattanward/control/bootstrap.h"
#include "rattanward/ledger/claim_holder.h"

namespace rattanward {
namespace {

const std::vector<Endpoint> kVoters = {
    {"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};

protocol::VoterHello MakeHello(std::size_t index, const std::string& id) {
  protocol::VoterHello hello;
  hello.id = VoterId(id);
  hello.peer_endpoint = kVoters[index];
  return hello;
}

consensus::Membership MakeMembership(const std::vector<std::string>& ids) {
  consensus::Membership membership;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    membership.members.push_back(
        {VoterId(ids[i]), kVoters[i], consensus::MemberRole::kVoter});
  }
  return membership;
}

}  // namespace

TEST_CASE("bootstrap waits until every initial voter has sent a hello") {
  std::map<Endpoint, protocol::VoterHello> hellos;
  const protocol::VoterHello self = MakeHello(0, "c");
  CHECK(!control::InitialMembership(self, kVoters, hellos));
  hellos[kVoters[1]] = MakeHello(1, "b");
  CHECK(!control::InitialMembership(self, kVoters, hellos));
  hellos[kVoters[2]] = MakeHello(2, "a");
  const auto membership = control::InitialMembership(self, kVoters, hellos);
  REQUIRE(membership);
  CHECK(membership->members[0].id == VoterId("a"));
  CHECK(membership->members[2].id == VoterId("c"));
  SUBCASE("every initial voter computes the same membership") {
    hellos.erase(kVoters[1]);
    hellos[kVoters[0]] = self;
    CHECK(control::InitialMembership(MakeHello(1, "b"), kVoters, hellos) ==
          membership);
  }
}

TEST_CASE(
    "a blank data folder adopts a running cluster's membership only if that "
    "contains its id") {
  std::map<Endpoint, protocol::VoterHello> hellos;
  hellos[kVoters[1]] = MakeHello(1, "b");
  hellos[kVoters[1]].membership =
      consensus::EncodeMembership(MakeMembership({"a", "b", "c"}));
  CHECK(control::InitialMembership(MakeHello(0, "a"), kVoters, hellos) ==
        MakeMembership({"a", "b", "c"}));
  CHECK(!control::InitialMembership(MakeHello(0, "new"), kVoters, hellos));
}

TEST_CASE("a control VM outside the initial voters never bootstraps") {
  std::map<Endpoint, protocol::VoterHello> hellos;
  for (std::size_t i = 0; i < kVoters.size(); ++i) {
    hellos[kVoters[i]] = MakeHello(i, std::to_string(i));
  }
  protocol::VoterHello outside;
  outside.id = VoterId("x");
  outside.peer_endpoint = {"10.0.0.9", 1};
  CHECK(!control::InitialMembership(outside, kVoters, hellos));
}

TEST_CASE("an attempt is released if the outcome of its claim is unknown") {
  ledger::ClaimHolder holder(ProcessId("e"), "1");
  const TimePoint now{std::chrono::seconds(1)};
  const ledger::ClaimRequest request{
      {ClientAccountId("a"), IdempotencyKey("k")},
      "body",
      std::chrono::hours(1)};
  const AttemptId id = holder.Begin(request, now).value();
  CHECK(holder.TakeProposals(now).size() == 1);
  const auto unknown = MakeError(ErrorCode::kOutcomeUnknown, "lost");
  CHECK(holder.HandleProposalResult(id, unknown, now).empty());
  const TimePoint late = now + std::chrono::seconds(2);
  CHECK(holder.Tick(late).size() == 1);
  const auto due = holder.TakeProposals(late);
  REQUIRE(due.size() == 1);
  CHECK(std::holds_alternative<ledger::ClaimRelease>(due[0].command));
  CHECK(!holder.StartSending(id, late));
}

}  // namespace rattanward
