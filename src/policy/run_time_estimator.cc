#include "rattanward/policy/run_time_estimator.h"

#include <algorithm>
#include <bit>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kPermille = 900;
constexpr std::uint32_t kLongestPermille = 1000;
/// Below this, a quantile of one size says little.
constexpr std::size_t kMinSamples = 4;

int SizeOf(std::uint32_t max_output_tokens) {
  return static_cast<int>(std::bit_width(max_output_tokens));
}

}  // namespace

void RunTimeEstimator::Record(const std::string& route,
                              const ServiceName& service,
                              std::uint32_t max_output_tokens, Duration ran,
                              TimePoint now) {
  if (run_us_.size() >= kMaxKinds) {
    std::erase_if(run_us_,
                  [now](const auto& k) { return k.second.Count(now) == 0; });
  }
  const Kind kind{route, service, SizeOf(max_output_tokens)};
  if (run_us_.size() < kMaxKinds || run_us_.contains(kind)) {
    run_us_[kind].Add(ran.count(), now);
  }
}

std::optional<Duration> RunTimeEstimator::Expected(
    const std::string& route, const ServiceName& service,
    std::uint32_t max_output_tokens, TimePoint now) const {
  const auto own =
      run_us_.find(Kind{route, service, SizeOf(max_output_tokens)});
  if (own != run_us_.end() && own->second.Count(now) >= kMinSamples) {
    return Duration(*own->second.Quantile(kPermille, now));
  }
  std::optional<Duration> longest;
  for (auto it = run_us_.lower_bound(Kind{route, service, 0});
       it != run_us_.end() && std::get<0>(it->first) == route &&
       std::get<1>(it->first) == service;
       ++it) {
    const auto ran = it->second.Quantile(kLongestPermille, now);
    if (ran && (!longest || Duration(*ran) > *longest)) {
      longest = Duration(*ran);
    }
  }
  return longest;
}

}  // namespace rattanward::policy
