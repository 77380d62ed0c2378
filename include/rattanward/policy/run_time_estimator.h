#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"

namespace rattanward::policy {

/// @brief What a caller tells of the length of the answer, in tokens.
struct AnswerLength {
  /// Declared maximum; 0 if unknown.
  std::uint32_t max = 0;
  /// The caller's estimate, which may be far off; 0 if there is none.
  std::uint32_t expected = 0;

  friend auto operator<=>(const AnswerLength&, const AnswerLength&) = default;
};

/// @brief Estimates how long a request runs at an upstream, by the recent
/// requests of its route and service.
/// @note Answers the load of a crowded service: run times grow with it, and
/// differ by far more than the callers' estimates of the length do.
class RunTimeEstimator {
 public:
  /// Routes, services and lengths that are told apart, at most.
  static constexpr std::size_t kMaxKinds = 4096;

  /// @brief Records a request that has ended, or ran at least this long.
  void Record(const std::string& route, const ServiceName& service,
              const AnswerLength& length, Duration ran, TimePoint now);

  /// @brief A time that few recent requests exceeded.
  /// @return With the caller's estimate, what 97 of 100 didn't exceed for each
  /// token that was estimated. Without, or with too few recent ones, what nine
  /// of ten didn't exceed whose maximum is equal within a factor of two. If
  /// there are too few of these as well, the longest time of any. Nothing if
  /// there are none.
  std::optional<Duration> Expected(const std::string& route,
                                   const ServiceName& service,
                                   const AnswerLength& length,
                                   TimePoint now) const;

 private:
  struct RouteKey {
    std::string route;
    ServiceName service;

    friend auto operator<=>(const RouteKey&, const RouteKey&) = default;
  };
  struct Kind {
    RouteKey route;
    /// Number of digits of the maximum in binary.
    int max_width = 0;

    friend auto operator<=>(const Kind&, const Kind&) = default;
  };

  std::optional<Duration> ByEstimate(const RouteKey& route,
                                     const AnswerLength& length,
                                     TimePoint now) const;
  std::optional<Duration> LongestOf(const RouteKey& route, TimePoint now) const;

  std::map<Kind, QuantileWindow> run_us_;
  std::map<RouteKey, QuantileWindow> run_us_per_token_;
};

}  // namespace rattanward::policy
