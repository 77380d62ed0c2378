#include "rattanward/proxy/proxy_meter.h"

namespace rattanward::proxy {
namespace {

std::string_view KindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kAtMostOnce:
      return "at-most-once";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

}  // namespace

std::string ScrapeLine(std::string_view name, std::uint64_t value) {
  return "rattanward_" + std::string(name) + ' ' + std::to_string(value) + '\n';
}

void ProxyMeter::Count(EventId event) {
  switch (event) {
    case EventId::kRequestFinished:
      ++counters_.finished;
      break;
    case EventId::kRequestFailed:
      ++counters_.failed;
      break;
    case EventId::kRequestShed:
      ++counters_.refused;
      break;
    case EventId::kCallerLeft:
      ++counters_.caller_left;
      break;
    case EventId::kRequestRetried:
      ++counters_.retried;
      break;
    case EventId::kStreamResumed:
      ++counters_.resumed;
      break;
    case EventId::kUpstreamTried:
      ++counters_.trials;
      break;
    default:
      break;
  }
}

void ProxyMeter::RecordStopped(bool may_have_run, bool stream_started) {
  if (stream_started) {
    ++counters_.stopped_streams;
  } else if (may_have_run) {
    ++counters_.stopped_maybe_run;
  } else {
    ++counters_.stopped_not_run;
  }
  ++(may_have_run ? counters_.failed : counters_.refused);
}

std::string ProxyMeter::ScrapeText() const {
  std::string text =
      ScrapeLine("requests_arrived_total", counters_.arrived) +
      ScrapeLine("requests_finished_total", counters_.finished) +
      ScrapeLine("requests_failed_total", counters_.failed) +
      ScrapeLine("requests_refused_total", counters_.refused) +
      ScrapeLine("callers_left_total", counters_.caller_left) +
      ScrapeLine("requests_retried_total", counters_.retried) +
      ScrapeLine("streams_resumed_total", counters_.resumed) +
      ScrapeLine("messages_malformed_total", counters_.malformed) +
      ScrapeLine("upstream_trials_total", counters_.trials) +
      ScrapeLine("requests_stopped_not_run_total", counters_.stopped_not_run) +
      ScrapeLine("requests_stopped_maybe_run_total",
                 counters_.stopped_maybe_run) +
      ScrapeLine("requests_stopped_streams_total", counters_.stopped_streams) +
      ScrapeLine("requests_unattainable_total", counters_.unattainable);
  for (std::size_t i = 0; i < kHedgeCountNames.size(); ++i) {
    text +=
        ScrapeLine("hedges_" + std::string(kHedgeCountNames.at(i)) + "_total",
                   hedges_.at(i));
  }
  for (const auto& [kind, times] : response_times_) {
    text += times.Scrape("rattanward_answer_seconds",
                         "kind=\"" + std::string(KindName(kind)) + '"');
  }
  return text + queue_times_.Scrape("rattanward_wait_seconds", "");
}

}  // namespace rattanward::proxy
