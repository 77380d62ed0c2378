#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/proxy_entry.h"
#include "fakes/reserved_ports.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/control/routing_hub.h"
#include "rattanward/proxy/control_link.h"

namespace rattanward::control {
namespace {

using membership::DepartedIds;
using membership::InstanceDirectory;
using membership::InstanceRecord;
using membership::InstanceState;
using Change = InstanceDirectory::Change;
using Departure = InstanceDirectory::Departure;

const UpstreamId kId("u1");

InstanceRecord Heartbeat(std::uint64_t born,
                         InstanceState state = InstanceState::kReady) {
  InstanceRecord record;
  record.id = kId;
  record.stamp = {born, 5};
  record.service = ServiceName("s");
  record.endpoint = {"10.0.0.1", 80};
  record.state = state;
  return record;
}

TimePoint At(Duration time) { return TimePoint(std::chrono::hours(1) + time); }

/// A control VM on its own that has just started, as after a kill of all.
class RestartedControl {
 public:
  RestartedControl(asio::io_context& io, const std::string& folder)
      : endpoint_(fakes::ReservedEndpoint()),
        daemon_(io, Settings(), "secret",
                adapter::FileLogStorage::Open(folder + "/log").value(),
                [](const Event&) {}),
        hub_(daemon_, Options(folder), [](const Event&) {}) {
    REQUIRE(daemon_.Start());
    hub_.Start();
  }
  ~RestartedControl() { daemon_.Stop(); }
  RestartedControl(const RestartedControl&) = delete;
  RestartedControl& operator=(const RestartedControl&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  RoutingHub& hub() { return hub_; }
  /// Whether entries may send to the upstream, as far as is known here.
  bool IsReady() const {
    const InstanceRecord* record = hub_.directory().Find(kId);
    return record != nullptr && record->state == InstanceState::kReady;
  }
  void Register(const InstanceRecord& record) {
    hub_.Register(record, [](const Status&) {});
  }

 private:
  static RoutingHubOptions Options(const std::string& folder) {
    RoutingHubOptions options;
    options.data_folder = folder;
    options.wanted_voters = 1;
    return options;
  }
  adapter::ControlSettings Settings() const {
    adapter::ControlSettings settings;
    settings.peer_listen = endpoint_;
    return settings;
  }

  Endpoint endpoint_;
  ControlDaemon daemon_;
  RoutingHub hub_;
};

/// The link of an entry that knows the upstream's start 1.
class LinkedEntry {
 public:
  LinkedEntry(fakes::ProxyEntry& entry, const Endpoint& control) {
    proxy::ControlLinkHooks hooks;
    hooks.suspicions = [] { return std::vector<policy::PartSuspicion>(); };
    hooks.limits = [] { return std::vector<UpstreamLimit>(); };
    hooks.confirmed = [](TimePoint, ConfigVersion, Duration) {};
    hooks.entries = [](const protocol::ControlReport&) {};
    hooks.limit_shares = [](TimePoint, const std::vector<policy::LimitShare>&) {
    };
    hooks.room_share = [](TimePoint, const policy::RoomShare&) {};
    hooks.instances = [&entry, this](const auto& records) {
      entry.data_path->UpdateInstances(records);
      connected = true;
    };
    hooks.departed = [&entry, this](const std::vector<UpstreamId>& ids) {
      for (const auto& start : entry.data_path->RecordDeparted(ids)) {
        link_->AddLeaving(start);
      }
    };
    adapter::TransportOptions options;
    options.self = ProcessId("entry");
    options.secret = "secret";
    protocol::EntryReport self;
    self.process = options.self;
    self.incarnation = 1;
    link_.emplace(entry.io, options, self, hooks);
    link_->ConnectTo(control);
  }
  ~LinkedEntry() { link_->Stop(); }
  LinkedEntry(const LinkedEntry&) = delete;
  LinkedEntry& operator=(const LinkedEntry&) = delete;

  bool connected = false;

