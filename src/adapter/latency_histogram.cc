#include "rattanward/adapter/latency_histogram.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace rattanward::adapter {
namespace {

std::string Seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%g", seconds);
  return text.data();
}

std::string Line(const std::string& name, const std::string& labels,
                 const std::string& value) {
  return labels.empty() ? name + ' ' + value + '\n'
                        : name + '{' + labels + "} " + value + '\n';
}

}  // namespace

void LatencyHistogram::Count(Duration time) {
  std::size_t bucket = 0;
  while (bucket < kBoundsMs.size() &&
         time > std::chrono::milliseconds(kBoundsMs[bucket])) {
    ++bucket;
  }
  ++buckets_[bucket];
  ++count_;
  sum_ += time;
}

std::string LatencyHistogram::Scrape(const std::string& name,
                                     const std::string& labels) const {
  constexpr double kMsPerSecond = 1000;
  std::string prefix = labels;
  prefix += labels.empty() ? "le=\"" : ",le=\"";
  std::string text;
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    below += buckets_[i];
    const std::string bound =
        Seconds(static_cast<double>(kBoundsMs[i]) / kMsPerSecond);
    text += Line(name + "_bucket", prefix + bound + '"', std::to_string(below));
  }
  text += Line(name + "_bucket", prefix + "+Inf\"", std::to_string(count_));
  const std::chrono::duration<double> sum = sum_;
  text += Line(name + "_sum", labels, Seconds(sum.count()));
  text += Line(name + "_count", labels, std::to_string(count_));
  return text;
}

}  // namespace rattanward::adapter
