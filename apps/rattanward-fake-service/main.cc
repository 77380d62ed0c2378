#include <gflags/gflags.h>
#include <httplib.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "rattanward/adapter/announce_client.h"
#include "rattanward/adapter/loopback_server.h"

DEFINE_int32(port, 0, "Port to listen on; 0 lets the system choose");
DEFINE_string(instance, "", "Instance id; made from the process id if empty");
DEFINE_string(failure_domain, "a", "Failure domain of this service");
DEFINE_string(service, "plugs", "Name of the service");
DEFINE_uint32(capacity, 8, "Calls that run at once");
DEFINE_uint32(delay_ms, 5, "Time that a call takes");
DEFINE_string(entries, "", "Entries to announce to, ADDRESS:PORT,...");
DEFINE_string(announce_token, "", "Token that the entries expect");
DEFINE_uint32(announce_period_ms, 300, "Time between two announcements");

namespace rattanward::fake {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxThreads = 256;
/// Set by SIGTERM.
volatile std::sig_atomic_t g_stop = 0;

/// @brief Counts the calls that ran under each idempotency key, so that tests
/// can detect duplicates.
class RunCounter {
 public:
  /// @brief Counts one more run.
  /// @return Runs of this key so far, this one included.
  std::uint32_t RecordRun(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ++runs_by_key_[key];
  }

  /// @brief JSON object of the runs by idempotency key.
  std::string ToJson() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Json(runs_by_key_).dump();
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::uint32_t> runs_by_key_;
};

Announcement MakeAnnouncement(int port) {
  Announcement announcement;
  announcement.instance = UpstreamId(FLAGS_instance);
  announcement.kind = UpstreamKind::kService;
  announcement.service = ServiceName(FLAGS_service);
  announcement.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  announcement.failure_domain = FailureDomain(FLAGS_failure_domain);
  announcement.capacity = FLAGS_capacity;
  announcement.not_run_statuses = {429, 503};
  return announcement;
}

void RegisterRoutes(httplib::Server& server, RunCounter& runs) {
  server.Get("/runs", [&runs](const auto&, auto& response) {
    response.set_content(runs.ToJson(), "application/json");
  });
  server.Post("/.*", [&runs](const auto& request, auto& response) {
    const std::string key = request.get_header_value("Idempotency-Key");
    const std::uint32_t run = runs.RecordRun(key);
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_delay_ms));
    response.set_header("X-Request-Id",
                        request.get_header_value("X-Request-Id"));
    const Json json = {{"service", FLAGS_service},
                       {"path", request.path},
                       {"key", key},
                       {"run", run}};
    response.set_content(json.dump(), "application/json");
  });
}

int Run() {
  RunCounter runs;
  adapter::LoopbackServer http(kMaxThreads);
  RegisterRoutes(http.server(), runs);
  const int port = http.Start(FLAGS_port);
  if (port == 0) {
    return 1;
  }
  adapter::AnnounceClient announcer(
      adapter::ParseEndpoints(FLAGS_entries), FLAGS_announce_token,
      std::chrono::milliseconds(FLAGS_announce_period_ms),
      [port] { return MakeAnnouncement(port); });
  while (g_stop == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return 0;
}

void OnTerminate(int) { g_stop = 1; }

}  // namespace
}  // namespace rattanward::fake

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Stand-in for a plain service; tests and bench only.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_instance.empty()) {
    FLAGS_instance = "service-" + std::to_string(getpid());
  }
  std::signal(SIGTERM, rattanward::fake::OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
  return rattanward::fake::Run();
}
