#include <malloc.h>

#include <algorithm>
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
#include "rattanward/adapter/stop_signals.h"
#include "rattanward/entry/caller_front.h"
#include "rattanward/entry/claim_desk.h"
#include "rattanward/entry/cluster_link.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/upstream_front.h"
#include "rattanward/http/memory_log.h"
#include "rattanward/policy/stop_plan.h"

namespace rattanward {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
/// Connections allowed above the limit of open requests, for idle ones and
/// for those whose request is rejected.
constexpr std::size_t kSpareConnections = 512;
/// Interval at which a shutdown checks whether its present step is complete.
constexpr auto kShutdownPollInterval = std::chrono::milliseconds(20);

/// Random id that tells the runs of this process apart.
std::string RandomBootId() {
  std::random_device random;
  constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuv";
  std::string id;
  for (int i = 0; i < 8; ++i) {
    id.push_back(kDigits[random() % kDigits.size()]);
  }
  return id;
}

/// The entry daemon: owns the components of the process, starts them and shuts
/// them down in steps.
class Daemon {
 public:
  Daemon(adapter::EntrySettings settings, std::string announce_token,
         const std::string& secret,
         const std::shared_ptr<adapter::EventLog>& log)
      : settings_(std::move(settings)),
        boot_id_(RandomBootId()),
        events_(adapter::MakeEventSink(log)),
        core_(DispatcherOptions(), entry::GateOptions(settings_), events_),
        cluster_(core_, settings_, secret, log),
        claims_(core_, cluster_.control(), settings_.identity.process,
                boot_id_),
        upstream_front_(
            core_.context(),
            [this](const Announcement& announcement) {
              cluster_.Announce(announcement);
            },
            std::move(announce_token)),
        recorder_(metrics_, events_),
        memory_(std::make_shared<http::MemoryBudget>(
            http::MemoryBudget::LimitFor(settings_.memory_mb))),
        caller_front_(
            core_, recorder_, settings_.identity.process.str() + "-" + boot_id_,
            settings_.max_open_requests + kSpareConnections, memory_,
            [this](const auto& request, const auto& config) {
              return MakeGuard(request, config);
            },
            [this] { return MetricsText(); }),
        timers_(core_.context()) {}

  /// Runs the daemon until a signal stops it, and returns the exit code.
  int Run(adapter::StopSignals& signals) {
    signals.Watch(core_.context(), [this] { BeginShutdown(); });
    const int code = Serve();
    signals.Close();
    return code;
  }

 private:
  int Serve() {
    events_(Event{EventId::kProcessStarted, {}});
    const Status listening = StartComponents();
    if (!listening) {
      std::cerr << "rattanwardd: " << listening.error().message << "\n";
      return kExitCannotListen;
    }
    http::LogEvictions(*memory_, events_);
    events_(Event{EventId::kProcessReady, {}});
    core_.Run();
    events_(Event{EventId::kProcessStopped, {}});
    return 0;
  }

  policy::DispatcherOptions DispatcherOptions() const {
    policy::DispatcherOptions options;
    options.profile = settings_.profile;
    options.failure_domain = settings_.identity.failure_domain;
    options.seed = std::random_device()();
    options.entries = static_cast<std::uint32_t>(settings_.peers.size()) + 1;
    return options;
  }

  entry::RelayPeers PeersToRelayTo() const {
    entry::RelayPeers out;
    for (const adapter::PeerEntry& peer : settings_.peers) {
      const bool nearby =
          peer.failure_domain == settings_.identity.failure_domain;
      if (!peer.http.address.empty()) {
        (nearby ? out.nearby : out.remote).insert(peer.http);
      }
    }
    return out;
  }

  /// Starts the components; the endpoint for callers comes last.
  Status StartComponents() {
    caller_front_.RelayTo(PeersToRelayTo());
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

  /// Creates the guard that claims the request's idempotency key before the
  /// request is sent to an upstream.
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
    return adapter::ToScrapeText(metrics_.Snapshot()) +
           http::ScrapeText(*memory_);
  }

  /// Shutdown, step 1: fails the readiness check and refuses what would not end
  /// in time, but goes on serving new requests for the grace period, so that
  /// callers can notice it.
  void BeginShutdown() {
    const TimePoint now = entry::EntryCore::Now();
    const policy::StopPlan plan(
        now, {settings_.shutdown_grace, settings_.shutdown_limit});
    events_(Event{EventId::kShutdownStarted,
                  {{"open", std::to_string(caller_front_.open_requests())}}});
    caller_front_.FailReadiness();
    core_.BeginStop(plan);
    timers_.After(plan.takes_until() - now,
                  [this, plan](TimePoint) { Drain(plan); });
  }

  /// Step 2: rejects new requests and waits until the open ones are answered.
  void Drain(const policy::StopPlan& plan) {
    core_.RefuseNewWork();
    const auto answered = [this] { return caller_front_.open_requests() == 0; };
    PollUntil(plan.answers_at(), answered, [this, plan] { EndAnswers(plan); });
  }

  /// Step 3: gives what is still open its final answer and closes each
  /// connection after it. Connections stay open until here, so that requests
  /// which arrive during the drain get the error that they did not run. Claims
  /// are settled meanwhile; without a quorum of control VMs they can't be.
  void EndAnswers(const policy::StopPlan& plan) {
    caller_front_.CutShort();
    caller_front_.CloseAfterResponses();
    const auto done = [this] {
      return caller_front_.connections() == 0 && claims_.open() == 0;
    };
    PollUntil(plan.ends_at(), done, [this] { Stop(); });
  }

  void Stop() {
    caller_front_.Stop();
    upstream_front_.Stop();
    cluster_.Stop();
    core_.Stop();
  }

  /// Calls on_done once is_done() gives true or the time has come, without
  /// blocking the event loop.
  void PollUntil(TimePoint end, const std::function<bool()>& is_done,
                 const std::function<void()>& on_done) {
    const TimePoint now = entry::EntryCore::Now();
    if (is_done() || now >= end) {
      on_done();
      return;
    }
    timers_.After(std::min<Duration>(kShutdownPollInterval, end - now),
                  [this, end, is_done, on_done](TimePoint) {
                    PollUntil(end, is_done, on_done);
                  });
  }

  adapter::EntrySettings settings_;
  std::string boot_id_;
  port::EventSink events_;
  entry::EntryCore core_;
  entry::ClusterLink cluster_;
  entry::ClaimCoordinator claims_;
  entry::UpstreamFront upstream_front_;
  adapter::Metrics metrics_;
  entry::RequestRecorder recorder_;
  std::shared_ptr<http::MemoryBudget> memory_;
  entry::CallerFront caller_front_;
  adapter::AsioTimerService timers_;
};

int Main(adapter::StopSignals& signals) {
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
  return daemon.Run(signals);
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  // Otherwise the library keeps freed buffers up to the size of the largest.
  constexpr int kLargeBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  rattanward::adapter::StopSignals signals;
  const rattanward::adapter::ProgramInfo info{
      "rattanwardd", RATTANWARD_VERSION,
      "rattanwardd --settings FILE\nEntry daemon: takes callers' requests and "
      "routes them to upstreams."};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  return rattanward::Main(signals);
}
