#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/control_fleet.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_io.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/control/departure_store.h"
#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

using membership::InstanceRecord;
using membership::InstanceState;

constexpr std::uint64_t kBorn = 7;

InstanceRecord Heartbeat(const std::string& id, std::uint64_t sequence,
                         InstanceState state = InstanceState::kReady) {
  InstanceRecord record;
  record.id = UpstreamId(id);
  record.stamp = {kBorn, sequence};
  record.service = ServiceName("s");
  record.endpoint = {"10.0.0." + id.substr(1), 80};
  record.state = state;
  return record;
}

/// A control VM on its own, whose folder outlives it.
class LoneControl {
 public:
  explicit LoneControl(const std::string& folder)
      : daemon_(io_, Settings(folder), "secret",
                adapter::FileLogStorage::Open(folder + "/log").value(),
                [this](const Event& event) { events.push_back(event.id); }),
        hub_(daemon_, Options(folder),
             [this](const Event& event) { events.push_back(event.id); }) {
    REQUIRE(daemon_.Start());
    hub_.Start();
  }
  ~LoneControl() {
    daemon_.Stop();
    io_.run_for(std::chrono::milliseconds(50));
  }
  LoneControl(const LoneControl&) = delete;
  LoneControl& operator=(const LoneControl&) = delete;

  /// Returns whether the heartbeat was acknowledged within two seconds.
  bool Register(const InstanceRecord& record) {
    return Acknowledges(
        [&](RoutingHub::Done done) { hub_.Register(record, std::move(done)); });
  }
  bool Deregister(const std::string& id) {
    return Acknowledges([&](RoutingHub::Done done) {
      hub_.Deregister(UpstreamId(id), kBorn, std::move(done));
    });
  }
  /// An entry reports that the upstream told in an answer that it leaves.
  void ReportLeaving(const std::string& id) {
    protocol::EntryReport report;
    report.process = ProcessId("entry");
    report.leaving = {{UpstreamId(id), kBorn}};
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kEntryReport;
    envelope.body = protocol::Encode(report);
    hub_.HandleMessage({report.process, std::move(envelope)}, {});
    io_.restart();
    io_.run_for(std::chrono::milliseconds(400));
  }
  InstanceState StateOf(const std::string& id) const {
    return hub_.directory().Find(UpstreamId(id))->state;
  }

  std::vector<EventId> events;

 private:
  static adapter::ControlSettings Settings(const std::string& folder) {
    adapter::ControlSettings settings;
    settings.data_folder = folder + "/log";
    settings.peer_listen = {"127.0.0.1", 0};
    return settings;
  }
  static RoutingHubOptions Options(const std::string& folder) {
    RoutingHubOptions options;
    options.data_folder = folder;
    options.wanted_voters = 1;
    return options;
  }

  template <class Call>
  bool Acknowledges(Call call) {
    std::optional<bool> acknowledged;
    call([&](const Status& status) { acknowledged = status.has_value(); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!acknowledged && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return acknowledged.value_or(false);
  }

  asio::io_context io_;
  ControlDaemon daemon_;
  RoutingHub hub_;
};

/// A folder in the place of the temporary file refuses every write.
void RefuseDepartures(const std::string& folder) {
  REQUIRE(adapter::MakeFolder(folder + "/departures.tmp"));
}

/// Control VMs on whose disks departures are kept.
class HubGroup : public fakes::ControlFleet {
 public:
  /// Whether it was acknowledged.
  bool Register(std::size_t at, const InstanceRecord& record) {
    return Acknowledges([&](RoutingHub::Done done) {
      hub(at).Register(record, std::move(done));
    });
  }
  bool Deregister(std::size_t at, const std::string& id) {
    return Acknowledges([&](RoutingHub::Done done) {
      hub(at).Deregister(UpstreamId(id), kBorn, std::move(done));
    });
  }

  std::size_t DisksThatHold(const std::string& id) const {
    std::size_t disks = 0;
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      disks += Holds(folder(vm), id) ? 1 : 0;
    }
    return disks;
  }

 private:
  static bool Holds(const std::string& folder, const std::string& id) {
    const auto saved = DepartureStore(folder).Load();
    return saved &&
           std::any_of(saved.value().records.begin(),
                       saved.value().records.end(),
                       [&](const auto& r) { return r.id == UpstreamId(id); });
  }

  template <class Call>
  bool Acknowledges(Call call) {
    std::optional<bool> acknowledged;
    call([&](const Status& status) { acknowledged = status.has_value(); });
    return RunUntil([&] { return acknowledged.has_value(); }) && *acknowledged;
  }
};

}  // namespace