 private:
  std::optional<proxy::ControlLink> link_;
};

}  // namespace

// Guards against an upstream that gets requests after its deregistration was
// acknowledged by control that didn't know it.
TEST_CASE("entries heed a departure of an upstream that control doesn't know") {
  const fakes::TemporaryFolder folder;
  fakes::ProxyEntry entry;
  fakes::LoopbackUpstream& upstream = entry.AddUpstream(
      [](fakes::LoopbackPeer& peer, const std::string& request) {
        peer.Send(fakes::MakeResponse(fakes::IdOf(request), "served"));
      });
  RestartedControl control(entry.io, folder.path());
  LinkedEntry link(entry, control.endpoint());
  REQUIRE(entry.RunUntil([&] { return link.connected; }));
  SUBCASE("it deregisters without its start") {
    std::optional<bool> acknowledged;
    control.hub().Deregister(kId, std::nullopt, [&](const Status& status) {
      acknowledged = status.has_value();
    });
    CHECK_FALSE(acknowledged);
    REQUIRE(entry.RunUntil([&] { return acknowledged.has_value(); }));
    CHECK(*acknowledged);
  }
  SUBCASE("it drains") {
    bool acknowledged = false;
    control.hub().Register(
        Heartbeat(1, InstanceState::kDraining),
        [&](const Status& status) { acknowledged = status.has_value(); });
    REQUIRE(entry.RunUntil([&] { return acknowledged; }));
  }
  SUBCASE("another entry reports that an answer told it") {
    protocol::EntryReport report;
    report.process = ProcessId("other");
    report.leaving = {{kId, 1}};
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kEntryReport;
    envelope.body = protocol::Encode(report);
    control.hub().HandleMessage({report.process, std::move(envelope)}, {});
    entry.RunUntil([] { return false; }, std::chrono::milliseconds(100));
  }
  const auto caller = entry.ConnectCaller();
  caller->Send(fakes::MakeRequest("/quick/", "1"));
  CHECK(fakes::Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(upstream.requests().empty());
  // A late heartbeat of this start changes nothing; a later start is taken.
  entry.RunUntil([] { return false; }, std::chrono::milliseconds(50));
  control.Register(Heartbeat(1));
  CHECK_FALSE(control.IsReady());
  control.Register(Heartbeat(2));
  CHECK(control.IsReady());
}

// Guards against such a departure that is forgotten with the process.
TEST_CASE("a departure with an unknown start outlives the process") {
  const fakes::TemporaryFolder folder;
  {
    asio::io_context io;
    RestartedControl control(io, folder.path());
    bool acknowledged = false;
    control.hub().Deregister(kId, std::nullopt, [&](const Status& status) {
      acknowledged = status.has_value();
    });
    io.run_for(std::chrono::milliseconds(400));
    REQUIRE(acknowledged);
  }
  asio::io_context io;
  RestartedControl control(io, folder.path());
  control.Register(Heartbeat(1));
  CHECK_FALSE(control.IsReady());
}

TEST_CASE("an id whose departed start nobody knows is held for a time") {
  InstanceDirectory directory;
  CHECK(directory.Depart(kId, At({})) == Departure::kUnknownStart);
  CHECK(directory.Merge(Heartbeat(1), At({})) == Change::kStale);
  SUBCASE("until a process names the start") {
    CHECK(directory.ResolveDeparture({kId, 1}, At({})));
    CHECK(directory.Merge(Heartbeat(1), At({})) == Change::kStale);
    CHECK(directory.Merge(Heartbeat(2), At({})) == Change::kChanged);
  }
  SUBCASE("until no heartbeat can be so late") {
    directory.ExpireDepartedIds(At(DepartedIds::kHold));
    CHECK(directory.Merge(Heartbeat(2), At({})) == Change::kStale);
    directory.ExpireDepartedIds(
        At(DepartedIds::kHold + std::chrono::milliseconds(1)));
    CHECK(directory.Merge(Heartbeat(2), At({})) == Change::kChanged);
  }
}

// Guards against departures that others push out of memory.
TEST_CASE("of too many unknown departures the first are kept") {
  InstanceDirectory directory;
  for (std::size_t i = 0; i < DepartedIds::kMax; ++i) {
    REQUIRE(directory.Depart(UpstreamId("x" + std::to_string(i)), At({})) ==
            Departure::kUnknownStart);
  }
  CHECK(directory.Depart(kId, At({})) == Departure::kNotRemembered);
  CHECK(directory.IsDepartedId(UpstreamId("x0")));
  directory.Merge(Heartbeat(1), At({}));
  CHECK(directory.Depart(kId, At({})) == Departure::kKnownStart);
  CHECK(directory.Depart(kId, At({})) == Departure::kKnownStart);
}

}  // namespace rattanward::control
