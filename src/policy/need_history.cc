#include "rattanward/policy/need_history.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

/// Parts of an upstream to be used at most. Pauses of streams grow with the
/// slots in use; an engine whose memory is full fails; prompts that wait to be
/// read delay first events.
constexpr double kSlotUse = 0.6;
constexpr double kMemoryUse = 0.7;
constexpr double kReadUse = 0.5;
/// Time over which the need is averaged to find its trend.
constexpr Duration kTrendAverage = std::chrono::seconds(1);
/// A trend adds this part of the need at most: steeper growth is a step, which
/// doesn't go on.
constexpr double kMaxTrend = 0.25;

double Share(std::uint64_t used, std::uint64_t capacity, double use) {
  return capacity == 0 ? 0
                       : static_cast<double>(used) /
                             (static_cast<double>(capacity) * use);
}

}  // namespace

double NeededUpstreams(const ServiceDemand& demand,
                       const UpstreamCapacity& capacity) {
  const double slots =
      Share(demand.running + demand.waiting, capacity.slots, kSlotUse);
  const double memory =
      Share(demand.reserved_tokens, capacity.memory_tokens, kMemoryUse);
  const double reading =
      Share(demand.prompt_tokens_per_s, capacity.read_tokens_per_s, kReadUse);
  return std::max({slots, memory, reading});
}

void NeedHistory::Record(double need, TimePoint now) {
  if (need > 0 && !first_demand_at_) {
    first_demand_at_ = now;
  }
  samples_.push_back({now, need});
  while (samples_.front().at <= now - kSpan) {
    samples_.pop_front();
  }
}

double NeedHistory::MeanBetween(TimePoint from, TimePoint to) const {
  double sum = 0;
  std::size_t count = 0;
  for (const Sample& sample : samples_) {
    if (sample.at > from && sample.at <= to) {
      sum += sample.need;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

double NeedHistory::Predicted(Duration ahead) const {
  if (samples_.empty()) {
    return 0;
  }
  const TimePoint now = samples_.back().at;
  const double present = samples_.back().need;
  const TimePoint before = now - ahead;
  if (samples_.front().at > before - kTrendAverage) {
    return present;
  }
  const double average = MeanBetween(now - kTrendAverage, now);
  const double growth = average - MeanBetween(before - kTrendAverage, before);
  const double bounded = std::clamp(growth, 0.0, kMaxTrend * average);
  return std::max(present, average + bounded);
}

double NeedHistory::Peak() const {
  double peak = 0;
  for (const Sample& sample : samples_) {
    peak = std::max(peak, sample.need);
  }
  return peak;
}

double NeedHistory::Mean(double assumed) const {
  if (!first_demand_at_) {
    return assumed;
  }
  const TimePoint now = samples_.back().at;
  const double known =
      std::min(1.0, std::chrono::duration<double>(now - *first_demand_at_) /
                        std::chrono::duration<double>(kSpan));
  const double mean = MeanBetween(*first_demand_at_ - Duration(1), now);
  return known * mean + (1 - known) * assumed;
}

bool NeedHistory::covers_span() const {
  return first_demand_at_ && samples_.back().at - *first_demand_at_ >= kSpan;
}

}  // namespace rattanward::policy
