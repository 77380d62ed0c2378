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
  for (const InstanceRecord& record : departed.value().records) {
    directory_.Merge(record, MonotonicNow());
  }
  for (const UpstreamId& id : departed.value().ids) {
    directory_.AddDepartedId(id, MonotonicNow());
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

/// Handles a departure that names no start. Returns whether it is remembered.
/// Where control doesn't know the upstream, as after a restart, entries may.
bool RoutingHub::Depart(const UpstreamId& id) {
  using Departure = membership::InstanceDirectory::Departure;
  const Departure departure = directory_.Depart(id, MonotonicNow());
  if (departure == Departure::kKnownStart) {
    PushDirectoryChanges();
  } else if (departure == Departure::kUnknownStart) {
    ++departures_;
    ++push_number_;
    PushToEntries(protocol::InstancePush{push_number_, {}, {id}});
    events_({EventId::kUpstreamDepartedUnknown,
             {{"upstream", id.str()}, {"push", std::to_string(push_number_)}}});
  }
  return departure != Departure::kNotRemembered;
}

/// Takes departures that another control VM heard of and knew no start of. Each
/// start that is known here is told to all.
bool RoutingHub::TakeDeparted(const std::vector<UpstreamId>& ids) {
  bool remembered = true;
  for (const UpstreamId& id : ids) {
    remembered = Depart(id) && remembered;
    const std::vector<InstanceRecord> records = directory_.ToTell(id);
    if (!records.empty()) {
      SendRecordsToControls(records);
    }
  }
  return remembered;
}

/// An entry knows which start of an upstream departed.
void RoutingHub::ResolveDeparture(const membership::InstanceStart& departed) {
  if (directory_.ResolveDeparture(departed, MonotonicNow())) {
    SendRecordsToControls({*directory_.Find(departed.id)});
  }
}

void RoutingHub::SaveDepartures(TimePoint now) {
  if (!departure_store_ || departures_saved_ == departures_ ||
      now < next_departure_save_) {
    return;
  }
  const Status saved =
      departure_store_->Save({directory_.Departed(kMaxKeptDepartures),
                              directory_.DepartedWithUnknownStart()});
  next_departure_save_ = now + (saved ? kSavePeriod : kSavePauseAfterError);
  if (saved) {
    departures_saved_ = departures_;
  } else {
    events_({EventId::kDeparturesNotKept, {{"reason", saved.error().message}}});
  }
  AnswerKept(/*refused=*/!saved);
}

/// Calls back once the entries know what is known of the upstream, and so many
/// disks hold it that one of them remains after the losses to be tolerated.
void RoutingHub::KeepDeparture(const UpstreamId& id, Done done) {
  Waiter waiter;
  waiter.number = ++last_waiter_;
  waiter.deadline = MonotonicNow() + options_.leave_ack_timeout;
  waiter.acknowledged = [number = push_number_](const Entry& entry) {
    return entry.push_heeded >= number;
  };
  waiter.done = std::move(done);
  waiter.departures = departures_;
  waiter.names_no_start = directory_.IsDepartedId(id);
  waiter.wanted_disks = departure_store_ ? options_.wanted_voters / 2 + 1 : 0;
  daemon_.voters().CallAll(
      protocol::MessageKind::kInstancePush, protocol::Encode(DepartureOf(id)),
      options_.leave_ack_timeout,
      [this, number = waiter.number](const protocol::Envelope& answer) {
        TakeKept(number, answer);
      });
  AddWaiter(std::move(waiter));
}

/// What is known of an upstream that left, for the other control VMs.
protocol::InstancePush RoutingHub::DepartureOf(const UpstreamId& id) const {
  protocol::InstancePush departure;
  departure.records = directory_.ToTell(id);
  if (directory_.IsDepartedId(id)) {
    departure.departed.push_back(id);
  }
  return departure;
}

void RoutingHub::TakeKept(std::uint64_t waiter,
                          const protocol::Envelope& answer) {
  const auto told = protocol::Decode<protocol::DeparturesKept>(answer.body);
  if (!told || !told.value().kept) {
    return;
  }
  for (Waiter& waiting : waiters_) {
    const bool counts = waiting.number == waiter &&
                        (!waiting.names_no_start || told.value().ids_kept);
    waiting.other_disks += counts ? 1 : 0;
  }
  CheckWaiters();
}

/// Answers the control VMs whose question is decided: the disk holds what they
/// told, or it refuses or there is none.
void RoutingHub::AnswerKept(bool refused) {
  std::erase_if(kept_questions_, [&](const KeptQuestion& question) {
    const bool kept =
        departure_store_ && question.departures <= departures_saved_;
    if (!kept && !refused && departure_store_) {
      return false;
    }
    question.reply.Reply(
        protocol::MessageKind::kDeparturesKept,
        protocol::Encode(protocol::DeparturesKept{kept, kept}));
    return true;
  });
}

std::size_t RoutingHub::DisksOf(const Waiter& waiter) const {
  const bool own = departure_store_ && waiter.departures <= departures_saved_;
  return waiter.other_disks + (own ? 1 : 0);
}

/// A wait that ends without the entries is a success: those that don't answer
/// are out of touch.
Status RoutingHub::ResultOf(const Waiter& waiter) const {
  const std::size_t disks = DisksOf(waiter);
  if (disks >= waiter.wanted_disks) {
    return outcome::success();
  }
  Error error =
      MakeError(ErrorCode::kOutcomeUnknown,
                "the departure is on " + std::to_string(disks) + " of " +
                    std::to_string(waiter.wanted_disks) + " disks");
  events_({EventId::kDeparturesNotKept, {{"reason", error.message}}});
  return error;
}

}  // namespace rattanward::control
