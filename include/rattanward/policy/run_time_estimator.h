#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"

namespace rattanward::policy {

/// @brief Estimates how long a request runs at an upstream, by the recent
/// requests of its route and service.
class RunTimeEstimator {
 public:
  /// Routes, services and sizes that are told apart, at most.
  static constexpr std::size_t kMaxKinds = 4096;

  /// @brief Records a request that has ended, or ran at least this long.
  /// @param max_output_tokens Declared maximum of the answer; 0 if unknown.
  void Record(const std::string& route, const ServiceName& service,
              std::uint32_t max_output_tokens, Duration ran, TimePoint now);

  /// @brief Nine of ten recent requests ran no longer.
  /// @param max_output_tokens Declared maximum of the answer; 0 if unknown.
  /// Maxima within a factor of two count as equal.
  /// @return If there are too few recent requests of this size, the longest
  /// time of those of any size. Nothing if there are none.
  std::optional<Duration> Expected(const std::string& route,
                                   const ServiceName& service,
                                   std::uint32_t max_output_tokens,
                                   TimePoint now) const;

 private:
  /// Route, service, and number of digits of the maximum in binary.
  using Kind = std::tuple<std::string, ServiceName, int>;

  std::map<Kind, QuantileWindow> run_us_;
};

}  // namespace rattanward::policy
