#include "rattanward/control/duty_desk.h"

#include <algorithm>
#include <utility>

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

constexpr Duration kTickPeriod{std::chrono::milliseconds(50)};
constexpr Duration kCallTimeout{std::chrono::seconds(1)};
/// Pause after the platform answered that it takes no further calls now.
constexpr Duration kThrottlePause{std::chrono::seconds(1)};
constexpr std::size_t kMaxQueuedCalls = 512;

const char* NameOf(DutyResult result) {
  switch (result) {
    case DutyResult::kAccepted:
      return "accepted";
    case DutyResult::kConflict:
      return "conflict";
    case DutyResult::kThrottled:
      return "throttled";
    case DutyResult::kUnknown:
      return "unknown";
    case DutyResult::kNotHeld:
      return "not-held";
  }
  return "unknown";
}

DutySubject UsageSubject() { return {DutyKind::kUsageReport, {}, {}}; }

}  // namespace

std::string ResourceOf(const DutySubject& subject) {
  if (subject.kind == DutyKind::kUsageReport) {
    return "duty/usage";
  }
  return "duty/scaling/" + subject.service.str() + "/" +
         subject.failure_domain.str();
}

DutyDesk::DutyDesk(asio::io_context& io, ControlDaemon& daemon,
                   DutyOptions options, const DutyDialect& dialect,
                   port::EventSink events)
    : daemon_(daemon),
      options_(std::move(options)),
      dialect_(dialect),
      events_(std::move(events)),
      connection_(io, daemon.timers(), options_.platform),
      budget_(options_.calls_per_second) {}

