#include "rattanward/adapter/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <fstream>
#include <mutex>

namespace rattanward::adapter {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.50, 0.95, 0.99};
/// Samples that the estimator needs before it gives an estimate.
constexpr std::size_t kFirstEstimate = 2 * kQuantiles.size() + 3;

using SecondsAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

/// First-token times of a class: sum, count and three quantiles.
class FirstTokenTimes {
 public:
  void Add(double seconds) {
    accumulator_(seconds);
    if (first_.size() < kFirstEstimate) {
      first_.push_back(seconds);
    }
  }

  std::uint64_t Count() const { return acc::count(accumulator_); }
  double Sum() const { return acc::sum(accumulator_); }

  /// The quantile with this index in kQuantiles; exact for few samples.
  double Quantile(std::size_t index) const {
    if (Count() > kFirstEstimate) {
      return acc::extended_p_square(
          accumulator_)[static_cast<std::ptrdiff_t>(index)];
    }
    if (first_.empty()) {
      return 0;
    }
    std::vector<double> sorted = first_;
    std::sort(sorted.begin(), sorted.end());
    const double rank =
        kQuantiles.at(index) * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(rank))];
  }

 private:
  SecondsAccumulator accumulator_{acc::extended_p_square_probabilities =
                                      kQuantiles};
  std::vector<double> first_;
};

/// Totals of a class with the times behind its first-token quantiles.
struct ClassState {
  ClassTotals totals;
  FirstTokenTimes first_token;

  ClassTotals Read() const {
    ClassTotals out = totals;
    out.first_token_count = first_token.Count();
    out.first_token_sum = first_token.Sum();
    out.first_token_p50 = first_token.Quantile(0);
    out.first_token_p95 = first_token.Quantile(1);
    out.first_token_p99 = first_token.Quantile(2);
    return out;
  }
};

void AddOutcome(Outcome outcome, ClassTotals& totals) {
  switch (outcome) {
    case Outcome::kAnswered:
      ++totals.answered;
      return;
    case Outcome::kFailed:
      ++totals.failed;
      return;
    case Outcome::kCallerLeft:
      ++totals.caller_left;
      return;
  }
}

}  // namespace

double ClassTotals::Attainment() const {
  const std::uint64_t all = answered + failed + shed;
  return all == 0 ? 1.0
                  : static_cast<double>(met_target) / static_cast<double>(all);
}

class Metrics::Impl {
 public:
  template <class F>
  void With(const F& change) {
    const std::lock_guard lock(mutex_);
    change(state_, classes_);
  }

  MetricsSnapshot Read() const {
    const std::lock_guard lock(mutex_);
    MetricsSnapshot out = state_;
    for (const auto& [name, state] : classes_) {
      out.classes.emplace(name, state.Read());
    }
    return out;
  }

 private:
  mutable std::mutex mutex_;
  MetricsSnapshot state_;
  std::map<RequestClassName, ClassState> classes_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const RequestFinished& request) {
  impl_->With([&](auto& /*state*/, auto& classes) {
    ClassState& entry = classes[request.request_class];
    ClassTotals& totals = entry.totals;
    AddOutcome(request.outcome, totals);
    ++totals.by_verdict[request.verdict];
    if (request.stopped) {
      ++totals.stopped[request.verdict];
    }
    totals.output_tokens += request.output_tokens;
    totals.wasted_tokens += request.wasted_tokens;
    if (request.met_target) {
      ++totals.met_target;
      totals.goodput_tokens += request.output_tokens;
    }
    if (request.first_token) {
      entry.first_token.Add(
          std::chrono::duration<double>(*request.first_token).count());
    }
  });
}

void Metrics::Count(const RequestShed& request) {
  impl_->With([&](auto& /*state*/, auto& classes) {
    ClassTotals& totals = classes[request.request_class].totals;
    ++totals.shed;
    ++totals.shed_by_reason[request.reason];
    ++totals.by_verdict[request.verdict];
    if (request.reason == ErrorCode::kShuttingDown ||
        request.reason == ErrorCode::kEntryStopped) {
      ++totals.stopped[request.verdict];
    }
  });
}

void Metrics::CountRetry(const RequestClassName& request_class) {
  impl_->With([&](auto& /*state*/, auto& classes) {
    ++classes[request_class].totals.retries;
  });
}

void Metrics::CountPeerBytes(std::uint64_t sent, std::uint64_t received) {
  impl_->With([&](auto& state, auto& /*classes*/) {
    state.peer_bytes_sent += sent;
    state.peer_bytes_received += received;
  });
}

void Metrics::SetQueueLength(const RequestClassName& request_class,
                             std::uint32_t length) {
  impl_->With([&](auto& /*state*/, auto& classes) {
    classes[request_class].totals.queue_length = length;
  });
}

void Metrics::SetOpenRequests(std::uint32_t count) {
  impl_->With(
      [&](auto& state, auto& /*classes*/) { state.open_requests = count; });
}

void Metrics::SetConfigVersion(ConfigVersion version) {
  impl_->With(
      [&](auto& state, auto& /*classes*/) { state.in_force = version; });
}

void Metrics::SetUpstreams(std::vector<UpstreamSample> upstreams) {
  impl_->With([&](auto& state, auto& /*classes*/) {
    state.upstreams = std::move(upstreams);
  });
}

MetricsSnapshot Metrics::Snapshot() const {
  MetricsSnapshot out = impl_->Read();
  out.usage = ReadProcessUsage();
  return out;
}

ProcessUsage ReadProcessUsage() {
  ProcessUsage out;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    const auto seconds = [](const timeval& time) {
      constexpr double kMicrosecondsASecond = 1e6;
      return static_cast<double>(time.tv_sec) +
             static_cast<double>(time.tv_usec) / kMicrosecondsASecond;
    };
    out.cpu_seconds = seconds(usage.ru_utime) + seconds(usage.ru_stime);
  }
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  std::ifstream("/proc/self/statm") >> size >> resident;
  out.resident_bytes =
      resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word == "Threads:") {
      status >> out.threads;
    }
  }
  return out;
}

}  // namespace rattanward::adapter
