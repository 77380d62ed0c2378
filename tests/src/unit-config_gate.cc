#include <doctest/doctest.h>

#include "rattanward/membership/acceptance_rule.h"
#include "rattanward/membership/config_gate.h"

namespace rattanward::membership {
namespace {

const ProcessId kPeerOne("entry-1");
const ProcessId kPeerTwo("entry-2");

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

const FailureDomain kDomain("zone");

ConfigGateOptions ThreeEntries() { return {{}, kDomain, 3}; }

protocol::ControlStatus ConfirmedStatus(std::uint64_t heartbeat,
                                        std::uint64_t accepted) {
  return {
      true, 1, "", ConfigVersion{accepted}, heartbeat, ConfigVersion{accepted}};
}

/// A gate that runs version 1, confirmed by a heartbeat sent at 0 ms.
ConfigGate ConfirmedGate(ConfigGateOptions options) {
  ConfigGate gate(std::move(options), At(0));
  gate.Apply(ConfigVersion{1}, At(0));
  gate.HandleControlStatus(ConfirmedStatus(gate.NextHeartbeat(At(0)), 1),
                           At(100));
  return gate;
}

void DeliverProbeAnswer(ConfigGate& gate, const ProcessId& peer, int sent,
                        protocol::PeerProbeAnswer answer) {
  answer.sequence = gate.NextProbe(At(sent));
  gate.HandleProbeAnswer(peer, answer, At(sent + 1));
}

TEST_CASE("a lease starts when the confirmed heartbeat was sent") {
  const ConfigGate gate = ConfirmedGate(ThreeEntries());
  CHECK(gate.State(At(1999)) == GateState::kServing);
  CHECK(gate.State(At(2000)) == GateState::kIsolated);
  CHECK(gate.MayStart(At(2000)).error().code == ErrorCode::kIsolated);
}

TEST_CASE("a process frozen past its lease needs a new confirmation") {
  ConfigGate gate = ConfirmedGate(ThreeEntries());
  const auto sent_before_pause = gate.NextHeartbeat(At(100));
  CHECK(gate.State(At(60000)) == GateState::kIsolated);
  gate.HandleControlStatus(ConfirmedStatus(sent_before_pause, 1), At(60001));
  CHECK(gate.State(At(60001)) == GateState::kIsolated);
  const auto sent_after_pause = gate.NextHeartbeat(At(60002));
  gate.HandleControlStatus(ConfirmedStatus(sent_after_pause, 1), At(60003));
  CHECK(gate.State(At(60003)) == GateState::kServing);
}

TEST_CASE("only a confirmed leader of the newest known term renews the lease") {
  ConfigGate gate = ConfirmedGate(ThreeEntries());
  auto status = ConfirmedStatus(gate.NextHeartbeat(At(3000)), 1);
  status.leader = false;
  gate.HandleControlStatus(status, At(3001));
  CHECK(gate.State(At(3001)) == GateState::kIsolated);
  status.leader = true;
  status.term = 0;
  gate.HandleControlStatus(status, At(3002));
  CHECK(gate.State(At(3002)) == GateState::kIsolated);
}

TEST_CASE(
    "an entry below an accepted version waits for it and never downgrades") {
  ConfigGate gate = ConfirmedGate(ThreeEntries());
  gate.HandleControlStatus(ConfirmedStatus(gate.NextHeartbeat(At(100)), 3),
                           At(101));
  CHECK(gate.State(At(102)) == GateState::kBehind);
  CHECK(gate.Apply(ConfigVersion{3}, At(103)));
  CHECK(gate.State(At(103)) == GateState::kServing);
  CHECK_FALSE(gate.Apply(ConfigVersion{2}, At(104)));
  CHECK(gate.in_force() == ConfigVersion{3});
}

TEST_CASE("a failure domain without control serves while a majority confirms") {
  ConfigGate gate = ConfirmedGate(ThreeEntries());
  CHECK(gate.ShouldProbePeers(At(1500)));
  DeliverProbeAnswer(gate, kPeerOne, 1500,
                     {0, true, ConfigVersion{1}, {}, kDomain});
  CHECK(gate.State(At(3000)) == GateState::kServing);
  CHECK(gate.State(At(3500)) == GateState::kIsolated);
  DeliverProbeAnswer(gate, ProcessId("elsewhere"), 3600,
                     {0, true, ConfigVersion{1}, {}, FailureDomain("zone-2")});
  CHECK(gate.State(At(3700)) == GateState::kIsolated);
  DeliverProbeAnswer(gate, kPeerTwo, 3800,
                     {0, false, ConfigVersion{1}, {}, kDomain});
  CHECK(gate.State(At(3900)) == GateState::kIsolated);
  DeliverProbeAnswer(gate, kPeerTwo, 4000,
                     {0, true, ConfigVersion{2}, {}, kDomain});
  CHECK(gate.State(At(4100)) == GateState::kBehind);
}

TEST_CASE("a lone entry of a domain needs an answer from any other entry") {
  ConfigGate gate = ConfirmedGate({{}, kDomain, 1});
  CHECK(gate.State(At(2500)) == GateState::kIsolated);
  DeliverProbeAnswer(gate, ProcessId("elsewhere"), 2600,
                     {0, true, ConfigVersion{1}, {}, kDomain});
  CHECK(gate.State(At(2700)) == GateState::kServing);
}

TEST_CASE(
    "a restarted entry needs both peers after its old lease has expired") {
  const protocol::PeerProbeAnswer admitted_answer{
      0, true, ConfigVersion{1}, {}, kDomain};
  ConfigGate gate(ThreeEntries(), At(0));
  gate.Apply(ConfigVersion{1}, At(1));
  DeliverProbeAnswer(gate, kPeerOne, 100, admitted_answer);
  DeliverProbeAnswer(gate, kPeerTwo, 100, admitted_answer);
  CHECK(gate.State(At(200)) == GateState::kNoConfiguration);
  CHECK_FALSE(gate.Answer({1}).admitted);
  DeliverProbeAnswer(gate, kPeerOne, 5000, admitted_answer);
  CHECK(gate.State(At(5100)) == GateState::kNoConfiguration);
  DeliverProbeAnswer(gate, kPeerTwo, 5200, admitted_answer);
  CHECK(gate.State(At(5300)) == GateState::kServing);
  CHECK(gate.Answer({1}).admitted);
}

protocol::EntryStatus Status(const ProcessId& process, std::uint64_t version,
                             std::uint64_t heartbeat,
                             std::uint64_t incarnation = 1) {
  return {process,   VmName(),   FailureDomain("zone"), ConfigVersion{version},
          heartbeat, incarnation};
}

TEST_CASE("a version is accepted when every entry runs it") {
  AcceptanceRule rule({}, At(0));
  CHECK_FALSE(rule.IsAccepted(ConfigVersion{1}, At(0)));
  rule.AddEntry(kPeerOne, FailureDomain("zone"));
  rule.RecordHeartbeat(Status(kPeerTwo, 1, 1), At(10));
  CHECK(rule.AcceptanceByDomain(ConfigVersion{1}, At(20))[0].behind ==
        std::vector<ProcessId>{kPeerOne});
  rule.RecordHeartbeat(Status(kPeerOne, 1, 1), At(30));
  CHECK(rule.IsAccepted(ConfigVersion{1}, At(30)));
  CHECK_FALSE(rule.IsAccepted(ConfigVersion{2}, At(30)));
}

TEST_CASE("with a silent entry a majority must report for lease plus margin") {
  AcceptanceRule rule({}, At(0));
  rule.AddEntry(ProcessId("entry-0"), FailureDomain("zone"));
  for (int i = 0; i < 10; ++i) {
    const int now = 500 * i;
    rule.RecordHeartbeat(Status(kPeerOne, 1, i + 1), At(now));
    rule.RecordHeartbeat(Status(kPeerTwo, i < 2 ? 0 : 1, i + 1), At(now));
    CHECK(rule.IsAccepted(ConfigVersion{1}, At(now)) == (now >= 3500));
  }
  CHECK_FALSE(rule.IsAccepted(ConfigVersion{1}, At(9000)));
}

TEST_CASE("a restart resets reports, and older incarnations are stale") {
  AcceptanceRule rule({}, At(0));
  CHECK(rule.RecordHeartbeat(Status(kPeerOne, 1, 9), At(10)));
  CHECK(rule.RecordHeartbeat(Status(kPeerOne, 0, 1, 2), At(20)));
  CHECK_FALSE(rule.RecordHeartbeat(Status(kPeerOne, 1, 10), At(30)));
  CHECK_FALSE(rule.IsAccepted(ConfigVersion{1}, At(30)));
}

}  // namespace
}  // namespace rattanward::membership
