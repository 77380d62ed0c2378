#include "rattanward/policy/run_time_estimator.h"

#include <algorithm>
#include <bit>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kPermille = 900;
/// Estimates of the length are off by a factor of two in one of ten.
constexpr std::uint32_t kPermilleOfEstimates = 970;
constexpr std::uint32_t kLongestPermille = 1000;
/// Below this, a quantile says little.
constexpr std::size_t kMinSamples = 4;
/// An answer without tokens takes about as long as this many, until it begins.
constexpr std::int64_t kTokensUntilBegun = 30;

int WidthOf(std::uint32_t max) { return static_cast<int>(std::bit_width(max)); }

/// The estimate, which can't exceed the maximum, and the time until the answer
/// begins.
std::int64_t TokensOf(const AnswerLength& length) {
  const std::uint32_t expected =
      length.max == 0 ? length.expected : std::min(length.expected, length.max);
  return expected + kTokensUntilBegun;
}

template <class Key>
void AddSample(std::map<Key, QuantileWindow>* windows, const Key& key,
               std::int64_t value, TimePoint now) {
  if (windows->size() >= RunTimeEstimator::kMaxKinds) {
    std::erase_if(*windows,
                  [now](const auto& k) { return k.second.Count(now) == 0; });
  }
  if (windows->size() < RunTimeEstimator::kMaxKinds || windows->contains(key)) {
    (*windows)[key].Add(value, now);
  }
}

}  // namespace

void RunTimeEstimator::Record(const std::string& route,
                              const ServiceName& service,
                              const AnswerLength& length, Duration ran,
                              TimePoint now) {
  const RouteKey key{route, service};
  AddSample(&run_us_, Kind{key, WidthOf(length.max)}, ran.count(), now);
  if (length.expected > 0) {
    AddSample(&run_us_per_token_, key, ran.count() / TokensOf(length), now);
  }
}

std::optional<Duration> RunTimeEstimator::Expected(const std::string& route,
                                                   const ServiceName& service,
                                                   const AnswerLength& length,
                                                   TimePoint now) const {
  const RouteKey key{route, service};
  if (const auto by_estimate = ByEstimate(key, length, now)) {
    return by_estimate;
  }
  const auto own = run_us_.find(Kind{key, WidthOf(length.max)});
  if (own != run_us_.end() && own->second.Count(now) >= kMinSamples) {
    return Duration(*own->second.Quantile(kPermille, now));
  }
  return LongestOf(key, now);
}

std::optional<Duration> RunTimeEstimator::ByEstimate(const RouteKey& route,
                                                     const AnswerLength& length,
                                                     TimePoint now) const {
  const auto own = run_us_per_token_.find(route);
  if (length.expected == 0 || own == run_us_per_token_.end() ||
      own->second.Count(now) < kMinSamples) {
    return std::nullopt;
  }
  return Duration(*own->second.Quantile(kPermilleOfEstimates, now) *
                  TokensOf(length));
}

std::optional<Duration> RunTimeEstimator::LongestOf(const RouteKey& route,
                                                    TimePoint now) const {
  std::optional<Duration> longest;
  for (auto it = run_us_.lower_bound(Kind{route, 0});
       it != run_us_.end() && it->first.route == route; ++it) {
    const auto ran = it->second.Quantile(kLongestPermille, now);
    if (ran && (!longest || Duration(*ran) > *longest)) {
      longest = Duration(*ran);
    }
  }
  return longest;
}

}  // namespace rattanward::policy
