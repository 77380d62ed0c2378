#include "rattanward/control/crash_keeper.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

/// Crashes within a period share one write.
constexpr Duration kSavePeriod{std::chrono::milliseconds(200)};
constexpr Duration kSavePauseAfterError{std::chrono::seconds(2)};
/// Pause after a write, in multiples of the time that it took: on a slow disk
/// the control thread must have time for the replicated log.
constexpr int kSavePauseFactor = 9;

Result<protocol::CrashesTold> Read(const adapter::RecordFile& file) {
  BOOST_OUTCOME_TRY(payload, file.Load());
  if (!payload) {
    return protocol::CrashesTold();
  }
  return protocol::Decode<protocol::CrashesTold>(*payload);
}

}  // namespace

CrashKeeper::CrashKeeper(const std::string& folder, port::EventSink events)
    : events_(std::move(events)) {
  if (!folder.empty()) {
    file_.emplace(folder, "crashes");
  }
}

void CrashKeeper::Load(TimePoint now) {
  if (!file_) {
    return;
  }
  const auto saved = Read(*file_);
  if (!saved) {
    events_({EventId::kCrashesNotKept, {{"reason", saved.error().message}}});
    return;
  }
  news_.Record(saved.value(), now);
  events_({EventId::kCrashesLoaded,
           {{"witnesses", std::to_string(news_.witnesses())},
            {"cleared", std::to_string(saved.value().cleared.size())},
            {"parts", std::to_string(news_.suspected_parts())}}});
}

protocol::CrashesTold CrashKeeper::Record(const protocol::CrashesTold& reported,
                                          TimePoint now) {
  protocol::CrashesTold news = news_.Record(reported, now);
  changed_ = changed_ || !membership::IsEmpty(news);
  return news;
}

void CrashKeeper::RecordPlannedExit(const membership::InstanceStart& upstream) {
  const std::size_t cleared = news_.RecordPlannedExit(upstream);
  changed_ = changed_ || cleared > 0;
}

void CrashKeeper::SaveIfDue(TimePoint now) {
  if (!file_ || !changed_ || now < next_save_) {
    return;
  }
  const TimePoint began = MonotonicNow();
  const Status saved = file_->Save(protocol::Encode(news_.All()));
  const Duration took = MonotonicNow() - began;
  if (saved) {
    changed_ = false;
    next_save_ = now + took + std::max(kSavePeriod, kSavePauseFactor * took);
  } else {
    next_save_ = now + took + kSavePauseAfterError;
    events_({EventId::kCrashesNotKept, {{"reason", saved.error().message}}});
  }
}

}  // namespace rattanward::control
