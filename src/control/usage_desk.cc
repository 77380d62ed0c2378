#include "rattanward/control/usage_desk.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

constexpr Duration kTickPeriod{std::chrono::milliseconds(100)};
/// Every connected entry reports within this time after a process starts or
/// begins to lead.
constexpr Duration kHearingTime{std::chrono::milliseconds(1200)};
/// Windows that wait for the platform.
constexpr std::size_t kMaxWaitingWindows = 12;
constexpr Duration kRetryDelay{std::chrono::milliseconds(300)};
/// A platform that refuses late windows must not use up the budget of calls.
constexpr Duration kLateRetryDelay{std::chrono::seconds(2)};
/// Shares of the time until a window is late after which it is closed although
/// entries are missing. The rest is for the ledger and the platform.
constexpr int kHalfPercent = 40;
constexpr int kFirstPercent = 70;
constexpr int kPercent = 100;

const DutySubject kUsage{DutyKind::kUsageReport, {}, {}};

Duration WallClock() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

UsageTimes TimesFor(const UsageOptions& options) {
  UsageTimes times;
  times.after_half = options.late * kHalfPercent / kPercent;
  times.after_first = options.late * kFirstPercent / kPercent;
  return times;
}

}  // namespace

UsageDesk::UsageDesk(ControlDaemon& daemon, DutyCalls& calls,
                     UsageOptions options, port::EventSink events)
    : daemon_(daemon),
      calls_(calls),
      options_(options),
      events_(std::move(events)),
      book_(TimesFor(options)),
      started_at_(MonotonicNow()) {}

void UsageDesk::Start() {
  calls_.Want(kUsage);
  daemon_.timers().Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

void UsageDesk::OnReport(const protocol::EntryReport& report, TimePoint now) {
  book_.Record(report, now);
}

void UsageDesk::AddTo(protocol::ControlReport* answer) const {
  answer->wall_us = static_cast<std::uint64_t>(WallClock().count());
  answer->usage_stored = daemon_.replica().ledger().newest_usage();
  answer->usage_window_us = static_cast<std::uint64_t>(options_.window.count());
}

Duration UsageDesk::SinceEndOf(std::uint64_t window) const {
  return WallClock() - options_.window * static_cast<std::int64_t>(window + 1);
}

bool UsageDesk::IsLate(std::uint64_t window) const {
  return SinceEndOf(window) > options_.late;
}

void UsageDesk::Tick(TimePoint now) {
  book_.Forget(daemon_.replica().ledger().newest_usage(), now);
  if (!daemon_.replica().ConfirmedLeader()) {
    leads_since_.reset();
    return;
  }
  if (!leads_since_) {
    leads_since_ = now;
  }
  NoteLate();
  const bool has_heard =
      now - *leads_since_ >= kHearingTime && now - started_at_ >= kHearingTime;
  if (has_heard && !storing_) {
    CloseNext(now);
  }
  if (!sending_ && now >= next_send_ && calls_.Holds(kUsage)) {
    SendNext(now);
  }
}

/// A voter that has no hello yet may be of an older build. Once a window is
/// stored, the log holds this kind of command anyway.
bool UsageDesk::VotersKnowUsage() const {
  if (daemon_.replica().ledger().newest_usage() > 0) {
    return true;
  }
  const auto& members = daemon_.replica().node().membership().members;
  return std::all_of(
      members.begin(), members.end(), [this](const consensus::Member& member) {
        const protocol::VoterHello* hello = daemon_.voters().Find(member.id);
        return member.id == daemon_.replica().id() ||
               (hello != nullptr &&
                hello->command_kinds >= ledger::kKindsWithUsageStore);
      });
}

void UsageDesk::CloseNext(TimePoint now) {
  auto sum = book_.NextToClose(daemon_.replica().ledger().newest_usage(), now);
  if (!sum || !VotersKnowUsage()) {
    return;
  }
  std::uint64_t requests = 0;
  for (const auto& [account, count] : sum->counts) {
    requests += count;
  }
  events_({EventId::kUsageClosed,
           {{"window", std::to_string(sum->window)},
            {"accounts", std::to_string(sum->counts.size())},
            {"requests", std::to_string(requests)},
            {"entries", std::to_string(sum->entries)},
            {"missing", std::to_string(sum->missing)}}});
  storing_ = true;
  ++closed_total_;
  // A failed proposal is repeated by whoever leads then.
  daemon_.replica().Propose(
      ledger::UsageStore{sum->window, std::move(sum->counts)},
      [this](const Result<ledger::Outcome>&) { storing_ = false; });
}

/// The oldest window that may still arrive in time, else the oldest late one.
std::optional<std::uint64_t> UsageDesk::NextToSend() const {
  const ledger::UsageWindows& stored = daemon_.replica().ledger().usage();
  std::optional<std::uint64_t> oldest_late;
  const std::size_t skipped =
      stored.size() - std::min(stored.size(), kMaxWaitingWindows);
  auto it = std::next(stored.begin(), static_cast<std::ptrdiff_t>(skipped));
  for (; it != stored.end(); ++it) {
    if (accepted_.count(it->first) > 0) {
      continue;
    }
    if (!IsLate(it->first)) {
      return it->first;
    }
    if (!oldest_late) {
      oldest_late = it->first;
    }
  }
  return oldest_late;
}

void UsageDesk::SendNext(TimePoint now) {
  const std::optional<std::uint64_t> window = NextToSend();
  if (!window) {
    return;
  }
  sending_ = true;
  next_send_ = now + (IsLate(*window) ? kLateRetryDelay : kRetryDelay);
  calls_.Report(
      {*window, daemon_.replica().ledger().usage().at(*window)},
      [this, window = *window](DutyResult result) { OnSent(window, result); });
}

void UsageDesk::OnSent(std::uint64_t window, DutyResult result) {
  sending_ = false;
  if (result != DutyResult::kAccepted) {
    return;
  }
  next_send_ = TimePoint();
  accepted_.insert(window);
  ++accepted_total_;
  while (accepted_.size() > ledger::kMaxUsageWindows) {
    accepted_.erase(accepted_.begin());
  }
  events_({EventId::kUsageAccepted,
           {{"window", std::to_string(window)},
            {"after_ms", MillisecondText(SinceEndOf(window))}}});
}

/// Another leader may have had the windows accepted that ended before this one
/// began to lead.
void UsageDesk::NoteLate() {
  const Duration led = MonotonicNow() - *leads_since_;
  for (const auto& [window, counts] : daemon_.replica().ledger().usage()) {
    const bool own = SinceEndOf(window) < led;
    if (!own || !IsLate(window) || accepted_.count(window) > 0 ||
        !noted_late_.insert(window).second) {
      continue;
    }
    ++late_total_;
    events_({EventId::kUsageLate,
             {{"window", std::to_string(window)},
              {"reason", "the platform has not accepted it"}}});
  }
  while (noted_late_.size() > ledger::kMaxUsageWindows) {
    noted_late_.erase(noted_late_.begin());
  }
}

std::string UsageDesk::ScrapeText() const {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += "rattanward_usage_" + name + ' ' + std::to_string(value) + '\n';
  };
  add("windows_open", book_.windows());
  add("window_stored", daemon_.replica().ledger().newest_usage());
  add("windows_closed_total", closed_total_);
  add("windows_accepted_total", accepted_total_);
  add("windows_late_total", late_total_);
  add("voters_know", VotersKnowUsage() ? 1 : 0);
  return text;
}

}  // namespace rattanward::control
