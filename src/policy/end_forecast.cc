#include "rattanward/policy/end_forecast.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kOptimisticPermille = 200;
/// Below this, a quantile says little.
constexpr std::size_t kMinSamples = 4;
constexpr std::uint64_t kPermille = 1000;

template <class Key>
void AddSample(std::map<Key, QuantileWindow>* windows, const Key& key,
               std::int64_t value, Duration max_age, TimePoint now) {
  if (windows->size() >= EndForecast::kMaxKinds) {
    std::erase_if(*windows,
                  [now](const auto& k) { return k.second.Count(now) == 0; });
  }
  if (windows->size() < EndForecast::kMaxKinds || windows->contains(key)) {
    windows->try_emplace(key, max_age).first->second.Add(value, now);
  }
}

}  // namespace

std::uint32_t ExpectedTokens(const AnswerLength& length) {
  if (length.expected == 0) {
    return length.max / 2;
  }
  return length.max == 0 ? length.expected
                         : std::min(length.expected, length.max);
}

void EndForecast::RecordPace(const StreamKind& kind, Duration time,
                             std::uint64_t tokens, TimePoint now) {
  if (tokens > 0) {
    AddSample(&paces_, kind, time.count() / static_cast<std::int64_t>(tokens),
              kMaxAge, now);
  }
}

void EndForecast::RecordLength(const StreamKind& kind,
                               const AnswerLength& length, std::uint64_t tokens,
                               TimePoint now) {
  const std::uint32_t expected = ExpectedTokens(length);
  if (expected > 0) {
    AddSample(&lengths_, LengthKind{kind, length.expected > 0},
              static_cast<std::int64_t>(tokens * kPermille / expected),
              QuantileWindow::kMaxAge, now);
  }
}

std::uint64_t EndForecast::OptimisticTokens(const StreamKind& kind,
                                            const AnswerLength& length,
                                            TimePoint now) const {
  const std::uint64_t expected = ExpectedTokens(length);
  const auto found = lengths_.find(LengthKind{kind, length.expected > 0});
  if (found == lengths_.end() || found->second.Count(now) < kMinSamples) {
    return expected;
  }
  const auto permille = static_cast<std::uint64_t>(
      *found->second.Quantile(kOptimisticPermille, now));
  return std::min(expected, expected * permille / kPermille);
}

std::optional<Duration> EndForecast::TimePerToken(const StreamKind& kind,
                                                  TimePoint now) const {
  const auto found = paces_.find(kind);
  if (found == paces_.end() || found->second.Count(now) < kMinSamples) {
    return std::nullopt;
  }
  return Duration(*found->second.Quantile(kOptimisticPermille, now));
}

std::optional<Duration> EndForecast::Expected(const StreamKind& kind,
                                              const AnswerLength& length,
                                              Duration first_event,
                                              TimePoint now) const {
  const auto tokens =
      static_cast<Duration::rep>(OptimisticTokens(kind, length, now));
  const auto pace = TimePerToken(kind, now);
  if (tokens == 0 || !pace) {
    return std::nullopt;
  }
  return first_event + *pace * tokens;
}

}  // namespace rattanward::policy
