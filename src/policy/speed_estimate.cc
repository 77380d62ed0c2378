#include "rattanward/policy/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace rattanward::policy {
namespace {

/// Time for a token at an engine all of whose slots are used, beyond that at an
/// idle one, as a multiple of the latter. An engine of 64 slots that takes
/// 3.79 ms and 0.09 ms for each running request has 1.5.
constexpr double kSlowdownWhenFull = 1.25;
constexpr double kEqualRange = 0.15;
constexpr double kEqualAgainRange = 0.10;
constexpr double kMinSpeed = 0.4;
constexpr double kMaxSpeed = 2.5;

/// Returns the median, or nothing if the pace of too few engines is known.
std::optional<double> MedianTokenUs(const std::vector<EnginePace>& engines) {
  std::vector<double> known;
  for (const EnginePace& engine : engines) {
    if (engine.token_us) {
      known.push_back(*engine.token_us);
    }
  }
  if (known.empty() || 2 * known.size() < engines.size()) {
    return std::nullopt;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

double SpeedOf(const EnginePace& engine, double median_us) {
  if (!engine.token_us || *engine.token_us <= 0) {
    return 1;
  }
  const double speed = median_us / *engine.token_us;
  const double range = engine.speed == 1 ? kEqualRange : kEqualAgainRange;
  return std::abs(speed - 1) <= range ? 1
                                      : std::clamp(speed, kMinSpeed, kMaxSpeed);
}

}  // namespace

double UnloadedTokenUs(Duration event_time, std::uint32_t tokens_per_event,
                       std::uint32_t running, std::uint32_t slots) {
  const std::chrono::duration<double, std::micro> time = event_time;
  const double load =
      static_cast<double>(running) / std::max<std::uint32_t>(slots, 1);
  return time.count() / std::max<std::uint32_t>(tokens_per_event, 1) /
         (1 + kSlowdownWhenFull * load);
}

void PaceMean::Record(double token_us, TimePoint now) {
  const std::chrono::duration<double> passed = now - decayed_at_;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double factor =
      std::exp2(-std::max(0.0, passed.count()) / half_life.count());
  decayed_at_ = std::max(decayed_at_, now);
  weight_ = weight_ * factor + 1;
  sum_us_ = sum_us_ * factor + token_us;
  known_ = known_ || weight_ >= kMinSamples;
}

std::vector<double> LearnedSpeeds(const std::vector<EnginePace>& engines) {
  std::vector<double> speeds(engines.size(), 1);
  const std::optional<double> median_us = MedianTokenUs(engines);
  if (median_us) {
    std::transform(
        engines.begin(), engines.end(), speeds.begin(),
        [&](const EnginePace& engine) { return SpeedOf(engine, *median_us); });
  }
  return speeds;
}

}  // namespace rattanward::policy