// Guards against requests to an upstream that left, after its departure was
// forgotten (review case 4).
TEST_CASE("a late heartbeat brings nothing back after all processes restart") {
  const fakes::TemporaryFolder folder;
  {
    LoneControl control(folder.path());
    CHECK(control.Register(Heartbeat("i1", 4)));
    CHECK(control.Register(Heartbeat("i2", 4)));
    CHECK(control.Register(Heartbeat("i3", 4)));
    CHECK(control.Deregister("i1"));
    CHECK(control.Register(Heartbeat("i2", 6, InstanceState::kDraining)));
  }
  LoneControl restarted(folder.path());
  CHECK(restarted.Register(Heartbeat("i1", 5)));
  CHECK(restarted.Register(Heartbeat("i2", 5)));
  CHECK(restarted.Register(Heartbeat("i3", 5)));
  CHECK(restarted.StateOf("i1") == InstanceState::kGone);
  CHECK(restarted.StateOf("i2") == InstanceState::kDraining);
  CHECK(restarted.StateOf("i3") == InstanceState::kReady);
  SUBCASE("the next start under the same id is taken at once") {
    InstanceRecord next = Heartbeat("i1", 1);
    next.stamp.born = 8;
    CHECK(restarted.Register(next));
    CHECK(restarted.StateOf("i1") == InstanceState::kReady);
  }
}

// Guards against the same where no heartbeat said that the upstream leaves.
TEST_CASE("what an answer told of a leaving upstream survives all restarts") {
  const fakes::TemporaryFolder folder;
  {
    LoneControl control(folder.path());
    CHECK(control.Register(Heartbeat("i1", 4)));
    control.ReportLeaving("i1");
    CHECK(control.StateOf("i1") == InstanceState::kDraining);
  }
  LoneControl restarted(folder.path());
  CHECK(restarted.Register(Heartbeat("i1", 5)));
  CHECK(restarted.StateOf("i1") == InstanceState::kDraining);
}

TEST_CASE("a damaged file of departures is told, and replaced by the next") {
  const fakes::TemporaryFolder folder;
  REQUIRE(adapter::WriteFile(folder.path() + "/departures", "not a record"));
  CHECK_FALSE(DepartureStore(folder.path()).Load());
  LoneControl control(folder.path());
  CHECK(std::count(control.events.begin(), control.events.end(),
                   EventId::kDeparturesNotKept) == 1);
  CHECK(control.Register(Heartbeat("i1", 4)));
  CHECK(control.Deregister("i1"));
  const auto saved = DepartureStore(folder.path()).Load();
  REQUIRE(saved);
  REQUIRE(saved.value().records.size() == 1);
  CHECK(saved.value().records[0].state == InstanceState::kGone);
}

// Guards against an acknowledgement that a restart of all processes undoes.
TEST_CASE("a departure that no disk holds is heeded, but not acknowledged") {
  const fakes::TemporaryFolder folder;
  LoneControl control(folder.path());
  RefuseDepartures(folder.path());
  CHECK(control.Register(Heartbeat("i1", 4)));
  CHECK_FALSE(control.Deregister("i1"));
  CHECK(control.StateOf("i1") == InstanceState::kGone);
  // Once for the disk, once for the acknowledgement.
  CHECK(std::count(control.events.begin(), control.events.end(),
                   EventId::kDeparturesNotKept) == 2);
}

// Guards against a departure that is lost with the disk of the control VM that
// acknowledged it.
TEST_CASE("an acknowledged departure is on a majority of the disks") {
  HubGroup group;
  REQUIRE(group.Founded());
  CHECK(group.Register(0, Heartbeat("i1", 4)));
  SUBCASE("all disks take it") {
    CHECK(group.Deregister(0, "i1"));
    CHECK(group.DisksThatHold("i1") >= 2);
  }
  SUBCASE("the other disks refuse") {
    RefuseDepartures(group.folder(1));
    RefuseDepartures(group.folder(2));
    CHECK_FALSE(group.Deregister(0, "i1"));
    CHECK(group.DisksThatHold("i1") == 1);
  }
  SUBCASE("the asked one's disk refuses") {
    RefuseDepartures(group.folder(0));
    CHECK(group.Deregister(0, "i1"));
    CHECK(group.DisksThatHold("i1") == 2);
  }
  SUBCASE("it is told again, to another control VM") {
    CHECK(group.Deregister(0, "i1"));
    CHECK(group.Deregister(1, "i1"));
  }
  SUBCASE("the upstream drains") {
    const auto draining = Heartbeat("i1", 5, InstanceState::kDraining);
    CHECK(group.Register(0, draining));
    CHECK(group.DisksThatHold("i1") >= 2);
    RefuseDepartures(group.folder(1));
    RefuseDepartures(group.folder(2));
    const auto again = Heartbeat("i1", 6, InstanceState::kDraining);
    CHECK(group.Register(0, again));
  }
}

TEST_CASE("of too many departures the latest are kept") {
  membership::InstanceDirectory directory;
  for (int i = 1; i <= 5; ++i) {
    directory.Merge(Heartbeat("i" + std::to_string(i), 1),
                    TimePoint(std::chrono::seconds(i)));
    directory.Deregister(UpstreamId("i" + std::to_string(i)), 7,
                         TimePoint(std::chrono::seconds(10 + i)));
  }
  const auto kept = directory.Departed(2);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].id == UpstreamId("i5"));
  CHECK(kept[1].id == UpstreamId("i4"));
}

}  // namespace rattanward::control
