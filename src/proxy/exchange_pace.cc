#include "rattanward/proxy/exchange.h"

namespace rattanward::proxy {
namespace {

/// The pace of a stream is reported for slices of this time: an engine is
/// slowed down for about as long while it reads a long prompt.
constexpr Duration kPaceSlice{std::chrono::milliseconds(500)};
/// Fewer events in a shorter time say little.
constexpr std::uint64_t kMinPaceEvents = 2;
constexpr Duration kForecastPeriod{std::chrono::milliseconds(100)};

}  // namespace

bool Exchange::TakeForecast(TimePoint now) {
  if (now < next_forecast_at_) {
    return false;
  }
  next_forecast_at_ = now + kForecastPeriod;
  return true;
}

/// Events that arrive with the first one of an attempt have no pace.
void Exchange::RecordPace(TimePoint now) {
  if (pace_from_ == TimePoint()) {
    pace_from_ = now;
    events_before_pace_ = splitter_.events();
  } else if (now - pace_from_ >= kPaceSlice) {
    ReportPace(now);
  }
}

void Exchange::ReportPace(TimePoint now) {
  const std::uint64_t events = splitter_.events() - events_before_pace_;
  if (pace_from_ == TimePoint() ||
      (events < kMinPaceEvents && now - pace_from_ < kPaceSlice)) {
    return;
  }
  owner_.OnPace(*this, now - pace_from_, events);
  pace_from_ = now;
  events_before_pace_ = splitter_.events();
}

}  // namespace rattanward::proxy
