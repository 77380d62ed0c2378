#pragma once

#include <cstdint>
#include <string_view>

namespace rattanward {

/// @brief Whether a request may have run on an upstream.
enum class Verdict : std::uint8_t {
  /// No byte of it reached an upstream, or the upstream's declared contract
  /// says that its refusal means not run.
  kNotRun,
  /// It was sent, and nothing tells whether it ran.
  kMayHaveRun,
  /// It ran, wholly or in part.
  kRan,
};

/// @brief The verdict as callers see it: "not-run", "may-have-run" or "ran".
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

/// @brief The verdict of a request that had both outcomes in turn.
/// @return The stronger of the two: ran over may-have-run over not-run.
constexpr Verdict Strongest(Verdict a, Verdict b) { return a < b ? b : a; }

}  // namespace rattanward
