#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <thread>

#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/event_log.h"
#include "rattanward/adapter/metrics.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/entry/caller_front.h"
#include "rattanward/entry/control_link.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/upstream_front.h"

DEFINE_string(settings, "", "Path of the settings file");
DEFINE_bool(check, false, "Check the settings and exit");

namespace rattanward {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
/// Threads above the limit of open requests: idle and refused connections.
constexpr std::size_t kSpareThreads = 512;
constexpr auto kSignalPoll = std::chrono::milliseconds(20);
/// In-flight answers end whole; a caller that never reads is cut after this.
constexpr auto kDrainLimit = std::chrono::minutes(10);

volatile std::sig_atomic_t g_terminate = 0;

void OnTerminate(int) { g_terminate = 1; }

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
         const std::string& secret, std::shared_ptr<adapter::EventLog> log)
      : settings_(std::move(settings)),
        events_(adapter::MakeEventSink(std::move(log))),
        core_(Options(), events_),
        control_link_(core_, settings_, secret, events_),
        upstream_front_(core_, std::move(announce_token)),
        recorder_(metrics_, events_),
        caller_front_(core_, recorder_,
                      settings_.identity.process.str() + "-" + BootId(),
                      settings_.max_open_requests + kSpareThreads, nullptr,
                      [this] { return MetricsText(); }) {}

  int Run() {
    events_(Event{EventId::kProcessStarted, {}});
    control_link_.Start();
    core_.Start();
    const Status announcements =
        upstream_front_.Start(settings_.announce_listen);
    const auto callers = caller_front_.Start(settings_.http_listen);
    if (!announcements || !callers) {
      std::cerr
          << "rattanwardd: "
          << (announcements ? callers.error() : announcements.error()).message
          << "\n";
      return kExitCannotListen;
    }
    while (g_terminate == 0) {
      std::this_thread::sleep_for(kSignalPoll);
    }
    Shutdown();
    return 0;
  }

 private:
  policy::DispatcherOptions Options() const {
    policy::DispatcherOptions options;
    options.profile = settings_.profile;
    options.failure_domain = settings_.identity.failure_domain;
    options.seed = std::random_device()();
    options.entries =
        static_cast<std::uint32_t>(settings_.peer_endpoints.size()) + 1;
    return options;
  }

  std::string MetricsText() {
    const entry::EntryStatusView view = core_.Status();
    metrics_.SetConfigVersion(view.version);
    metrics_.SetOpenRequests(static_cast<std::uint32_t>(view.open_requests));
    return adapter::ToScrapeText(metrics_.Snapshot());
  }

  void Shutdown() {
    events_(Event{EventId::kShutdownStarted, {}});
    caller_front_.FailReadiness();
    std::this_thread::sleep_for(settings_.shutdown_grace);
    core_.RefuseNewWork();
    const auto limit = std::chrono::steady_clock::now() + kDrainLimit;
    while (caller_front_.InFlight() != 0 &&
           std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(kSignalPoll);
    }
    caller_front_.Stop();
    upstream_front_.Stop();
    core_.Stop();
    events_(Event{EventId::kProcessStopped, {}});
  }

  adapter::EntrySettings settings_;
  port::EventSink events_;
  entry::EntryCore core_;
  entry::ControlLink control_link_;
  entry::UpstreamFront upstream_front_;
  adapter::Metrics metrics_;
  entry::RequestRecorder recorder_;
  entry::CallerFront caller_front_;
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
  std::signal(SIGTERM, rattanward::OnTerminate);
  std::signal(SIGINT, rattanward::OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
  return rattanward::Main();
}
