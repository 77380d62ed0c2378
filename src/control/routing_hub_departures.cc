#include <algorithm>

#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;
using membership::InstanceRecord;
using membership::InstanceState;

/// Departures within a period share one write.
constexpr Duration kSavePeriod{std::chrono::milliseconds(200)};
constexpr Duration kSavePauseAfterError{std::chrono::seconds(2)};

}  // namespace

/// What was saved counts as heard now, so that it is remembered for at least as
/// long as before the restart.
void RoutingHub::LoadDepartures() {
  if (!departure_store_) {
    return;
  }
  const auto departed = departure_store_->Load();
  if (!departed) {
    events_(
        {EventId::kDeparturesNotKept, {{"reason", departed.error().message}}});
    return;
  }
  for (const InstanceRecord& record : departed.value()) {
    directory_.Merge(record, MonotonicNow());
  }
  PushDirectoryChanges();
  departures_saved_ = departures_;
}

void RoutingHub::CountDepartures(const std::vector<InstanceRecord>& changes) {
  const bool any_departed = std::any_of(
      changes.begin(), changes.end(), [](const InstanceRecord& record) {
        return record.state != InstanceState::kReady;
      });
  departures_ += any_departed ? 1 : 0;
}

void RoutingHub::SaveDepartures(TimePoint now) {
  if (!departure_store_ || departures_saved_ == departures_ ||
      now < next_departure_save_) {
    return;
  }
  const Status saved =
      departure_store_->Save(directory_.Departed(kMaxKeptDepartures));
  next_departure_save_ = now + (saved ? kSavePeriod : kSavePauseAfterError);
  if (saved) {
    departures_saved_ = departures_;
    return;
  }
  events_({EventId::kDeparturesNotKept, {{"reason", saved.error().message}}});
}

/// Calls back once the entries and the disk know what was told last.
void RoutingHub::WaitForDeparture(Done done) {
  Waiter waiter;
  waiter.deadline = MonotonicNow() + options_.leave_ack_timeout;
  waiter.acknowledged = [number = push_number_](const Entry& entry) {
    return entry.push_heeded >= number;
  };
  waiter.departures = departure_store_ ? departures_ : 0;
  waiter.done = std::move(done);
  waiters_.push_back(std::move(waiter));
  CheckWaiters();
}

}  // namespace rattanward::control
