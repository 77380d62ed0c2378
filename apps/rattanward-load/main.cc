#include <gflags/gflags.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "rattanward/adapter/announce_client.h"
#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/config_text.h"
#include "rattanward/adapter/elastic_task_queue.h"
#include "rattanward/load/caller.h"

DEFINE_string(scenario, "", "path of the scenario (TOML)");
DEFINE_string(entries, "", "entries' HTTP endpoints, ADDRESS:PORT,...");
DEFINE_string(engines, "", "stand-in engines whose tokens are counted");
DEFINE_string(services, "", "stand-in services whose runs are counted");
DEFINE_string(label, "standard", "name of the run in the report");
DEFINE_string(json, "", "file that gets the report as a line of JSON");
DEFINE_uint32(threads, 1500, "requests that may be open at once");
DEFINE_bool(check, false, "check the scenario, print the outcome and exit");

namespace rattanward::load {
namespace {

using Clock = Caller::Clock;

constexpr int kExitBadUsage = 2;
constexpr int kExitWrongAnswers = 3;
/// Pause between two rounds of polling; also the timeout of one poll.
constexpr auto kPollPeriod = std::chrono::milliseconds(500);

/// Polls the engines' token counters on a thread of its own. An engine that
/// crashes during the run then still counts with its last value read.
class UpstreamPoller {
 public:
  UpstreamPoller(std::vector<Endpoint> engines, std::vector<Endpoint> services)
      : engines_(std::move(engines)), services_(std::move(services)) {
    PollTokens();
    initial_tokens_ = tokens_;
    poll_thread_ = std::thread([this] {
      while (!stopping_) {
        std::this_thread::sleep_for(kPollPeriod);
        PollTokens();
      }
    });
  }
  ~UpstreamPoller() {
    stopping_ = true;
    poll_thread_.join();
  }
  UpstreamPoller(const UpstreamPoller&) = delete;
  UpstreamPoller& operator=(const UpstreamPoller&) = delete;

  /// Polls once more and returns the tokens generated since construction, and
  /// the highest number of runs that a service counted for one idempotency key.
  UpstreamCounts FinalCounts() {
    PollTokens();
    const std::lock_guard lock(mutex_);
    UpstreamCounts counts;
    for (const auto& [engine, tokens] : tokens_) {
      counts.engine_tokens += tokens - initial_tokens_[engine];
    }
    for (const Endpoint& service : services_) {
      const auto runs = FetchJson(service, "/runs");
      for (const auto& [key, count] : runs.items()) {
        counts.max_runs_of_key =
            std::max(counts.max_runs_of_key, count.get<std::uint64_t>());
      }
    }
    return counts;
  }

 private:
  /// The JSON object at the path, or an empty one if the request fails.
  static nlohmann::json FetchJson(const Endpoint& endpoint, const char* path) {
    httplib::Client client(endpoint.address, endpoint.port);
    client.set_connection_timeout(kPollPeriod);
    client.set_read_timeout(kPollPeriod);
    const auto response = client.Get(path);
    auto json =
        nlohmann::json::parse(response ? response->body : "{}", nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
  }

  void PollTokens() {
    for (const Endpoint& engine : engines_) {
      const auto stats = FetchJson(engine, "/stats");
      if (stats.contains("tokens")) {
        const std::lock_guard lock(mutex_);
        tokens_[engine] = stats["tokens"].get<std::uint64_t>();
      }
    }
  }

  std::vector<Endpoint> engines_;
  std::vector<Endpoint> services_;
  std::mutex mutex_;
  std::map<Endpoint, std::uint64_t> tokens_;
  std::map<Endpoint, std::uint64_t> initial_tokens_;
  std::atomic<bool> stopping_{false};
  std::thread poll_thread_;
};

/// Sends each request at its planned time, whether or not earlier ones have
/// been answered (open loop). One that would exceed --threads requests in
/// flight is not sent; its record says so.
std::vector<CallRecord> SendRequests(const Scenario& scenario,
                                     const std::vector<PlannedRequest>& plan,
                                     const std::vector<Endpoint>& entries) {
  std::vector<CallRecord> records(plan.size());
  std::atomic<std::uint32_t> in_flight{0};
  adapter::ElasticTaskQueue pool(FLAGS_threads);
  const auto start = Clock::now();
  const Caller caller(scenario, entries, start);
  for (std::size_t i = 0; i < plan.size(); ++i) {
    records[i].planned = plan[i];
    std::this_thread::sleep_until(start + plan[i].at);
    if (in_flight >= FLAGS_threads) {
      continue;
    }
    ++in_flight;
    pool.enqueue([&, i] {
      records[i] = caller.Call(plan[i], i);
      --in_flight;
    });
  }
  while (in_flight > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  pool.shutdown();
  return records;
}

/// Whether each endpoint has a loopback address and a valid port.
bool AllLoopback(const std::vector<Endpoint>& endpoints) {
  return std::all_of(endpoints.begin(), endpoints.end(), [](const auto& e) {
    return e.address.rfind("127.", 0) == 0 && e.port != 0;
  });
}

Result<Scenario> LoadScenario() {
  const auto text = adapter::ReadTextFile(FLAGS_scenario);
  if (!text) {
    return text.error();
  }
  return ParseScenario(text.value(), FLAGS_scenario);
}

int Run() {
  const auto scenario = LoadScenario();
  if (!scenario) {
    std::cerr << scenario.error().message << "\n";
    return kExitBadUsage;
  }
  const auto plan = PlanArrivals(scenario.value());
  if (FLAGS_check) {
    std::cout << "scenario is valid: " << plan.size() << " requests\n";
    return 0;
  }
  const auto entries = adapter::ParseEndpoints(FLAGS_entries);
  const auto engines = adapter::ParseEndpoints(FLAGS_engines);
  const auto services = adapter::ParseEndpoints(FLAGS_services);
  if (entries.empty() || !AllLoopback(entries) || !AllLoopback(engines) ||
      !AllLoopback(services)) {
    std::cerr << "--entries, --engines and --services accept only loopback "
                 "endpoints such as 127.0.0.1:7001; --entries is required\n";
    return kExitBadUsage;
  }
  UpstreamPoller poller(engines, services);
  const auto records = SendRequests(scenario.value(), plan, entries);
  const LoadReport report =
      MakeReport(scenario.value(), FLAGS_label, records, poller.FinalCounts());
  std::cout << ToTable(report);
  if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json, std::ios::app) << ToJson(report) << "\n";
  }
  const bool wrong = report.wrong_answers > 0 || report.max_runs_of_key > 1;
  return wrong ? kExitWrongAnswers : 0;
}

}  // namespace
}  // namespace rattanward::load

int main(int argc, char** argv) {
  const rattanward::adapter::ProgramInfo info{
      "rattanward-load", RATTANWARD_VERSION,
      "rattanward-load --scenario FILE --entries ADDRESS:PORT,...\n"
      "Sends an open-loop load to entries on this machine and reports it by\n"
      "class. Exit: 0 sent, 2 bad usage, 3 a wrong or doubled answer."};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return rattanward::load::Run();
}
