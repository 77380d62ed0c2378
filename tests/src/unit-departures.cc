#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_io.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/control/departure_store.h"
#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

using membership::InstanceRecord;
using membership::InstanceState;

InstanceRecord Heartbeat(const std::string& id, std::uint64_t sequence,
                         InstanceState state = InstanceState::kReady) {
  InstanceRecord record;
  record.id = UpstreamId(id);
  record.stamp = {7, sequence};
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
      hub_.Deregister(UpstreamId(id), 7, std::move(done));
    });
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
    return options;
  }

  template <class Call>
  bool Acknowledges(Call call) {
    bool acknowledged = false;
    call([&](const Status&) { acknowledged = true; });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!acknowledged && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return acknowledged;
  }

  asio::io_context io_;
  ControlDaemon daemon_;
  RoutingHub hub_;
};

}  // namespace

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
  REQUIRE(saved.value().size() == 1);
  CHECK(saved.value()[0].state == InstanceState::kGone);
}

TEST_CASE("a departure is acknowledged late if the disk takes no more") {
  const fakes::TemporaryFolder folder;
  LoneControl control(folder.path());
  // A folder in the place of the temporary file refuses every write.
  REQUIRE(adapter::MakeFolder(folder.path() + "/departures.tmp"));
  CHECK(control.Register(Heartbeat("i1", 4)));
  CHECK(control.Deregister("i1"));
  CHECK(control.StateOf("i1") == InstanceState::kGone);
  CHECK(std::count(control.events.begin(), control.events.end(),
                   EventId::kDeparturesNotKept) == 1);
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
