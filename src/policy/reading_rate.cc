#include "rattanward/policy/reading_rate.h"

#include <cmath>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kQuantilePermille = 900;
constexpr double kMsPerSecond = 1000;

}  // namespace

void ReadingRate::Record(std::uint64_t tokens, Duration took, TimePoint now) {
  const std::chrono::duration<double> seconds = took;
  if (tokens >= kMinTokens && seconds.count() > 0) {
    samples_.Add(std::llround(static_cast<double>(tokens) / seconds.count()),
                 now);
  }
}

double ReadingRate::TokensPerMs(TimePoint now) const {
  if (samples_.Count(now) < kMinSamples) {
    return kInitialTokensPerMs;
  }
  return static_cast<double>(
             samples_.Quantile(kQuantilePermille, now).value_or(0)) /
         kMsPerSecond;
}

}  // namespace rattanward::policy
