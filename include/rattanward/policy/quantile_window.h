#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Quantiles over a sliding window, limited in size and age.
class QuantileWindow {
 public:
  /// Maximum number of samples.
  static constexpr std::size_t kSize = 32;
  /// Samples older than this are ignored, unless another age is given.
  static constexpr Duration kMaxAge = std::chrono::minutes(5);

  explicit QuantileWindow(Duration max_age = kMaxAge) : max_age_(max_age) {}

  /// @brief Adds a sample; replaces the oldest one if the window is full.
  void Add(std::int64_t value, TimePoint now);

  /// @brief Returns a quantile of the recent samples.
  /// @param permille Quantile in thousandths, 0 to 1000.
  /// @param now Current time; samples older than the maximum age are ignored.
  /// @return Nothing if there is no recent sample.
  /// Complexity: linear in kSize.
  std::optional<std::int64_t> Quantile(std::uint32_t permille,
                                       TimePoint now) const;

  /// @brief Returns the number of recent samples.
  std::size_t Count(TimePoint now) const;

  /// @brief Removes all samples.
  void Clear() { count_ = 0; }

 private:
  struct Sample {
    std::int64_t value = 0;
    TimePoint at;
  };
  Duration max_age_;
  std::array<Sample, kSize> samples_{};
  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

}  // namespace rattanward::policy
