// Measures the latency of single upstream choices, and the latency and
// throughput of the dispatcher, in this process and without I/O.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/policy/chooser.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kUpstreams = 600;
constexpr int kModels = 23;
constexpr int kDomains = 5;
constexpr int kAccounts = 25'000;
constexpr std::uint32_t kCapacity = 16;
constexpr int kChoices = 20'000;
constexpr int kRequests = 100'000;
/// Running attempts above which the oldest one is finished.
constexpr int kMaxRunningAttempts = 400;

double Micros(Clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

Announcement MakeAnnouncement(int index, const std::vector<ModelName>& models) {
  Announcement announcement;
  announcement.instance = UpstreamId("engine-" + std::to_string(index));
  announcement.sequence = 1;
  announcement.failure_domain =
      FailureDomain("d" + std::to_string(index % kDomains));
  announcement.models = models;
  announcement.capacity = kCapacity;
  announcement.load.running = static_cast<std::uint32_t>(index) % kCapacity;
  return announcement;
}

/// @brief Prints the median, the 99th percentile and the maximum.
/// @param latencies_us Sorted by this call; must not be empty.
void PrintQuantiles(const char* label, std::vector<double>* latencies_us) {
  std::sort(latencies_us->begin(), latencies_us->end());
  const auto quantile = [&](std::size_t permille) {
    return (*latencies_us)[(latencies_us->size() - 1) * permille / 1000];
  };
  std::printf("%-34s n=%zu p50=%.2f us p99=%.2f us max=%.2f us\n", label,
              latencies_us->size(), quantile(500), quantile(990),
              quantile(1000));
}

/// @brief Measures one choice at a time among upstreams that all serve the
/// model.
/// @param prefix_step Difference between the prefixes of successive requests; 0
/// means requests without a prefix.
/// @note The look-up of the target's upstreams is included.
void MeasureChoice(const char* label, std::uint64_t prefix_step) {
  UpstreamTable table;
  const TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < kUpstreams; ++i) {
    table.Announce(MakeAnnouncement(i, {ModelName("m")}), now);
  }
  const Target target{UpstreamKind::kModelEngine, "m"};
  Chooser chooser(FailureDomain("d0"), 1);
  std::vector<double> latencies_us;
  std::uint64_t id_hash_sum = 0;
  for (int i = 0; i < kChoices; ++i) {
    ChoiceQuery query;
    query.tier = Tier{static_cast<std::uint8_t>(i % Tier::kCount)};
    query.prefix = static_cast<std::uint64_t>(i) * prefix_step;
    query.now = now;
    const auto start = Clock::now();
    const UpstreamState* chosen = chooser.Choose(table.Serving(target), query);
    latencies_us.push_back(Micros(Clock::now() - start));
    id_hash_sum += chosen == nullptr ? 0 : chosen->id_hash;
  }
  PrintQuantiles(label, &latencies_us);
  if (id_hash_sum == 0) {
    std::printf("no upstream was chosen for any request\n");
  }
}

Config MakeConfig() {
  Config config;
  for (std::uint8_t tier = 0; tier < Tier::kCount; ++tier) {
    RequestClass request_class;
    request_class.name = RequestClassName("c" + std::to_string(tier));
    request_class.tier = Tier{tier};
    request_class.deadline = std::chrono::seconds(30);
    request_class.queue_limit = 200;
    request_class.floor_permille = 20;
    config.classes.push_back(request_class);
  }
  for (int i = 0; i < kAccounts; ++i) {
    ClientAccount account;
    account.id = ClientAccountId("account-" + std::to_string(i));
    account.max_in_flight = 1000;
    account.requests_per_minute = 60'000;
    config.accounts.push_back(account);
  }
  return config;
}

/// @brief Measures each request's submission together with the first token and
/// the end of an older request.
/// @note Requests arrive every millisecond of simulated time. The oldest
/// attempt ends once more than kMaxRunningAttempts are running.
void MeasureDispatcher() {
  DispatcherOptions options;
  options.failure_domain = FailureDomain("d0");
  Dispatcher dispatcher(options);
  TimePoint now{std::chrono::hours(1)};
  dispatcher.SetConfig(MakeConfig(), now);
  for (int i = 0; i < kUpstreams; ++i) {
    dispatcher.UpstreamChanged(
        MakeAnnouncement(i, {ModelName("m" + std::to_string(i % kModels))}),
        now);
  }
  std::vector<double> latencies_us;
  std::deque<StartAttempt> running;
  const auto collect_starts = [&](const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartAttempt>(&decision)) {
        running.push_back(*start);
      }
    }
  };
  const auto bench_start = Clock::now();
  for (int i = 0; i < kRequests; ++i) {
    now += std::chrono::milliseconds(1);
    RequestInfo request;
    request.id = RequestId("r" + std::to_string(i));
    request.account =
        ClientAccountId("account-" + std::to_string(i % kAccounts));
    request.request_class =
        RequestClassName("c" + std::to_string(i % Tier::kCount));
    request.model = ModelName("m" + std::to_string(i % kModels));
    request.fingerprint = static_cast<std::uint64_t>(i) + 1;
    request.arrived = now;
    const auto start = Clock::now();
    collect_starts(dispatcher.Submit(request, now));
    if (running.size() > kMaxRunningAttempts) {
      const StartAttempt attempt = running.front();
      running.pop_front();
      dispatcher.FirstToken(attempt.request, now);
      AttemptResult result;
      result.request = attempt.request;
      result.attempt = attempt.attempt;
      result.output_tokens = 100;
      collect_starts(dispatcher.Finish(result, now));
    }
    latencies_us.push_back(Micros(Clock::now() - start));
  }
  const double seconds = Micros(Clock::now() - bench_start) / 1e6;
  PrintQuantiles("submit, first token and finish", &latencies_us);
  std::printf("%-34s %.0f requests/s, %zu open at the end\n", "dispatcher",
              kRequests / seconds, dispatcher.OpenRequests());
}

}  // namespace
}  // namespace rattanward::policy

int main() {
  rattanward::policy::MeasureChoice("choice among 600", 0);
  rattanward::policy::MeasureChoice("choice among 600, with prefix", 0x9e37);
  rattanward::policy::MeasureDispatcher();
  return 0;
}