void DutyDesk::Start() {
  daemon_.timers().Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

void DutyDesk::Stop() {
  stopped_ = true;
  connection_.Close();
  queue_.clear();
}

bool DutyDesk::Leads() const {
  return !stopped_ && daemon_.replica().ConfirmedLeader();
}

DutyView DutyDesk::ViewOf(const DutySubject& subject, TimePoint now) const {
  DutyView view;
  view.now = now;
  view.leads = Leads();
  const auto& records = daemon_.replica().ledger().fencing();
  const auto found = records.find(ResourceOf(subject));
  if (found != records.end()) {
    view.record = found->second;
  }
  return view;
}

DutyStep DutyDesk::StepOf(const DutySubject& subject) const {
  const auto lease = leases_.find(subject);
  return lease == leases_.end()
             ? DutyStep::kIdle
             : lease->second.Next(ViewOf(subject, MonotonicNow()));
}

bool DutyDesk::Holds(const DutySubject& subject) const {
  return StepOf(subject) == DutyStep::kCall;
}

void DutyDesk::Want(const DutySubject& subject) {
  leases_.try_emplace(subject, ProcessId(options_.holder), options_.lease);
}

void DutyDesk::Report(const UsageReport& report, Done done) {
  Add({UsageSubject(), report, std::move(done)});
}

void DutyDesk::Order(const ScalingOrder& order, Done done) {
  Add({{DutyKind::kScaling, order.service, order.failure_domain},
       order,
       std::move(done)});
}

void DutyDesk::Add(Call call) {
  if (!Holds(call.subject)) {
    ++counters_.not_sent;
    call.done(DutyResult::kNotHeld);
    return;
  }
  if (Replace(call)) {
    return;
  }
  if (queue_.size() >= kMaxQueuedCalls) {
    ++counters_.not_sent;
    call.done(DutyResult::kThrottled);
    return;
  }
  const bool is_usage = call.subject.kind == DutyKind::kUsageReport;
  // A late usage report costs more than a late order.
  queue_.insert(is_usage ? queue_.begin() : queue_.end(), std::move(call));
  Pump();
}

bool DutyDesk::Replace(Call& call) {
  const auto* order = std::get_if<ScalingOrder>(&call.content);
  if (order == nullptr) {
    return false;
  }
  const auto older =
      std::find_if(queue_.begin(), queue_.end(), [&](const Call& other) {
        const auto* waits = std::get_if<ScalingOrder>(&other.content);
        return waits != nullptr && other.subject == call.subject &&
               waits->spot == order->spot;
      });
  if (older == queue_.end()) {
    return false;
  }
  std::swap(*older, call);
  ++counters_.not_sent;
  call.done(DutyResult::kThrottled);
  return true;
}

void DutyDesk::Tick(TimePoint now) {
  if (stopped_) {
    return;
  }
  const bool leads = Leads();
  if (led_ && !leads) {
    events_(
        {EventId::kDutyLost, {{"subjects", std::to_string(leases_.size())}}});
  }
  led_ = leads;
  DropLost();
  if (leads) {
    TakeNumbers(now);
    Pump();
  }
}

void DutyDesk::TakeNumbers(TimePoint now) {
  std::vector<DutySubject> due;
  for (const auto& [subject, lease] : leases_) {
    if (lease.Next(ViewOf(subject, now)) == DutyStep::kTake) {
      due.push_back(subject);
    }
  }
  for (const DutySubject& subject : due) {
    Take(subject);
  }
}

void DutyDesk::Take(const DutySubject& subject) {
  leases_.at(subject).OnTakeProposed(ViewOf(subject, MonotonicNow()).record);
  ledger::FencingTake take;
  // Unique over restarts, since a repeated id would return the old number.
  take.command_id =
      CommandId("duty/" + daemon_.replica().id().str() + "/" +
                std::to_string(MonotonicNow().time_since_epoch().count()) +
                "/" + std::to_string(daemon_.replica().node().term()) + "/" +
                std::to_string(++takes_));
  take.resource = ResourceOf(subject);
  take.holder = ProcessId(options_.holder);
  daemon_.replica().Propose(
      take, [this, subject](const Result<ledger::Outcome>& outcome) {
        OnTaken(subject, outcome);
      });
}

void DutyDesk::OnTaken(const DutySubject& subject,
                       const Result<ledger::Outcome>& outcome) {
  DutyLease& lease = leases_.at(subject);
  const auto* taken =
      outcome ? std::get_if<ledger::FencingTaken>(&outcome.value()) : nullptr;
  if (taken == nullptr) {
    lease.OnTakeFailed();
    return;
  }
  const TimePoint now = MonotonicNow();
  lease.OnTaken(taken->number, now);
  ++counters_.numbers;
  const Duration waits = std::max(Duration(0), lease.ready_at() - now);
  events_({EventId::kDutyTaken,
           {{"subject", ResourceOf(subject)},
            {"number", std::to_string(taken->number.value)},
            {"waits_ms", MillisecondText(waits)}}});
  Pump();
}

/// Answers the calls that wait for a lease that this process lost.
void DutyDesk::DropLost() {
  std::vector<Call> lost;
  std::erase_if(queue_, [&](Call& call) {
    const bool drop = StepOf(call.subject) == DutyStep::kIdle;
    if (drop) {
      lost.push_back(std::move(call));
    }
    return drop;
  });
  counters_.not_sent += lost.size();
  for (const Call& call : lost) {
    call.done(DutyResult::kNotHeld);
  }
}

/// Sends the first call whose subject is held. Orders whose subject waits for a
/// new number don't hold up the others.
void DutyDesk::Pump() {
  if (stopped_ || connection_.busy()) {
    return;
  }
  const auto next =
      std::find_if(queue_.begin(), queue_.end(),
                   [this](const Call& call) { return Holds(call.subject); });
  if (next == queue_.end() || !budget_.TryTake(MonotonicNow())) {
    return;
  }
  Call call = std::move(*next);
  queue_.erase(next);
  Send(std::move(call));
}

void DutyDesk::Send(Call call) {
  const DutyStamp stamp{options_.holder, leases_.at(call.subject).number()};
  const DutyRequest request = std::visit(
      [&](const auto& content) { return dialect_.Encode(content, stamp); },
      call.content);
  ++counters_.sent;
  connection_.Call(request, kCallTimeout,
                   [this, call = std::move(call), number = stamp.number,
                    sent = MonotonicNow()](int status) {
                     OnAnswer(call, number, sent, status);
                   });
}

void DutyDesk::OnAnswer(const Call& call, FencingNumber number, TimePoint sent,
                        int status) {
  const DutyResult result = dialect_.ResultOf(status);
  events_({EventId::kDutyCalled,
           {{"subject", ResourceOf(call.subject)},
            {"number", std::to_string(number.value)},
            {"result", NameOf(result)},
            {"status", std::to_string(status)},
            {"took_ms", MillisecondText(MonotonicNow() - sent)}}});
  Apply(call.subject, result);
  call.done(result);
  Pump();
}

void DutyDesk::Apply(const DutySubject& subject, DutyResult result) {
  const TimePoint now = MonotonicNow();
  DutyLease& lease = leases_.at(subject);
  switch (result) {
    case DutyResult::kAccepted:
      ++counters_.accepted;
      break;
    case DutyResult::kConflict:
      ++counters_.conflicts;
      lease.OnConflict(now);
      break;
    case DutyResult::kThrottled:
      ++counters_.throttled;
      budget_.Block(now + kThrottlePause);
      break;
    case DutyResult::kUnknown:
      ++counters_.unknown;
      // A usage report that is executed late changes nothing: it is the repeat
      // of the one that follows.
      if (subject.kind == DutyKind::kScaling) {
        lease.OnUnknown();
      }
      break;
    case DutyResult::kNotHeld:
      break;
  }
}

std::string DutyDesk::ScrapeText() const {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += "rattanward_duty_" + name + ' ' + std::to_string(value) + '\n';
  };
  const auto held =
      std::count_if(leases_.begin(), leases_.end(),
                    [this](const auto& item) { return Holds(item.first); });
  add("subjects", leases_.size());
  add("subjects_held", static_cast<std::uint64_t>(held));
  add("calls_waiting", queue_.size());
  add("calls_sent_total", counters_.sent);
  add("calls_accepted_total", counters_.accepted);
  add("calls_conflict_total", counters_.conflicts);
  add("calls_throttled_total", counters_.throttled);
  add("calls_unknown_total", counters_.unknown);
  add("calls_not_sent_total", counters_.not_sent);
  add("numbers_taken_total", counters_.numbers);
  return text;
}

}  // namespace rattanward::control
