#include <asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/daemon_flags.h"
#include "rattanward/adapter/event_log.h"
#include "rattanward/adapter/metrics.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/entry/caller_front.h"
#include "rattanward/entry/claim_desk.h"
#include "rattanward/entry/cluster_link.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/upstream_front.h"

namespace rattanward {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
/// Connections above the limit of open requests: idle and refused ones.
constexpr std::size_t kSpareConnections = 512;
/// Period in which a shutdown looks whether it may go on.
constexpr auto kShutdownPoll = std::chrono::milliseconds(20);
/// In-flight answers end whole; a caller that never reads is cut after this.
constexpr auto kDrainLimit = std::chrono::minutes(10);
/// Longest wait for claims to be settled, as when there is no quorum.
constexpr auto kClaimFlushLimit = std::chrono::seconds(3);

std::string BootId() {
  std::random_device random;
  constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuv";
  std::string id;
  for (int i = 0; i < 8; ++i) {
    id.push_back(kDigits[random() % kDigits.size()]);
  }
  return id;
}

class Daemon {
 public:
  Daemon(adapter::EntrySettings settings, std::string announce_token,
         const std::string& secret,
         const std::shared_ptr<adapter::EventLog>& log)
      : settings_(std::move(settings)),
        boot_(BootId()),
        events_(adapter::MakeEventSink(log)),
        core_(DispatcherOptions(), entry::GateOptions(settings_), events_),
        cluster_(core_, settings_, secret, log),
        claims_(core_, cluster_.control(), settings_.identity.process, boot_),
        upstream_front_(
            core_.context(),
            [this](const Announcement& announcement) {
              cluster_.Announce(announcement);
            },
            std::move(announce_token)),
        recorder_(metrics_, events_),
        caller_front_(
            core_, recorder_, settings_.identity.process.str() + "-" + boot_,
            settings_.max_open_requests + kSpareConnections,
            [this](const auto& request, const auto& config) {
              return MakeGuard(request, config);
            },
            [this] { return MetricsText(); }),
        timers_(core_.context()),
        signals_(core_.context(), SIGTERM, SIGINT) {}

  int Run() {
    events_(Event{EventId::kProcessStarted, {}});
    const Status listening = Listen();
    if (!listening) {
      std::cerr << "rattanwardd: " << listening.error().message << "\n";
      return kExitCannotListen;
    }
    events_(Event{EventId::kProcessReady, {}});
    signals_.async_wait([this](const asio::error_code& e, int) {
      if (!e) {
        BeginShutdown();
      }
    });
    core_.Run();
    events_(Event{EventId::kProcessStopped, {}});
    return 0;
  }

 private:
  policy::DispatcherOptions DispatcherOptions() const {
    policy::DispatcherOptions options;
    options.profile = settings_.profile;
    options.failure_domain = settings_.identity.failure_domain;
    options.seed = std::random_device()();
    options.entries = static_cast<std::uint32_t>(settings_.peers.size()) + 1;
    return options;
  }

  Status Listen() {
    if (const Status peers = cluster_.Start(); !peers) {
      return peers.error();
    }
    claims_.Start();
    core_.Start();
    if (const Status upstreams =
            upstream_front_.Start(settings_.announce_listen);
        !upstreams) {
      return upstreams.error();
    }
    return caller_front_.Start(settings_.http_listen);
  }

  std::shared_ptr<entry::RunGuard> MakeGuard(
      const entry::CheckedRequest& request,
      const entry::ConfigSnapshot& config) {
    const Limits& limits = config.config().limits;
    const ledger::ClaimRequest claim{
        {request.plan.info.account, request.idempotency_key},
        std::to_string(request.plan.info.fingerprint),
        limits.claim_window};
    return claims_.MakeGuard(claim, limits.max_stored_answer_bytes);
  }

  std::string MetricsText() {
    const entry::EntryStatusView view = core_.View();
    metrics_.SetConfigVersion(view.version);
    metrics_.SetOpenRequests(static_cast<std::uint32_t>(view.open_requests));
    return adapter::ToScrapeText(metrics_.Snapshot());
  }

  /// New requests are served until callers have noticed that this entry is
  /// not ready any more.
  void BeginShutdown() {
    events_(Event{EventId::kShutdownStarted, {}});
    caller_front_.FailReadiness();
    timers_.After(settings_.shutdown_grace, [this](TimePoint) { Drain(); });
  }

  void Drain() {
    core_.RefuseNewWork();
    const auto answered = [this] { return caller_front_.open_requests() == 0; };
    WaitFor(kDrainLimit, answered, [this] { CloseConnections(); });
  }

  /// Until here, requests that still came were told that they did not run.
  void CloseConnections() {
    caller_front_.CloseAfterResponses();
    const auto closed = [this] { return caller_front_.connections() == 0; };
    WaitFor(kDrainLimit, closed, [this] { SettleClaims(); });
  }

  void SettleClaims() {
    const auto settled = [this] { return claims_.open() == 0; };
    WaitFor(kClaimFlushLimit, settled, [this] { Stop(); });
  }

  void Stop() {
    caller_front_.Stop();
    upstream_front_.Stop();
    cluster_.Stop();
    core_.Stop();
  }

  /// Goes on once something is done, or after the longest wait for it.
  void WaitFor(Duration longest, const std::function<bool()>& done,
               const std::function<void()>& next) {
    if (done() || longest <= Duration(0)) {
      next();
      return;
    }
    timers_.After(kShutdownPoll, [this, longest, done, next](TimePoint) {
      WaitFor(longest - kShutdownPoll, done, next);
    });
  }

  adapter::EntrySettings settings_;
  std::string boot_;
  port::EventSink events_;
  entry::EntryCore core_;
  entry::ClusterLink cluster_;
  entry::ClaimCoordinator claims_;
  entry::UpstreamFront upstream_front_;
  adapter::Metrics metrics_;
  entry::RequestRecorder recorder_;
  entry::CallerFront caller_front_;
  adapter::AsioTimerService timers_;
  asio::signal_set signals_;
};

int Main() {
  const auto settings = adapter::LoadEntrySettings(FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitBadSettings;
  }
  const auto token = adapter::ReadSecret(settings.value().announce_token);
  const auto secret = adapter::ReadSecret(settings.value().shared_secret);
  const auto log = adapter::EventLog::Open(settings.value().identity,
                                           settings.value().log_file);
  if (!token || !secret || !log) {
    const Error& error = !token    ? token.error()
                         : !secret ? secret.error()
                                   : log.error();
    std::cerr << error.message << "\n";
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  Daemon daemon(settings.value(), token.value(), secret.value(), log.value());
  return daemon.Run();
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  const rattanward::adapter::ProgramInfo info{
      "rattanwardd", RATTANWARD_VERSION,
      "rattanwardd --settings FILE\nEntry daemon: takes callers' requests and "
      "routes them to upstreams."};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return rattanward::Main();
}
