#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "rattanward/adapter/metrics.h"

namespace rattanward::adapter {
namespace {

const RequestClassName kGate("gate-clerk");

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE("totals of a class follow what ended") {
  Metrics metrics;
  metrics.Count(RequestFinished{kGate, Outcome::kAnswered, Verdict::kRan,
                                std::chrono::milliseconds(250), true, 40, 3});
  metrics.Count(RequestFinished{kGate, Outcome::kFailed, Verdict::kMayHaveRun,
                                std::nullopt, false, 0, 7});
  metrics.Count(RequestFinished{kGate, Outcome::kCallerLeft, Verdict::kRan,
                                std::chrono::seconds(1), false, 5, 0});
  metrics.Count(RequestShed{kGate, ErrorCode::kDisplaced});
  metrics.CountRetry(kGate);
  const ClassTotals totals = metrics.Snapshot().classes.at(kGate);
  CHECK(totals.answered == 1);
  CHECK(totals.failed == 1);
  CHECK(totals.caller_left == 1);
  CHECK(totals.shed == 1);
  CHECK(totals.output_tokens == 45);
  CHECK(totals.goodput_tokens == 40);
  CHECK(totals.wasted_tokens == 10);
  CHECK(totals.first_token_count == 2);
  CHECK(totals.first_token_sum == doctest::Approx(1.25));
  CHECK(totals.Attainment() == doctest::Approx(1.0 / 3.0));
  CHECK(totals.by_verdict.at(Verdict::kNotRun) == 1);
}

TEST_CASE("quantiles of the first token are near the true ones") {
  Metrics metrics;
  constexpr int kSamples = 2000;
  for (int i = 0; i < kSamples; ++i) {
    const int milliseconds = (i * 7919) % kSamples;  // each value once
    metrics.Count(RequestFinished{kGate, Outcome::kAnswered, Verdict::kRan,
                                  std::chrono::milliseconds(milliseconds), true,
                                  1, 0});
  }
  const ClassTotals totals = metrics.Snapshot().classes.at(kGate);
  CHECK(totals.first_token_p50 == doctest::Approx(1.0).epsilon(0.05));
  CHECK(totals.first_token_p95 == doctest::Approx(1.9).epsilon(0.05));
  CHECK(totals.first_token_p99 == doctest::Approx(1.98).epsilon(0.05));
}

TEST_CASE("the scrape text names each metric once and escapes labels") {
  Metrics metrics;
  metrics.Count(RequestShed{kGate, ErrorCode::kQueueFull});
  metrics.SetQueueLength(kGate, 4);
  metrics.SetOpenRequests(9);
  metrics.SetConfigVersion(ConfigVersion{12});
  metrics.CountPeerBytes(100, 50);
  metrics.SetUpstreams({{UpstreamId("e\"1"), FailureDomain("quay"),
                         UpstreamState::kProbation, 3}});
  const std::string text = ToScrapeText(metrics.Snapshot());
  CHECK(HasLine(text,
                "rattanward_shed_total{class=\"gate-clerk\","
                "reason=\"queue-full\"} 1"));
  CHECK(HasLine(text, "rattanward_queue_length{class=\"gate-clerk\"} 4"));
  CHECK(HasLine(text, "rattanward_open_requests 9"));
  CHECK(HasLine(text, "rattanward_config_version 12"));
  CHECK(HasLine(text, "rattanward_peer_bytes_total{direction=\"sent\"} 100"));
  CHECK(HasLine(text,
                "rattanward_upstream_in_flight{upstream=\"e\\\"1\","
                "failure_domain=\"quay\"} 3"));
  CHECK(HasLine(text,
                "rattanward_upstreams{failure_domain=\"quay\","
                "state=\"probation\"} 1"));
  CHECK(HasLine(text, "# TYPE rattanward_first_token_seconds summary"));
  std::istringstream lines(text);
  std::vector<std::string> types;
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("# TYPE", 0) == 0) {
      CHECK(std::find(types.begin(), types.end(), line) == types.end());
      types.push_back(line);
    }
  }
  CHECK(types.size() >= 15);
}

TEST_CASE("threads may count at once") {
  Metrics metrics;
  constexpr int kThreads = 4;
  constexpr int kEach = 1000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&metrics] {
      for (int i = 0; i < kEach; ++i) {
        metrics.Count(RequestShed{kGate, ErrorCode::kQueueFull});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(metrics.Snapshot().classes.at(kGate).shed == kThreads * kEach);
  CHECK(metrics.Snapshot().usage.resident_bytes > 0);
}

}  // namespace rattanward::adapter
