#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "rattanward/domain/time.h"
#include "rattanward/policy/service_demand.h"

namespace rattanward::policy {

/// @brief What one upstream of a service can do; 0 where it is unknown.
struct UpstreamCapacity {
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens = 0;
  std::uint64_t read_tokens_per_s = 0;

  friend bool operator==(const UpstreamCapacity&,
                         const UpstreamCapacity&) = default;
};

/// @brief Number of upstreams that a demand needs, by slots, memory and the
/// reading of prompts, so that each of them is used to a part only.
double NeededUpstreams(const ServiceDemand& demand,
                       const UpstreamCapacity& capacity);

/// @brief Upstreams that the demand of the last minute needed.
/// @note Pure: the time is a parameter.
class NeedHistory {
 public:
  static constexpr Duration kSpan = std::chrono::seconds(60);

  void Record(double need, TimePoint now);

  /// @brief The need now, and what it will be after `ahead` if it grows on as
  /// it did, whichever is larger.
  double Predicted(Duration ahead) const;

  double Peak() const;

  /// @brief Mean need. The time before the first demand counts with a need that
  /// is assumed.
  double Mean(double assumed) const;

  /// @brief Whether there has been demand for the whole span.
  bool covers_span() const;

 private:
  struct Sample {
    TimePoint at;
    double need = 0;
  };

  double MeanBetween(TimePoint from, TimePoint to) const;

  std::deque<Sample> samples_;
  std::optional<TimePoint> first_demand_at_;
};

}  // namespace rattanward::policy
