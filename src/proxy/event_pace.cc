#include "rattanward/proxy/event_pace.h"

#include <algorithm>

namespace rattanward::proxy {
namespace {

/// Events that follow each other faster were joined on the way.
constexpr Duration kMinGap = std::chrono::milliseconds(1);

}  // namespace

void EventPace::Record(std::uint64_t events, TimePoint now) {
  const bool joined = events > 1 || (last_ && now - *last_ < kMinGap);
  if (joined) {
    last_.reset();
    before_last_.reset();
    return;
  }
  if (before_last_) {
    const Duration gap = (now - *before_last_) / 2;
    shortest_ = std::min(shortest_.value_or(gap), gap);
  }
  before_last_ = last_;
  last_ = now;
}

}  // namespace rattanward::proxy
