#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "rattanward/domain/time.h"

namespace rattanward::adapter {

/// @brief Counts of times in fixed buckets, as scrapers read them.
/// @note For one thread. Complexity of a count: linear in the buckets.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets, in ms; beyond the last is a bucket more.
  static constexpr std::array<std::int64_t, 12> kBoundsMs = {
      1, 5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000};

  /// @brief Counts one time.
  void Count(Duration time);

  std::uint64_t count() const { return count_; }

  /// @brief The histogram as scrape text.
  /// @param name Name of the metric, in seconds by convention.
  /// @param labels Labels such as `route="a"`; may be empty.
  std::string Scrape(const std::string& name, const std::string& labels) const;

 private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> buckets_{};
  std::uint64_t count_ = 0;
  Duration sum_{0};
};

}  // namespace rattanward::adapter
