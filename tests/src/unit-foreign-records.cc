#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rattanward/membership/instance_directory.h"
#include "rattanward/membership/planned_exits.h"

namespace rattanward::membership {
namespace {

const ServiceName kYard("yard");
const ServiceName kDesk("desk");
const ServiceName kForeign("not-of-this-house");
const UpstreamId kSound("i-sound");
const Endpoint kAddress{"10.0.0.1", 80};

TimePoint At(int seconds) {
  return TimePoint() + std::chrono::seconds(seconds);
}

NamedServices Named(const std::set<ServiceName>& services) {
  return NamedServices(services);
}

InstanceRecord MakeRecord(const UpstreamId& id, const ServiceName& service,
                          std::uint64_t born, std::uint64_t sequence = 1) {
  InstanceRecord record;
  record.id = id;
  record.service = service;
  record.stamp = {born, sequence};
  record.endpoint = kAddress;
  return record;
}

bool IsReady(const InstanceDirectory& directory, const UpstreamId& id) {
  const InstanceRecord* record = directory.Find(id);
  return record != nullptr && record->state == InstanceState::kReady &&
         record->service != kForeign;
}

/// Tells all that one directory knows to another one.
void Tell(const InstanceDirectory& from, InstanceDirectory* to) {
  for (const InstanceRecord& record : from.AllToTell()) {
    to->Merge(record, At(0));
  }
}

}  // namespace

// Guards against a heartbeat of another writer that puts a sound upstream out
// of use.
TEST_CASE("a record of a service that is not named takes nothing over") {
  InstanceDirectory control;
  InstanceDirectory entry;
  control.SetServices(Named({kYard}));
  entry.SetServices(Named({kYard}));
  control.Merge(MakeRecord(kSound, kYard, 5), At(0));
  Tell(control, &entry);
  InstanceRecord foreign = MakeRecord(UpstreamId("i-other"), kForeign, 9);
  SUBCASE("with its address") {}
  SUBCASE("with its id as well") { foreign.id = kSound; }
  SUBCASE("with its id, and draining") {
    foreign.id = kSound;
    foreign.state = InstanceState::kDraining;
  }
  SUBCASE("with its id and start, and draining") {
    foreign = MakeRecord(kSound, kForeign, 5, 9);
    foreign.state = InstanceState::kDraining;
  }
  control.Merge(foreign, At(1));
  CHECK(IsReady(control, kSound));
  CHECK(PlannedExits({foreign}, control).empty());
  // By push, at a control VM that has just started, and by another entry.
  for (const InstanceRecord& record : control.TakeUnnamedChanges()) {
    entry.Merge(record, At(1));
  }
  InstanceDirectory restarted;
  restarted.SetServices(Named({kYard}));
  Tell(control, &restarted);
  CHECK(IsReady(entry, kSound));
  CHECK(IsReady(restarted, kSound));
  CHECK(control.Merge(MakeRecord(kSound, kYard, 5, 2), At(2)) ==
        InstanceDirectory::Change::kRefreshed);
}

TEST_CASE("a record whose service is named later counts from then on") {
  InstanceDirectory directory;
  directory.SetServices(Named({kYard}));
  directory.Merge(MakeRecord(kSound, kYard, 5), At(0));
  const UpstreamId later("i-later");
  directory.Merge(MakeRecord(later, kDesk, 9), At(0));
  CHECK(directory.Find(later) == nullptr);
  directory.TakeChanges();
  directory.SetServices(Named({kYard, kDesk}));
  CHECK(IsReady(directory, later));
  CHECK_FALSE(IsReady(directory, kSound));
  CHECK(directory.TakeChanges().size() == 2);
  // It owns nothing any more when its service is dropped.
  directory.SetServices(Named({kYard}));
  CHECK(IsReady(directory, kSound));
  CHECK(directory.TakeChanges().size() == 1);
  directory.SetServices(Named({kYard, kDesk}));
  CHECK_FALSE(IsReady(directory, kSound));
}

TEST_CASE("an upstream that a dropped service had displaced comes back") {
  InstanceDirectory control;
  InstanceDirectory entry;
  for (InstanceDirectory* directory : {&control, &entry}) {
    directory->SetServices(Named({kYard, kDesk}));
  }
  control.Merge(MakeRecord(kSound, kYard, 5), At(0));
  control.Merge(MakeRecord(kSound, kDesk, 9), At(0));
  Tell(control, &entry);
  CHECK(entry.Find(kSound)->service == kDesk);
  for (InstanceDirectory* directory : {&control, &entry}) {
    directory->SetServices(Named({kYard}));
  }
  control.Merge(MakeRecord(kSound, kYard, 5, 2), At(1));
  for (const InstanceRecord& record : control.TakeChanges()) {
    entry.Merge(record, At(1));
  }
  CHECK(entry.Find(kSound)->service == kYard);
  CHECK(IsReady(entry, kSound));
}

TEST_CASE("a departure counts though the service is named only afterwards") {
  InstanceDirectory directory;
  directory.SetServices(Named({}));
  directory.Merge(MakeRecord(kSound, kYard, 5), At(0));
  CHECK(directory.Depart(kSound, At(1)) ==
        InstanceDirectory::Departure::kKnownStart);
  directory.SetServices(Named({kYard}));
  directory.Merge(MakeRecord(kSound, kYard, 5, 2), At(2));
  CHECK_FALSE(IsReady(directory, kSound));
  directory.Merge(MakeRecord(kSound, kYard, 6), At(2));
  CHECK(IsReady(directory, kSound));
}

// Guards against a start time of a wrong clock that blocks an address for good.
TEST_CASE("an address is free again a while after its latest start is gone") {
  constexpr std::uint64_t kFarFuture = 1ULL << 60U;
  InstanceDirectory directory;
  directory.SetServices(Named({kYard}));
  directory.Merge(MakeRecord(UpstreamId("i-wrong"), kYard, kFarFuture), At(0));
  directory.Merge(MakeRecord(kSound, kYard, 5), At(1));
  CHECK_FALSE(IsReady(directory, kSound));
  directory.MarkSilent(At(5));
  directory.Forget(At(5));
  directory.Merge(MakeRecord(kSound, kYard, 5, 60), At(65));
  CHECK(IsReady(directory, kSound));
}

TEST_CASE("a replaced start is known as such where its evidence is told") {
  InstanceDirectory control;
  control.Merge(MakeRecord(kSound, kYard, 5), At(0));
  control.Merge(MakeRecord(UpstreamId("i-next"), kYard, 9), At(1));
  const InstanceRecord told = *control.Find(kSound);
  CHECK(told.replaced);
  CHECK(told.takeover.owner == AddressOwner{kYard, 9});
  InstanceDirectory entry;
  entry.Merge(told, At(1));
  CHECK_FALSE(IsReady(entry, kSound));
  entry.Merge(MakeRecord(kSound, kYard, 5, 7), At(2));
  CHECK_FALSE(IsReady(entry, kSound));
}

TEST_CASE("records that do not count are bounded, the newest stay") {
  UnnamedRecords records;
  for (std::size_t i = 0; i <= UnnamedRecords::kMaxRecords; ++i) {
    records.Merge(MakeRecord(UpstreamId("i-" + std::to_string(i)), kForeign, 1),
                  At(static_cast<int>(i)));
  }
  CHECK(records.All().size() == UnnamedRecords::kMaxRecords);
  CHECK(records.Find(UpstreamId("i-0")).empty());
  CHECK(records.Find(UpstreamId("i-1")).size() == 1);
}

TEST_CASE("owners of addresses are bounded, the newest stay") {
  AddressOwners owners;
  const auto address = [](std::size_t i) {
    return Endpoint{
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 80};
  };
  for (std::size_t i = 0; i <= AddressOwners::kMaxAddresses; ++i) {
    owners.Record(address(i), {kYard, 9}, At(static_cast<int>(i)));
  }
  CHECK(owners.size() == AddressOwners::kMaxAddresses);
  CHECK_FALSE(owners.Latest(address(0), NamedServices()));
  CHECK(owners.Latest(address(1), NamedServices()));
}

}  // namespace rattanward::membership
