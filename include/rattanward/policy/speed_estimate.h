#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Time that an engine took for each token of one stream, less the
/// effect of the streams beside it.
struct PaceSample {
  /// Grows with each sample of an entry.
  std::uint64_t sequence = 0;
  UpstreamId upstream;
  std::uint32_t token_us = 0;

  friend bool operator==(const PaceSample&, const PaceSample&) = default;
};

/// @brief How an engine's speed compares with the others of its service.
enum class SpeedClass : std::uint8_t { kFast, kEqual, kSlow };

constexpr SpeedClass ClassOf(double speed) {
  return speed > 1   ? SpeedClass::kFast
         : speed < 1 ? SpeedClass::kSlow
                     : SpeedClass::kEqual;
}

/// @brief An engine whose speed class has changed.
struct SpeedChange {
  UpstreamId upstream;
  double speed = 1;

  friend bool operator==(const SpeedChange&, const SpeedChange&) = default;
};

/// @brief Time for each token of a stream at an engine without other requests.
/// @param event_time Shortest time between two events of the stream.
/// @param running Requests that run at the engine.
double UnloadedTokenUs(Duration event_time, std::uint32_t tokens_per_event,
                       std::uint32_t running, std::uint32_t slots);

/// @brief Mean pace of the recent streams at one engine, over all entries.
/// @note Samples decay with a half-life of 5 s. The mean stays when they have
/// decayed: engines differ by their machines, and a slow one gets few streams.
class PaceMean {
 public:
  static constexpr Duration kHalfLife = std::chrono::seconds(5);
  /// Samples that must have counted at the same time before there is a mean.
  static constexpr double kMinSamples = 8;

  void Record(double token_us, TimePoint now);

  std::optional<double> token_us() const {
    return known_ ? std::optional(sum_us_ / weight_) : std::nullopt;
  }

 private:
  double weight_ = 0;
  double sum_us_ = 0;
  bool known_ = false;
  TimePoint decayed_at_;
};

/// @brief What is known of one engine's pace, and the speed taken for it so
/// far.
struct EnginePace {
  std::optional<double> token_us;
  double speed = 1;
};

/// @brief Speeds of a service's engines, relative to the median of those whose
/// pace is known; above 1 is faster.
/// @return For each engine, 1 if its pace is unknown or within 15% of the
/// median, else a value between 0.4 and 2.5. All are 1 if the pace of less than
/// half of the engines is known.
/// @note Answers the load of engines on unequal machines. One that has left
/// the range around the median counts as different until it is within 10%.
/// Complexity: linear in the number of engines.
std::vector<double> LearnedSpeeds(const std::vector<EnginePace>& engines);

}  // namespace rattanward::policy
