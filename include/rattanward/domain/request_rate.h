#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace rattanward {

/// @brief Requests a second, counted in thousandths.
struct RequestRate {
  static constexpr double kMilliPerRequest = 1000;

  std::uint64_t milli_per_second = 0;

  double per_second() const {
    return static_cast<double>(milli_per_second) / kMilliPerRequest;
  }

  friend auto operator<=>(const RequestRate&, const RequestRate&) = default;
};

}  // namespace rattanward
