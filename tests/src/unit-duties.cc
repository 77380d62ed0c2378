#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fakes/duty_platform.h"
#include "fakes/reserved_ports.h"
#include "fakes/temporary_folder.h"
#include "platform/duty_calls.h"
#include "rattanward/control/usage_desk.h"

namespace rattanward::control {
namespace {

using fakes::DutyPlatform;
using std::chrono::milliseconds;

constexpr Duration kLease{milliseconds(600)};
constexpr Duration kWindow{std::chrono::seconds(1)};
const DutySubject kScaling{DutyKind::kScaling, ServiceName("s"),
                           FailureDomain("a")};

/// One control VM that leads, with its duties, beside a platform.
class DutySite {
 public:
  DutySite() : platform_(io_), dialect_(platform_.endpoint()) { Open("vm1"); }

  /// Starts the control VM again on the same disk, under another name.
  void Restart(const std::string& holder) {
    desk_->Stop();
    daemon_->Stop();
    io_.run();
    io_.restart();
    // Handlers that were posted before the stop refer to the old objects.
    io_.run_for(milliseconds(50));
    usage_.reset();
    desk_.reset();
    daemon_.reset();
    Open(holder);
  }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io_.run_for(milliseconds(10));
    }
    return done();
  }

  /// Waits for the lease of the scaling subject and gives one order.
  DutyResult Order(std::uint32_t count) {
    desk().Want(kScaling);
    REQUIRE(RunUntil([&] { return desk().Holds(kScaling); }));
    std::optional<DutyResult> result;
    desk().Order({kScaling.service, kScaling.failure_domain, count, true},
                 [&result](DutyResult given) { result = given; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  DutyPlatform& platform() { return platform_; }
  ControlDaemon& daemon() { return *daemon_; }
  DutyDesk& desk() { return *desk_; }
  UsageDesk& usage() { return *usage_; }

 private:
  void Open(const std::string& holder) {
    adapter::ControlSettings settings;
    settings.identity.process = ProcessId(holder + "/control");
    settings.peer_listen = fakes::ReservedEndpoint();
    settings.initial_voters = {settings.peer_listen};
    settings.bootstrap = true;
    daemon_.emplace(
        io_, settings, "secret",
        adapter::FileLogStorage::Open(folder_.path() + "/log").value(),
        [](const Event&) {});
    REQUIRE(daemon_->Start());
    DutyOptions options;
    options.platform = platform_.endpoint();
    options.holder = holder;
    options.calls_per_second = 100;
    options.lease = kLease;
    desk_.emplace(io_, *daemon_, options, dialect_, [](const Event&) {});
    desk_->Start();
    usage_.emplace(*daemon_, *desk_,
                   UsageOptions{kWindow, std::chrono::seconds(10)},
                   [](const Event&) {});
    usage_->Start();
  }

  asio::io_context io_;
  fakes::TemporaryFolder folder_;
  DutyPlatform platform_;
  platform::PlatformDutyDialect dialect_;
  std::optional<ControlDaemon> daemon_;
  std::optional<DutyDesk> desk_;
  std::optional<UsageDesk> usage_;
};

protocol::EntryReport Report(std::uint64_t window, bool complete,
                             std::uint64_t requests) {
  protocol::EntryReport report;
  report.process = ProcessId("e1");
  report.incarnation = 1;
  report.usage = {{window, complete, {{ClientAccountId("u"), requests}}}};
  return report;
}

}  // namespace

// Guards against a window that is reported before it is stored, or never.
TEST_CASE("the leader stores a complete window and reports what it stored") {
  DutySite site;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto window =
      static_cast<std::uint64_t>(now / std::chrono::seconds(1) - 2);
  REQUIRE(
      site.RunUntil([&] { return site.daemon().replica().ConfirmedLeader(); }));
  site.usage().OnReport(Report(window, true, 7), adapter::MonotonicNow());
  REQUIRE(site.RunUntil([&] { return !site.platform().calls().empty(); }));
  const DutyPlatform::Call& call = site.platform().calls().front();
  CHECK(call.path == "/usage");
  CHECK(call.holder == "vm1");
  const auto body = nlohmann::json::parse(call.body);
  CHECK(body.at("window_number") == window);
  CHECK(body.at("counts").at("u") == 7);
  CHECK(site.daemon().replica().ledger().newest_usage() == window);
  protocol::ControlReport answer;
  site.usage().AddTo(&answer);
  CHECK(answer.usage_stored == window);
}

// Guards against a late order that undoes a newer one.
TEST_CASE("an order after one without an answer has a higher token") {
  DutySite site;
  site.platform().FailNext(0);
  CHECK(site.Order(4) == DutyResult::kUnknown);
  CHECK(site.Order(5) == DutyResult::kAccepted);
  const auto& calls = site.platform().calls();
  REQUIRE(calls.size() == 2);
  CHECK(calls[1].token > calls[0].token);
  CHECK(nlohmann::json::parse(calls[1].body).at("spot") == true);
}

// Guards against a holder that goes on with a token that was refused.
TEST_CASE("after a conflict the holder waits with a new token") {
  DutySite site;
  site.platform().FailNext(409);
  CHECK(site.Order(4) == DutyResult::kConflict);
  const TimePoint refused = adapter::MonotonicNow();
  CHECK(site.Order(5) == DutyResult::kAccepted);
  CHECK(adapter::MonotonicNow() - refused >= kLease - milliseconds(50));
  const auto& calls = site.platform().calls();
  CHECK(calls[1].token > calls[0].token);
}

// Guards against two holders that act within one lease.
TEST_CASE("the next holder waits for the lease and takes a higher token") {
  DutySite site;
  CHECK(site.Order(4) == DutyResult::kAccepted);
  site.Restart("vm2");
  site.desk().Want(kScaling);
  REQUIRE(
      site.RunUntil([&] { return site.daemon().replica().ConfirmedLeader(); }));
  const TimePoint led = adapter::MonotonicNow();
  CHECK(site.Order(5) == DutyResult::kAccepted);
  CHECK(adapter::MonotonicNow() - led >= kLease);
  const auto& calls = site.platform().calls();
  CHECK(calls[1].holder == "vm2");
  CHECK(calls[1].token > calls[0].token);
}

// Guards against calls of a process that was told to stop.
TEST_CASE("a stopped desk sends nothing") {
  DutySite site;
  CHECK(site.Order(4) == DutyResult::kAccepted);
  site.desk().Stop();
  CHECK_FALSE(site.desk().Holds(kScaling));
  DutyResult result = DutyResult::kAccepted;
  site.desk().Order({kScaling.service, kScaling.failure_domain, 5, false},
                    [&result](DutyResult given) { result = given; });
  CHECK(result == DutyResult::kNotHeld);
}

}  // namespace rattanward::control
