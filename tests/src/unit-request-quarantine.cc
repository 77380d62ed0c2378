#include <doctest/doctest.h>

#include <string>

#include "fakes/proxy_entry.h"
#include "rattanward/membership/crash_memory.h"
#include "rattanward/membership/planned_exits.h"

namespace rattanward::proxy {
namespace {

using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;
using membership::CrashMemory;
using membership::InstanceState;

constexpr std::uint64_t kRequest = 7;
constexpr policy::RoomShare kOnlyEntry{0, 1};
constexpr Duration kSecond{std::chrono::seconds(1)};

TimePoint At(Duration time) { return TimePoint(std::chrono::hours(1) + time); }

protocol::CrashWitness Witness(std::uint64_t born) {
  return {kRequest, UpstreamId("u"), born};
}

CrashMemory Quarantined() {
  CrashMemory memory;
  for (std::uint64_t born = 1; born <= 3; ++born) {
    memory.RecordCrash(Witness(born), At({}));
  }
  REQUIRE(memory.IsQuarantined(kRequest));
  return memory;
}

membership::InstanceRecord Record(const std::string& id, std::uint64_t born,
                                  InstanceState state) {
  membership::InstanceRecord record;
  record.id = UpstreamId(id);
  record.stamp = {born, 1};
  record.endpoint = {"127.0.0.1", 80};
  record.state = state;
  return record;
}

}  // namespace

TEST_CASE("an exit that becomes known late clears the requests that it cut") {
  CrashMemory memory = Quarantined();
  memory.RecordPlannedExit({UpstreamId("u"), 2}, At(kSecond));
  CHECK_FALSE(memory.IsQuarantined(kRequest));
  CHECK(memory.TakeCleared() == std::vector{Witness(2)});
  memory.RecordCrash(Witness(2), At(kSecond));
  CHECK_FALSE(memory.IsQuarantined(kRequest));
}

TEST_CASE("a whole answer at one entry ends the quarantine at all") {
  CrashMemory memory = Quarantined();
  CrashMemory other = Quarantined();
  memory.RecordAnswer(kRequest, At(kSecond));
  CHECK_FALSE(memory.IsQuarantined(kRequest));
  for (const protocol::CrashWitness& cleared : memory.TakeCleared()) {
    other.RecordCleared(cleared, At(kSecond));
  }
  CHECK_FALSE(other.IsQuarantined(kRequest));
}

TEST_CASE("a quarantined request is tried twice, by one entry only") {
  CrashMemory memory = Quarantined();
  TimePoint now = At(CrashMemory::kFirstTrialAfter);
  CHECK_FALSE(memory.MayTry(kRequest, kOnlyEntry, now - kSecond));
  CHECK_FALSE(memory.MayTry(kRequest, {0, 2}, now));
  CHECK(memory.MayTry(kRequest, {1, 2}, now));
  memory.RecordTrial(kRequest, now);
  memory.RecordCrash(Witness(4), now);
  now += CrashMemory::kSecondTrialAfter;
  CHECK_FALSE(memory.MayTry(kRequest, kOnlyEntry, now - kSecond));
  REQUIRE(memory.MayTry(kRequest, kOnlyEntry, now));
  memory.RecordTrial(kRequest, now);
  CHECK_FALSE(memory.MayTry(kRequest, kOnlyEntry, now + 600 * kSecond));
  memory.Expire(now + CrashMemory::kRetention + kSecond);
  CHECK_FALSE(memory.IsQuarantined(kRequest));
}

TEST_CASE("an instance that another has replaced has announced no exit") {
  membership::InstanceDirectory directory;
  const auto gone = Record("u1", 1, InstanceState::kGone);
  directory.Merge(gone, At({}));
  CHECK(membership::PlannedExits({gone}, directory).size() == 1);
  directory.Merge(Record("u2", 2, InstanceState::kReady), At({}));
  CHECK(membership::PlannedExits({gone}, directory).empty());
  const auto draining = Record("u1", 1, InstanceState::kDraining);
  CHECK(membership::PlannedExits({draining}, directory).size() == 1);
}

TEST_CASE("a request cut by upstreams that left as announced is still served") {
  ProxyEntry entry;
  constexpr std::uint64_t kLeaving = 4;
  for (std::uint64_t number = 1; number <= kLeaving; ++number) {
    entry.AddUpstream([&entry, number](LoopbackPeer& peer, const std::string&) {
      membership::InstanceRecord record;
      record.id = UpstreamId("u" + std::to_string(number));
      record.stamp = {number, 2};
      record.service = ServiceName("s");
      record.endpoint = entry.upstreams[number - 1]->endpoint();
      record.state = InstanceState::kDraining;
      entry.data_path->UpdateInstances({record});
      entry.upstreams[number - 1]->Stop();
      peer.Close(true);
    });
  }
  for (std::uint64_t number = 1; number <= kLeaving; ++number) {
    const auto caller = entry.ConnectCaller();
    caller->Send(
        MakeRequest("/once/", std::to_string(number), "asked often", "66 67"));
    REQUIRE(Receives(entry, caller, "HTTP/1.1 502"));
    entry.RunUntil([&] { return false; }, std::chrono::milliseconds(100));
  }
  CHECK(entry.witnesses.empty());
  CHECK(entry.suspicions.empty());
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("5", "ok"));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "5", "asked often"));
  CHECK(Receives(entry, caller, "HTTP/1.1 200"));
}

TEST_CASE(
    "an exit that becomes known late takes back what it raised of parts") {
  ProxyEntry entry;
  entry.AddUpstream([&entry](LoopbackPeer& peer, const std::string&) {
    entry.upstreams[0]->Stop();
    peer.Close(true);
  });
  const Endpoint endpoint = entry.upstreams[0]->endpoint();
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1", "body", "66 67"));
  REQUIRE(entry.RunUntil([&] { return !entry.witnesses.empty(); }));
  REQUIRE(entry.suspicions == std::vector<policy::PartSuspicion>{{66, 0, 1}});
  membership::InstanceRecord record = Record("u1", 1, InstanceState::kDraining);
  record.stamp.sequence = 2;
  record.endpoint = endpoint;
  entry.data_path->UpdateInstances({record});
  CHECK(entry.suspicions.back() == policy::PartSuspicion{66, 1, 0});
  entry.data_path->UpdateInstances({record});
  CHECK(entry.suspicions.size() == 2);
}

}  // namespace rattanward::proxy
