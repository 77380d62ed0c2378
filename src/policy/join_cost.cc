#include "rattanward/policy/join_cost.h"

#include <algorithm>
#include <cmath>

namespace rattanward::policy {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

Duration TimeToEnd(const JoinedEngine& engine, const JoiningStream& stream) {
  const auto to_read =
      static_cast<double>(engine.pending_tokens + stream.uncached_tokens);
  const Milliseconds reading(to_read / engine.read_tokens_per_ms);
  const double filled =
      static_cast<double>(engine.running) / std::max(engine.slots, 1U);
  const Milliseconds per_token =
      Milliseconds(stream.time_per_token) * (1 + filled) / engine.speed;
  return std::chrono::duration_cast<Duration>(
      reading + per_token * static_cast<double>(stream.output_tokens));
}

double JoinCost(const JoinedEngine& engine, const JoiningStream& stream) {
  if (stream.output_tokens == 0 || stream.time_per_token <= Duration(0)) {
    return 0;
  }
  const Milliseconds missed = TimeToEnd(engine, stream) - stream.left;
  return std::max(0.0, missed.count()) * engine.read_tokens_per_ms;
}

}  // namespace rattanward::policy
