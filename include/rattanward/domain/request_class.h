#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward {

/// @brief Priority of a request class; 0 is the highest, 3 the lowest.
struct Tier {
  static constexpr std::uint8_t kCount = 4;
  std::uint8_t value = 0;

  friend auto operator<=>(const Tier&, const Tier&) = default;
};

/// @brief Declared service level and priority of one kind of request.
struct RequestClass {
  RequestClassName name;
  Tier tier;
  /// Time from arrival to the first token (or the whole answer of a service).
  Duration first_token_target{0};
  /// Time between two tokens of a stream.
  Duration between_tokens_target{0};
  /// Time from arrival after which an answer that has not begun is useless.
  Duration deadline{0};
  /// Share of work, in thousandths, kept for this class while it waits.
  std::uint32_t floor_permille = 0;
  /// Requests of this class that may wait at one entry.
  std::uint32_t queue_limit = 0;
  /// Output length assumed until answers have been seen.
  std::uint32_t expected_output_tokens = 0;
  /// Whether running a request twice does no harm.
  bool idempotent = true;

  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

}  // namespace rattanward
