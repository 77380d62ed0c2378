#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "fakes/control_fleet.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_io.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/control/routing_hub.h"
#include "rattanward/membership/planned_exits.h"
#include "rattanward/proxy/control_link.h"

namespace rattanward::control {
namespace {

using membership::InstanceDirectory;
using protocol::CrashesTold;
using protocol::CrashWitness;

constexpr std::uint64_t kCrashing = 7;
constexpr std::uint64_t kSound = 8;
constexpr std::uint64_t kPart = 9;

CrashWitness Witness(std::uint64_t fingerprint, std::uint64_t born) {
  return {fingerprint, UpstreamId("u" + std::to_string(born)), born};
}

/// Three crashes of one request and of a part, and one cleared of another.
protocol::EntryReport News() {
  protocol::EntryReport report;
  report.process = ProcessId("entry");
  report.witnesses = {Witness(kCrashing, 1), Witness(kCrashing, 2),
                      Witness(kCrashing, 3)};
  report.cleared = {Witness(kSound, 4)};
  report.suspicions = {{kPart, 0, 3}};
  return report;
}

/// A control VM on its own, whose folder outlives it.
class LoneControl {
 public:
  explicit LoneControl(const std::string& folder)
      : daemon_(io_, Settings(), "secret",
                adapter::FileLogStorage::Open(folder + "/log").value(),
                [](const Event&) {}),
        hub_(daemon_, Options(folder),
             [this](const Event& event) { events.push_back(event.id); }) {
    REQUIRE(daemon_.Start());
    hub_.Start();
  }
  ~LoneControl() {
    daemon_.Stop();
    RunFor(std::chrono::milliseconds(50));
  }
  LoneControl(const LoneControl&) = delete;
  LoneControl& operator=(const LoneControl&) = delete;

  void Report(const protocol::EntryReport& report) {
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kEntryReport;
    envelope.body = protocol::Encode(report);
    hub_.HandleMessage({report.process, std::move(envelope)}, {});
    RunFor(std::chrono::milliseconds(400));
  }
  const membership::CrashNews& crashes() const { return hub_.crashes(); }

  std::vector<EventId> events;

 private:
  void RunFor(Duration time) {
    io_.restart();
    io_.run_for(time);
  }
  static adapter::ControlSettings Settings() {
    adapter::ControlSettings settings;
    settings.peer_listen = {"127.0.0.1", 0};
    return settings;
  }
  static RoutingHubOptions Options(const std::string& folder) {
    RoutingHubOptions options;
    options.data_folder = folder;
    options.wanted_voters = 1;
    return options;
  }

  asio::io_context io_;
  ControlDaemon daemon_;
  RoutingHub hub_;
};

bool Knows(const membership::CrashNews& crashes) {
  const CrashesTold known = crashes.All();
  return known.witnesses == News().witnesses &&
         known.cleared == News().cleared &&
         known.suspicions == News().suspicions;
}

membership::InstanceRecord Started(const std::string& id, std::uint64_t born) {
  membership::InstanceRecord record;
  record.id = UpstreamId(id);
  record.stamp = {born, 1};
  record.endpoint = {"10.0.0.1", 80};
  return record;
}

}  // namespace

// Guards against crashing requests that are forgotten when all processes end.
TEST_CASE("what is known of crashes outlives the process") {
  const fakes::TemporaryFolder folder;
  {
    LoneControl control(folder.path());
    control.Report(News());
    REQUIRE(Knows(control.crashes()));
  }
  LoneControl control(folder.path());
  CHECK(Knows(control.crashes()));
  // What was cleared before stays cleared.
  protocol::EntryReport late;
  late.process = ProcessId("entry");
  late.witnesses = {Witness(kSound, 4)};
  control.Report(late);
  CHECK(Knows(control.crashes()));
}

TEST_CASE("a disk that refuses is logged, and a damaged file is not used") {
  const fakes::TemporaryFolder folder;
  {
    LoneControl control(folder.path());
    // A folder in the place of the temporary file refuses every write.
    REQUIRE(adapter::MakeFolder(folder.path() + "/crashes.tmp"));
    control.Report(News());
    CHECK(control.events.back() == EventId::kCrashesNotKept);
  }
  REQUIRE(adapter::WriteFile(folder.path() + "/crashes", "damaged"));
  LoneControl control(folder.path());
  REQUIRE_FALSE(control.events.empty());
  CHECK(control.events.front() == EventId::kCrashesNotKept);
  CHECK(control.crashes().witnesses() == 0);
}

// Guards against a control VM that starts without its disk and tells entries
// nothing of crashes, though the other control VMs know them.
TEST_CASE("control VMs tell each other of crashes when they connect") {
  fakes::ControlFleet fleet;
  protocol::Envelope envelope;
  envelope.kind = protocol::MessageKind::kEntryReport;
  envelope.body = protocol::Encode(News());
  // Before any of them is connected to another.
  fleet.hub(0).HandleMessage({News().process, std::move(envelope)}, {});
  CHECK(fleet.RunUntil([&] {
    return Knows(fleet.hub(1).crashes()) && Knows(fleet.hub(2).crashes());
  }));
}

// Guards against control VMs without their disks that learn only what an entry
// has seen itself.
TEST_CASE("an entry tells a control VM all that it knows when it connects") {
  asio::io_context io;
  adapter::TransportOptions options;
  options.secret = "secret";
  std::vector<CrashesTold> told;
  adapter::MessageListener listener(
      io, options,
      [&](const adapter::InboundMessage& message, const auto& /*reply*/) {
        if (message.envelope.kind == protocol::MessageKind::kCrashesTold) {
          told.push_back(
              protocol::Decode<CrashesTold>(message.envelope.body).value());
        }
      });
  REQUIRE(listener.Listen({"127.0.0.1", 0}));
  CrashesTold known{News().witnesses, {}, News().cleared};
  proxy::ControlLinkHooks hooks;
  hooks.known_crashes = [&] { return known; };
  hooks.suspicions = [] { return std::vector<policy::PartSuspicion>(); };
  hooks.limits = [] { return std::vector<UpstreamLimit>(); };
  proxy::ControlLink link(io, options, {}, hooks);
  link.ConnectTo(listener.endpoint());
  io.run_for(std::chrono::milliseconds(500));
  CHECK(told == std::vector{known});
  link.Stop();
  listener.Stop();
}

// Guards against a crash that is taken for an announced exit after a restart,
// since the start that took over the address isn't known yet.
TEST_CASE("an upstream replaced at its address has announced nothing") {
  InstanceDirectory before;
  before.Merge(Started("u1", 1), TimePoint());
  before.Merge(Started("u2", 2), TimePoint());
  const auto departed = before.Departed(10);
  REQUIRE(departed.size() == 1);
  InstanceDirectory after;
  after.Merge(departed.front(), TimePoint());
  CHECK(membership::PlannedExits(departed, after).empty());
  SUBCASE("unless it deregisters, then or later") {
    REQUIRE(after.Deregister(UpstreamId("u1"), 1, TimePoint()));
    CHECK(membership::PlannedExits(after.All(), after).size() == 1);
    before.Merge(*after.Find(UpstreamId("u1")), TimePoint());
    CHECK_FALSE(before.Find(UpstreamId("u1"))->replaced);
  }
}

}  // namespace rattanward::control
