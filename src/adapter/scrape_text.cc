#include <sstream>

#include "rattanward/adapter/metrics.h"

namespace rattanward::adapter {
namespace {

struct Label {
  std::string name;
  std::string value;
};

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

/// Writes metrics line by line.
class Writer {
 public:
  /// Begins a metric; its samples follow.
  void Begin(const std::string& name, const char* type, const char* help) {
    name_ = "rattanward_" + name;
    text_ << "# HELP " << name_ << " " << help << "\n"
          << "# TYPE " << name_ << " " << type << "\n";
  }

  template <class T>
  void Sample(const std::vector<Label>& labels, T value,
              const char* suffix = "") {
    text_ << name_ << suffix;
    const char* separator = "{";
    for (const Label& label : labels) {
      text_ << separator << label.name << "=\"" << Escape(label.value) << '"';
      separator = ",";
    }
    text_ << (labels.empty() ? "" : "}") << " " << value << "\n";
  }

  std::string text() const { return text_.str(); }

 private:
  std::string name_;
  std::ostringstream text_;
};

/// One number of each class.
struct ClassMetric {
  const char* name;
  const char* type;
  const char* help;
  double (*value)(const ClassTotals&);
};

double Number(std::uint64_t value) { return static_cast<double>(value); }

constexpr ClassMetric kClassMetrics[] = {
    {"answered_total", "counter", "Requests answered whole.",
     [](const ClassTotals& t) { return Number(t.answered); }},
    {"failed_total", "counter", "Requests that failed after dispatch.",
     [](const ClassTotals& t) { return Number(t.failed); }},
    {"caller_left_total", "counter", "Requests whose caller hung up.",
     [](const ClassTotals& t) { return Number(t.caller_left); }},
    {"met_target_total", "counter", "Requests that met their target.",
     [](const ClassTotals& t) { return Number(t.met_target); }},
    {"attainment_ratio", "gauge", "Share that met the target since start.",
     [](const ClassTotals& t) { return t.Attainment(); }},
    {"retries_total", "counter", "Attempts after the first.",
     [](const ClassTotals& t) { return Number(t.retries); }},
    {"output_tokens_total", "counter", "Tokens delivered to callers.",
     [](const ClassTotals& t) { return Number(t.output_tokens); }},
    {"goodput_tokens_total", "counter", "Tokens of answers on target.",
     [](const ClassTotals& t) { return Number(t.goodput_tokens); }},
    {"wasted_tokens_total", "counter", "Tokens made that no caller got.",
     [](const ClassTotals& t) { return Number(t.wasted_tokens); }},
    {"queue_length", "gauge", "Requests that wait.",
     [](const ClassTotals& t) { return Number(t.queue_length); }},
};

const char* ToText(UpstreamState state) {
  switch (state) {
    case UpstreamState::kHealthy:
      return "healthy";
    case UpstreamState::kProbation:
      return "probation";
    case UpstreamState::kDraining:
      return "draining";
  }
  return "unknown";
}

void WriteClassMetrics(const MetricsSnapshot& snapshot, Writer& out) {
  for (const ClassMetric& metric : kClassMetrics) {
    out.Begin(metric.name, metric.type, metric.help);
    for (const auto& [name, totals] : snapshot.classes) {
      out.Sample({{"class", name.str()}}, metric.value(totals));
    }
  }
}

void WriteFirstToken(const MetricsSnapshot& snapshot, Writer& out) {
  out.Begin("first_token_seconds", "summary", "Arrival to first token.");
  for (const auto& [name, totals] : snapshot.classes) {
    const Label label{"class", name.str()};
    if (totals.first_token_count > 0) {
      out.Sample({label, {"quantile", "0.5"}}, totals.first_token_p50);
      out.Sample({label, {"quantile", "0.95"}}, totals.first_token_p95);
      out.Sample({label, {"quantile", "0.99"}}, totals.first_token_p99);
    }
    out.Sample({label}, totals.first_token_sum, "_sum");
    out.Sample({label}, totals.first_token_count, "_count");
  }
}

void WriteVerdicts(const MetricsSnapshot& snapshot,
                   const std::map<Verdict, std::uint64_t> ClassTotals::*counts,
                   Writer& out) {
  for (const auto& [name, totals] : snapshot.classes) {
    for (const auto& [verdict, count] : totals.*counts) {
      out.Sample(
          {{"class", name.str()}, {"verdict", std::string(ToString(verdict))}},
          count);
    }
  }
}

void WriteReasons(const MetricsSnapshot& snapshot, Writer& out) {
  out.Begin("shed_total", "counter", "Requests refused before dispatch.");
  for (const auto& [name, totals] : snapshot.classes) {
    for (const auto& [reason, count] : totals.shed_by_reason) {
      out.Sample(
          {{"class", name.str()}, {"reason", std::string(ErrorName(reason))}},
          count);
    }
  }
  out.Begin("verdicts_total", "counter", "Ended requests by verdict.");
  WriteVerdicts(snapshot, &ClassTotals::by_verdict, out);
  out.Begin("stopped_total", "counter",
            "Requests that ended because this entry stops.");
  WriteVerdicts(snapshot, &ClassTotals::stopped, out);
}

void WriteUpstreams(const MetricsSnapshot& snapshot, Writer& out) {
  out.Begin("upstream_in_flight", "gauge",
            "Attempts of this entry that run there.");
  for (const UpstreamSample& sample : snapshot.upstreams) {
    out.Sample({{"upstream", sample.upstream.str()},
                {"failure_domain", sample.failure_domain.str()}},
               sample.in_flight);
  }
  out.Begin("upstreams", "gauge", "Upstreams by domain and state.");
  std::map<std::pair<std::string, UpstreamState>, int> counts;
  for (const UpstreamSample& sample : snapshot.upstreams) {
    ++counts[{sample.failure_domain.str(), sample.state}];
  }
  for (const auto& [key, count] : counts) {
    out.Sample({{"failure_domain", key.first}, {"state", ToText(key.second)}},
               count);
  }
}

void WriteProcess(const MetricsSnapshot& snapshot, Writer& out) {
  out.Begin("open_requests", "gauge", "Requests that wait or run.");
  out.Sample({}, snapshot.open_requests);
  out.Begin("config_version", "gauge", "Configuration in force here.");
  out.Sample({}, snapshot.in_force.value);
  out.Begin("peer_bytes_total", "counter",
            "Bytes between the system's own processes.");
  out.Sample({{"direction", "sent"}}, snapshot.peer_bytes_sent);
  out.Sample({{"direction", "received"}}, snapshot.peer_bytes_received);
  out.Begin("process_cpu_seconds_total", "counter", "Processor time used.");
  out.Sample({}, snapshot.usage.cpu_seconds);
  out.Begin("process_resident_bytes", "gauge", "Resident memory.");
  out.Sample({}, snapshot.usage.resident_bytes);
  out.Begin("process_threads", "gauge", "Threads.");
  out.Sample({}, snapshot.usage.threads);
}

}  // namespace

std::string ToScrapeText(const MetricsSnapshot& snapshot) {
  Writer out;
  WriteClassMetrics(snapshot, out);
  WriteFirstToken(snapshot, out);
  WriteReasons(snapshot, out);
  WriteUpstreams(snapshot, out);
  WriteProcess(snapshot, out);
  return out.text();
}

}  // namespace rattanward::adapter
