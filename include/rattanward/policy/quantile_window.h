#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Quantiles of the most recent samples, with old ones forgotten.
class QuantileWindow {
 public:
  /// Samples kept.
  static constexpr std::size_t kSize = 32;
  /// Samples older than this do not count.
  static constexpr Duration kMaxAge = std::chrono::minutes(5);

  /// @brief Adds a sample, in place of the oldest when the window is full.
  void Add(std::int64_t value, TimePoint now);

  /// @brief Value below which a share of the recent samples lies.
  /// @param permille The share, 0 to 1000.
  /// @param now Samples older than kMaxAge are left out.
  /// @return Nothing while there is no recent sample.
  /// Complexity: linear in kSize.
  std::optional<std::int64_t> Quantile(std::uint32_t permille,
                                       TimePoint now) const;

  /// @brief Number of recent samples.
  std::size_t Count(TimePoint now) const;

  /// @brief Forgets every sample.
  void Clear() { count_ = 0; }

 private:
  struct Sample {
    std::int64_t value = 0;
    TimePoint at;
  };
  std::array<Sample, kSize> samples_{};
  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

}  // namespace rattanward::policy
