#include "rattanward/load/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace rattanward::load {
namespace {

constexpr double kPercent = 100;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Nearest-rank quantile; 0 without values. Sorts its input.
Duration Quantile(std::vector<Duration>& values, double probability) {
  if (values.empty()) {
    return Duration(0);
  }
  std::sort(values.begin(), values.end());
  const double rank =
      std::ceil(probability * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return values[std::min(index, values.size() - 1)];
}

/// Accumulates the records of one request class.
class ClassAccumulator {
 public:
  explicit ClassAccumulator(RequestClassName name) {
    report_.request_class = std::move(name);
  }

  void Add(const CallRecord& record, Duration target) {
    ++report_.sent;
    if (record.first_token) {
      first_token_samples_.push_back(*record.first_token);
    }
    if (record.between_tokens.count() > 0) {
      between_tokens_samples_.push_back(record.between_tokens);
    }
    switch (record.outcome) {
      case CallOutcome::kComplete:
        AddComplete(record, target);
        return;
      case CallOutcome::kError:
        AddError(record);
        return;
      default:
        ++report_.broken;
    }
  }

  ClassReport Summarize() {
    constexpr double kMedian = 0.50;
    constexpr double kP95 = 0.95;
    constexpr double kP99 = 0.99;
    report_.first_token_p50 = Quantile(first_token_samples_, kMedian);
    report_.first_token_p95 = Quantile(first_token_samples_, kP95);
    report_.first_token_p99 = Quantile(first_token_samples_, kP99);
    report_.between_tokens_p95 = Quantile(between_tokens_samples_, kP95);
    return report_;
  }

  const RequestClassName& name() const { return report_.request_class; }

 private:
  void AddComplete(const CallRecord& record, Duration target) {
    ++report_.whole;
    if (record.first_token && *record.first_token <= target) {
      ++report_.met;
      report_.goodput_tokens += record.tokens;
    }
  }

  void AddError(const CallRecord& record) {
    if (record.verdict == Verdict::kNotRun) {
      ++report_.not_run;
    } else {
      ++report_.may_have_run;
    }
  }

  ClassReport report_;
  std::vector<Duration> first_token_samples_;
  std::vector<Duration> between_tokens_samples_;
};

/// The accumulator of a class, which is added if there is none yet.
ClassAccumulator& AccumulatorFor(std::vector<ClassAccumulator>& all,
                                 const RequestClassName& name) {
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const ClassAccumulator& accumulator) {
                                 return accumulator.name() == name;
                               });
  return it == all.end() ? all.emplace_back(name) : *it;
}

/// Formats a line as printf does; text after 127 bytes is cut off.
template <class... Args>
std::string FormatLine(const char* format, Args... args) {
  constexpr std::size_t kLineBytes = 128;
  std::array<char, kLineBytes> line{};
  std::snprintf(line.data(), line.size(), format, args...);
  return std::string(line.data()) + "\n";
}

}  // namespace

double ClassReport::Attainment() const {
  return sent == 0 ? 1.0 : static_cast<double>(met) / static_cast<double>(sent);
}

double LoadReport::WastedShare() const {
  return engine_tokens == 0 ? 0.0
                            : static_cast<double>(wasted_tokens) /
                                  static_cast<double>(engine_tokens);
}

double LoadReport::GoodputTokensPerSecond() const {
  std::uint64_t tokens = 0;
  for (const ClassReport& report : classes) {
    tokens += report.goodput_tokens;
  }
  const double seconds =
      std::chrono::duration<double>(measured_duration).count();
  return seconds > 0 ? static_cast<double>(tokens) / seconds : 0.0;
}

