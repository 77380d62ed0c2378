#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/reserved_ports.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

/// A control VM on its own that knows one upstream.
class ReportedControl {
 public:
  ReportedControl()
      : endpoint_(fakes::ReservedEndpoint()),
        daemon_(io_, Settings(), "secret",
                adapter::FileLogStorage::Open(folder_.path() + "/log").value(),
                [](const Event&) {}),
        hub_(daemon_, Options(), [](const Event&) {}) {
    REQUIRE(daemon_.Start());
    hub_.Start();
    membership::InstanceRecord upstream;
    upstream.id = UpstreamId("u");
    upstream.stamp = {1, 1};
    upstream.service = ServiceName("s");
    hub_.Register(upstream, [](const Status&) {});
  }
  ~ReportedControl() {
    daemon_.Stop();
    io_.run_for(std::chrono::milliseconds(50));
  }
  ReportedControl(const ReportedControl&) = delete;
  ReportedControl& operator=(const ReportedControl&) = delete;

  asio::io_context& io() { return io_; }
  const Endpoint& endpoint() const { return endpoint_; }
  const RoutingHub& hub() const { return hub_; }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return done();
  }

 private:
  /// The upstream doesn't become silent, which would be pushed, too.
  static RoutingHubOptions Options() {
    RoutingHubOptions options;
    options.heartbeat = std::chrono::minutes(1);
    return options;
  }
  adapter::ControlSettings Settings() {
    adapter::ControlSettings settings;
    settings.data_folder = folder_.path() + "/log";
    settings.peer_listen = endpoint_;
    return settings;
  }

  fakes::TemporaryFolder folder_;
  asio::io_context io_;
  Endpoint endpoint_;
  ControlDaemon daemon_;
  RoutingHub hub_;
};

/// One connection of an entry, and what control pushed into it.
class EntryConnection {
 public:
  explicit EntryConnection(ReportedControl& control)
      : client_(
            control.io(), Options(), control.endpoint(),
            [this](const protocol::Envelope& envelope) {
              directories +=
                  envelope.kind == protocol::MessageKind::kInstancePush;
              pushed.push_back(envelope.kind);
            },
            [this](const ProcessId&) { connected = true; }) {
    client_.Start();
    REQUIRE(control.RunUntil([this] { return connected; }));
  }
  ~EntryConnection() { client_.Stop(); }
  EntryConnection(const EntryConnection&) = delete;
  EntryConnection& operator=(const EntryConnection&) = delete;

  void Tell(const protocol::CrashesTold& crashes) {
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kCrashesTold;
    envelope.body = protocol::Encode(crashes);
    client_.Send(std::move(envelope));
  }

  void Report(std::uint64_t incarnation, std::uint64_t sequence,
              const std::string& process = "entry",
              std::vector<policy::ServiceDemand> demand = {}) {
    protocol::EntryReport report;
    report.process = ProcessId(process);
    report.demand = std::move(demand);
    report.incarnation = incarnation;
    report.sequence = sequence;
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kEntryReport;
    envelope.body = protocol::Encode(report);
    client_.Call(std::move(envelope), std::chrono::seconds(5),
                 [this](const Result<protocol::Envelope>& answer) {
                   answers += answer ? 1 : 0;
                 });
  }
  std::vector<protocol::MessageKind> pushed;
  bool connected = false;
  int directories = 0;
  int answers = 0;

 private:
  static adapter::TransportOptions Options() {
    adapter::TransportOptions options;
    options.self = ProcessId("entry");
    options.secret = "secret";
    return options;
  }

  adapter::PeerClient client_;
};

}  // namespace

// Guards against an entry that misses that an upstream left: it was told into a
// connection that had gone silent, of which control's end was still open.
TEST_CASE("an entry gets the whole directory on each of its connections") {
  ReportedControl control;
  EntryConnection before(control);
  before.Report(7, 1);
  REQUIRE(control.RunUntil([&] { return before.directories == 1; }));
  EntryConnection after(control);
  after.Report(7, 2);
  CHECK(control.RunUntil([&] { return after.directories == 1; }));
  SUBCASE("an older report on the connection before changes nothing") {
    before.Report(7, 1);
    after.Report(7, 3);
    CHECK(control.RunUntil([&] { return after.answers == 2; }));
    CHECK(before.answers == 1);
    CHECK(after.directories == 1);
  }
}

// Guards against an entry that control ignores for ten seconds after a reboot
// of its VM, since its incarnation is the time since the boot.
TEST_CASE("an entry is heard at once after a quick reboot") {
  ReportedControl control;
  {
    EntryConnection before(control);
    before.Report(9'000'000, 50);
    REQUIRE(control.RunUntil([&] { return before.answers == 1; }));
  }
  EntryConnection after(control);
  std::uint64_t sequence = 0;
  CHECK(control.RunUntil([&] {
    after.Report(5'000, ++sequence);
    return after.directories == 1;
  }));
}

// Guards against an entry that sends a crashing request before it has heard
// that this is held back.
TEST_CASE("an entry hears of crashes before it knows an upstream") {
  ReportedControl control;
  EntryConnection connection(control);
  connection.Tell({{{7, UpstreamId("u"), 1}}, {}, {}});
  connection.Report(1, 1);
  REQUIRE(control.RunUntil([&] { return connection.directories == 1; }));
  CHECK(connection.pushed == std::vector{protocol::MessageKind::kCrashesTold,
                                         protocol::MessageKind::kInstancePush});
}

// Guards against a plan for upstreams that follows one entry's demand only, or
// the speed of the fastest upstream that any entry saw.
TEST_CASE("the demand of all entries is summed") {
  ReportedControl control;
  EntryConnection connection(control);
  const ServiceName s("s");
  connection.Report(1, 1, "one", {{s, 1, 2, 3, 4, 50}});
  connection.Report(1, 1, "two", {{s, 10, 20, 30, 40, 0}});
  connection.Report(1, 1, "three", {{s, 0, 0, 0, 0, 70}});
  connection.Report(1, 1, "four", {{s, 0, 0, 0, 0, 900}});
  REQUIRE(control.RunUntil([&] { return connection.answers == 4; }));
  CHECK(control.hub().Demand() ==
        std::vector<policy::ServiceDemand>{{s, 11, 22, 33, 44, 70}});
}

}  // namespace rattanward::control
