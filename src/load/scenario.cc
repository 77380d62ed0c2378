#include "rattanward/load/scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "rattanward/adapter/detail/toml_table.h"

namespace rattanward::load {
namespace {

using adapter::detail::IntegerRange;
using adapter::detail::kNameRule;
using adapter::detail::TextRule;
using adapter::detail::TomlErrors;
using adapter::detail::TomlTable;

constexpr IntegerRange kDurationRangeSeconds{1, 600};
constexpr IntegerRange kOffsetRangeSeconds{0, 600};
constexpr IntegerRange kMaxRequestsRange{1, 200'000};
constexpr IntegerRange kRequestsPerMinuteRange{0, 60'000};
constexpr IntegerRange kTokensRange{1, 100'000};
constexpr IntegerRange kPromptBytesRange{1, 65'536};
constexpr IntegerRange kDistinctPromptsRange{1, 100'000};
constexpr IntegerRange kFirstTokenTargetRangeMs{1, 600'000};
constexpr IntegerRange kSeedRange{0, std::numeric_limits<std::int64_t>::max()};
constexpr TextRule kKeyRule{1, 256, nullptr, "a text of 1 to 256 characters",
                            true};
/// 95th percentile of the standard normal distribution, in standard deviations.
constexpr double kNormalP95Deviations = 1.6449;
constexpr double kSecondsPerMinute = 60;

std::uint32_t ReadCount(TomlTable& table, std::string_view key,
                        IntegerRange range, std::int64_t fallback) {
  return static_cast<std::uint32_t>(table.IntegerOr(key, range, fallback));
}

Duration ReadSeconds(TomlTable& table, std::string_view key, IntegerRange range,
                     std::int64_t fallback) {
  return std::chrono::seconds(table.IntegerOr(key, range, fallback));
}

std::vector<Burst> ReadBursts(TomlTable& caller) {
  std::vector<Burst> bursts;
  for (TomlTable& table : caller.Tables("bursts")) {
    Burst burst;
    burst.at = std::chrono::seconds(table.Integer("at_s", kOffsetRangeSeconds));
    burst.duration = std::chrono::seconds(
        table.Integer("duration_s", kDurationRangeSeconds));
    burst.requests_per_minute = static_cast<std::uint32_t>(
        table.Integer("requests_per_minute", kRequestsPerMinuteRange));
    table.RejectUnknown();
    bursts.push_back(burst);
  }
  return bursts;
}

CallerLoad ReadCaller(TomlTable& table) {
  CallerLoad out;
  out.request_class = RequestClassName(table.Text("class", kNameRule));
  out.key = table.Text("key", kKeyRule);
  out.service = ServiceName(table.TextOr("service", kNameRule, ""));
  out.streamed = table.BoolOr("streamed", true);
  out.requests_per_minute =
      ReadCount(table, "requests_per_minute", kRequestsPerMinuteRange, 0);
  out.bursts = ReadBursts(table);
  out.output_tokens_median =
      ReadCount(table, "output_tokens_median", kTokensRange, 1);
  out.output_tokens_p95 = ReadCount(table, "output_tokens_p95", kTokensRange,
                                    out.output_tokens_median);
  out.output_tokens_max = ReadCount(table, "output_tokens_max", kTokensRange,
                                    out.output_tokens_p95);
  out.prompt_bytes =
      ReadCount(table, "prompt_bytes", kPromptBytesRange, out.prompt_bytes);
  out.distinct_prompts = ReadCount(table, "distinct_prompts",
                                   kDistinctPromptsRange, out.distinct_prompts);
  out.first_token_target =
      table.Milliseconds("first_token_target_ms", kFirstTokenTargetRangeMs);
  if (out.output_tokens_p95 < out.output_tokens_median) {
    table.Fail(ErrorCode::kSettingConflict, "output_tokens_p95",
               "less than output_tokens_median",
               "at least output_tokens_median");
  }
  table.RejectUnknown();
  return out;
}

Scenario ReadScenario(TomlTable& root) {
  Scenario out;
  out.name = root.Text("name", kNameRule);
  out.model = ModelName(root.Text("model", kNameRule));
  out.duration =
      std::chrono::seconds(root.Integer("duration_s", kDurationRangeSeconds));
  out.warmup = ReadSeconds(root, "warmup_s", kOffsetRangeSeconds, 0);
  out.max_requests = static_cast<std::uint32_t>(
      root.Integer("max_requests", kMaxRequestsRange));
  out.seed = static_cast<std::uint64_t>(root.IntegerOr("seed", kSeedRange, 1));
  for (TomlTable& table : root.Tables("callers")) {
    out.callers.push_back(ReadCaller(table));
  }
  if (out.callers.empty()) {
    root.Fail(ErrorCode::kSettingMissing, "callers", "no callers",
              "at least one [[callers]] table");
  }
  root.RejectUnknown();
  return out;
}

/// Generates the requests of one entry of Scenario::callers.
class ArrivalPlanner {
 public:
  ArrivalPlanner(const Scenario& scenario, std::size_t caller_index)
      : scenario_(scenario),
        load_(scenario.callers[caller_index]),
        caller_index_(caller_index),
        random_(scenario.seed * kSeedStride + caller_index) {}

  /// Appends the requests, first those at the base rate, then each burst's.
  void Plan(std::vector<PlannedRequest>& out) {
    DrawArrivals(Duration(0), scenario_.duration, load_.requests_per_minute,
                 out);
    for (const Burst& burst : load_.bursts) {
      const Duration end =
          std::min(burst.at + burst.duration, scenario_.duration);
      DrawArrivals(burst.at, end, burst.requests_per_minute, out);
    }
  }

 private:
  /// Distance between the generator seeds of consecutive scenario seeds. The
  /// callers use the seeds in between, so that scenarios with different seeds
  /// share no random sequence.
  static constexpr std::uint64_t kSeedStride = 1009;

  /// Appends Poisson arrivals in [from, to). It stops once this caller has one
  /// request more than max_requests; PlanArrivals truncates the merged plan.
  void DrawArrivals(Duration from, Duration to,
                    std::uint32_t requests_per_minute,
                    std::vector<PlannedRequest>& out) {
    if (requests_per_minute == 0) {
      return;
    }
    std::exponential_distribution<double> gap_seconds(requests_per_minute /
                                                      kSecondsPerMinute);
    const auto next_gap = [&] {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap_seconds(random_)));
    };
    for (Duration at = from + next_gap();
         at < to && out.size() <= scenario_.max_requests; at += next_gap()) {
      out.push_back({at, caller_index_, DrawOutputTokens(), DrawPromptIndex()});
    }
  }

  /// Draws from a lognormal distribution, whose logarithm has the mean
  /// log(median) and a standard deviation that yields the 95th percentile.
  std::uint32_t DrawOutputTokens() {
    const double median = load_.output_tokens_median;
    const double sigma =
        std::log(load_.output_tokens_p95 / median) / kNormalP95Deviations;
    std::lognormal_distribution<double> tokens(std::log(median), sigma);
    const double drawn = sigma > 0 ? tokens(random_) : median;
    return static_cast<std::uint32_t>(
        std::clamp(drawn, 1.0, static_cast<double>(load_.output_tokens_max)));
  }

  std::uint32_t DrawPromptIndex() {
    return std::uniform_int_distribution<std::uint32_t>(
        0, load_.distinct_prompts - 1)(random_);
  }

  const Scenario& scenario_;
  const CallerLoad& load_;
  std::size_t caller_index_;
  std::mt19937_64 random_;
};

}  // namespace

Result<Scenario> ParseScenario(std::string_view text,
                               std::string_view file_name) {
  auto parsed = adapter::detail::ParseToml(text, file_name);
  if (!parsed) {
    return parsed.error();
  }
  TomlErrors errors{std::string(file_name)};
  TomlTable root(parsed.value(), "", errors);
  Scenario scenario = ReadScenario(root);
  if (errors.first()) {
    return *errors.first();
  }
  return scenario;
}

std::vector<PlannedRequest> PlanArrivals(const Scenario& scenario) {
  std::vector<PlannedRequest> plan;
  for (std::size_t i = 0; i < scenario.callers.size(); ++i) {
    std::vector<PlannedRequest> requests;
    ArrivalPlanner(scenario, i).Plan(requests);
    plan.insert(plan.end(), requests.begin(), requests.end());
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const PlannedRequest& a, const PlannedRequest& b) {
                     return a.at < b.at;
                   });
  if (plan.size() > scenario.max_requests) {
    plan.resize(scenario.max_requests);
  }
  return plan;
}

}  // namespace rattanward::load
