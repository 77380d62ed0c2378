#pragma once

#include <cstdint>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief What an entry knows of an engine that a stream may join.
struct JoinedEngine {
  std::uint32_t running = 0;
  std::uint32_t slots = 1;
  /// Prompt tokens to be read before those of the stream.
  std::uint64_t pending_tokens = 0;
  /// Rate at which it reads prompts; above 0.
  double read_tokens_per_ms = 1;
  /// Above 1 is faster than the median of its service; above 0.
  double speed = 1;
};

/// @brief A stream that may join an engine.
struct JoiningStream {
  std::uint64_t uncached_tokens = 0;
  /// Tokens that its answer is expected to have.
  std::uint64_t output_tokens = 0;
  /// Time between its tokens at an engine of speed 1 that runs nothing else.
  Duration time_per_token{0};
  /// Time until its deadline.
  Duration left{0};
};

/// @brief Time until the stream would end at the engine.
/// @note The time per token grows to twice as much when all slots are used. The
/// reading rate is taken as measured, so that the speed doesn't count there.
Duration TimeToEnd(const JoinedEngine& engine, const JoiningStream& stream);

/// @brief Cost of placing the stream at the engine, in prompt tokens: what the
/// engine reads in the time by which the stream would miss its deadline.
/// @return 0 if it ends in time or if its length or pace is unknown.
double JoinCost(const JoinedEngine& engine, const JoiningStream& stream);

}  // namespace rattanward::policy
