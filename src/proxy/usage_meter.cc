#include "rattanward/proxy/usage_meter.h"

#include <algorithm>

#include "rattanward/proxy/proxy_meter.h"

namespace rattanward::proxy {
namespace {

/// First events that arrive within this time after the end of a window may
/// still belong to it, as their first token came earlier.
constexpr Duration kSettleTime{std::chrono::milliseconds(500)};
/// Time after its end for which a window is reported until it is stored.
constexpr Duration kReportTime{std::chrono::seconds(10)};
constexpr std::uint64_t kMinOpenWindows = 4;
constexpr std::uint64_t kMaxOpenWindows = 64;
/// Weight of a new sample in the mean time between events.
constexpr int kGapDivisor = 8;

}  // namespace

void UsageMeter::OnControlReport(const Endpoint& control, TimePoint sent,
                                 TimePoint received,
                                 const protocol::ControlReport& report) {
  if (report.wall_us == 0 || report.usage_window_us == 0) {
    return;  // Takes no usage counts.
  }
  window_ = Duration(report.usage_window_us);
  time_.Record(control, sent, received, Duration(report.wall_us));
  if (first_window_ == 0) {
    first_window_ = WindowAt(received);
  }
  stored_ = std::max(stored_, report.usage_stored);
  counts_.erase(counts_.begin(), counts_.upper_bound(stored_));
}

std::uint64_t UsageMeter::WindowAt(TimePoint moment) const {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(time_.At(moment).count() / window_.count(), 1));
}

void UsageMeter::Count(const ClientAccountId& account, TimePoint began) {
  if (!active() || account.empty()) {
    return;
  }
  const std::uint64_t window = std::max(WindowAt(began), first_window_);
  if (window <= stored_) {
    ++too_late_;
    return;
  }
  ++counted_;
  ++counts_[window][account];
}

void UsageMeter::BeginPending(TimePoint sent) { pending_.insert(sent); }

void UsageMeter::EndPending(TimePoint sent) {
  const auto found = pending_.find(sent);
  if (found != pending_.end()) {
    pending_.erase(found);
  }
}

void UsageMeter::RecordGap(const ServiceName& service, Duration gap) {
  const auto [known, added] = gaps_.try_emplace(service, gap);
  if (!added) {
    known->second += (gap - known->second) / kGapDivisor;
  }
}

Duration UsageMeter::FirstTokenLead(const ServiceName& service,
                                    std::uint32_t tokens_per_event) const {
  const auto gap = gaps_.find(service);
  if (gap == gaps_.end() || tokens_per_event < 2) {
    return Duration(0);
  }
  const Duration lead = gap->second * (tokens_per_event - 1) / tokens_per_event;
  return std::min(lead, kSettleTime);
}

/// Counts may still come from attempts that were sent in the window.
bool UsageMeter::IsComplete(std::uint64_t window, TimePoint now) const {
  const bool settled = WindowAt(now - kSettleTime) > window;
  return settled && (pending_.empty() || WindowAt(*pending_.begin()) > window);
}

std::uint64_t UsageMeter::OpenWindows() const {
  const auto needed = static_cast<std::uint64_t>(kReportTime / window_) + 2;
  return std::clamp(needed, kMinOpenWindows, kMaxOpenWindows);
}

std::vector<protocol::UsageWindow> UsageMeter::Open(TimePoint now) {
  std::vector<protocol::UsageWindow> open;
  if (!active()) {
    return open;
  }
  const std::uint64_t current = WindowAt(now);
  const std::uint64_t kept = OpenWindows();
  const std::uint64_t oldest = current >= kept ? current - kept + 1 : 1;
  counts_.erase(counts_.begin(), counts_.lower_bound(oldest));
  for (std::uint64_t window = std::max({oldest, stored_ + 1, first_window_});
       window <= current; ++window) {
    protocol::UsageWindow& told = open.emplace_back();
    told.window = window;
    told.complete = IsComplete(window, now);
    const auto counts = counts_.find(window);
    if (counts == counts_.end()) {
      continue;
    }
    for (const auto& [account, requests] : counts->second) {
      told.counts.push_back({account, requests});
    }
  }
  return open;
}

std::string UsageMeter::ScrapeText() const {
  if (!active()) {
    return std::string();
  }
  return ScrapeLine("usage_counted_total", counted_) +
         ScrapeLine("usage_too_late_total", too_late_) +
         ScrapeLine("usage_attempts_pending", pending_.size()) +
         ScrapeLine("usage_window_stored", stored_);
}

}  // namespace rattanward::proxy