LoadReport MakeReport(const Scenario& scenario, std::string label,
                      const std::vector<CallRecord>& records,
                      const UpstreamCounts& upstreams) {
  LoadReport report;
  report.scenario = scenario.name;
  report.label = std::move(label);
  report.seed = scenario.seed;
  report.measured_duration = scenario.duration - scenario.warmup;
  std::vector<ClassAccumulator> accumulators;
  std::vector<Duration> lateness;
  std::uint64_t delivered_tokens = 0;
  for (const CallRecord& record : records) {
    const CallerLoad& load = scenario.callers[record.planned.caller_index];
    report.wrong_answers += record.wrong_answer ? 1 : 0;
    delivered_tokens +=
        record.outcome == CallOutcome::kComplete ? record.tokens : 0;
    if (record.outcome == CallOutcome::kNotSent) {
      ++report.not_sent;
      continue;
    }
    lateness.push_back(record.lateness);
    if (record.planned.at >= scenario.warmup) {
      AccumulatorFor(accumulators, load.request_class)
          .Add(record, load.first_token_target);
    }
  }
  for (ClassAccumulator& accumulator : accumulators) {
    report.classes.push_back(accumulator.Summarize());
  }
  constexpr double kP99 = 0.99;
  report.late_p99 = Quantile(lateness, kP99);
  report.engine_tokens = upstreams.engine_tokens;
  report.wasted_tokens = upstreams.engine_tokens > delivered_tokens
                             ? upstreams.engine_tokens - delivered_tokens
                             : 0;
  report.max_runs_of_key = upstreams.max_runs_of_key;
  return report;
}

std::string ToJson(const LoadReport& report) {
  nlohmann::ordered_json json;
  json["scenario"] = report.scenario;
  json["label"] = report.label;
  json["seed"] = report.seed;
  json["measured_s"] =
      std::chrono::duration<double>(report.measured_duration).count();
  auto& classes = json["classes"] = nlohmann::ordered_json::array();
  for (const ClassReport& class_report : report.classes) {
    classes.push_back(
        {{"class", class_report.request_class.str()},
         {"sent", class_report.sent},
         {"whole", class_report.whole},
         {"met", class_report.met},
         {"attainment", class_report.Attainment()},
         {"not_run", class_report.not_run},
         {"may_have_run", class_report.may_have_run},
         {"broken", class_report.broken},
         {"goodput_tokens", class_report.goodput_tokens},
         {"first_token_p50_ms", Milliseconds(class_report.first_token_p50)},
         {"first_token_p95_ms", Milliseconds(class_report.first_token_p95)},
         {"first_token_p99_ms", Milliseconds(class_report.first_token_p99)},
         {"between_tokens_p95_ms",
          Milliseconds(class_report.between_tokens_p95)}});
  }
  json["goodput_tokens_per_s"] = report.GoodputTokensPerSecond();
  json["engine_tokens"] = report.engine_tokens;
  json["wasted_tokens"] = report.wasted_tokens;
  json["wasted_share"] = report.WastedShare();
  json["wrong_answers"] = report.wrong_answers;
  json["max_runs_of_key"] = report.max_runs_of_key;
  json["not_sent"] = report.not_sent;
  json["late_p99_ms"] = Milliseconds(report.late_p99);
  return json.dump();
}

std::string ToTable(const LoadReport& report) {
  std::string text = FormatLine("%.25s (%.11s)", report.scenario.c_str(),
                                report.label.c_str());
  text += FormatLine("%-11s%5s%6s%6s%6s%6s", "class", "sent", "met%", "p50",
                     "p95", "p99");
  for (const ClassReport& class_report : report.classes) {
    text += FormatLine(
        "%-11.11s%5llu%6.1f%6.0f%6.0f%6.0f",
        class_report.request_class.str().c_str(),
        static_cast<unsigned long long>(class_report.sent),  // NOLINT
        kPercent * class_report.Attainment(),
        Milliseconds(class_report.first_token_p50),
        Milliseconds(class_report.first_token_p95),
        Milliseconds(class_report.first_token_p99));
  }
  text += FormatLine("goodput %.0f tok/s, wasted %.2f%%",
                     report.GoodputTokensPerSecond(),
                     kPercent * report.WastedShare());
  return text;
}

}  // namespace rattanward::load
