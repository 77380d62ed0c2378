#pragma once

#include <cstdint>

#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"

namespace rattanward::policy {

/// @brief Learns the rate at which a service's engines read prompts.
/// @note A high quantile, since other work at the engine lowers the rate of
/// single samples. Forecasts made with it are therefore optimistic.
class ReadingRate {
 public:
  /// Assumed until there are kMinSamples.
  static constexpr double kInitialTokensPerMs = 50;
  static constexpr std::size_t kMinSamples = 8;
  /// Shorter prompts say little: most of their time is decoding and the path.
  static constexpr std::uint64_t kMinTokens = 1000;

  /// @brief Records a prompt that an engine read with nothing else to be read.
  /// @param tokens Tokens that the engine had to read.
  /// @param took Time from the send to the first event.
  void Record(std::uint64_t tokens, Duration took, TimePoint now);

  double TokensPerMs(TimePoint now) const;

 private:
  /// In tokens per second.
  QuantileWindow samples_;
};

}  // namespace rattanward::policy
