#include "rattanward/control/usage_book.h"

#include <algorithm>

namespace rattanward::control {
namespace {

/// Windows that are kept while none can be stored.
constexpr std::size_t kMaxWindows = 64;
/// After a pause of the whole deployment, older windows are skipped.
constexpr std::uint64_t kMaxEmptyWindows = 12;
/// Time for which silent entries are remembered.
constexpr Duration kForgetAfter{std::chrono::seconds(60)};

}  // namespace

void UsageBook::Record(const protocol::EntryReport& report, TimePoint now) {
  if (report.usage.empty()) {
    return;  // An older build, or one whose clock is not set yet.
  }
  Entry& entry = entries_[report.process];
  if (entry.first_heard == TimePoint() ||
      entry.incarnation != report.incarnation) {
    entry = {report.incarnation, report.usage.front().window, now, now};
  }
  entry.last_heard = now;
  const Source source{report.process, report.incarnation};
  for (const protocol::UsageWindow& told : report.usage) {
    entry.first_window = std::min(entry.first_window, told.window);
    Window& window = windows_[told.window];
    auto& counts = window.counts[source];
    for (const protocol::UsageCount& count : told.counts) {
      std::uint64_t& known = counts[count.account];
      known = std::max(known, count.requests);
    }
    if (told.complete) {
      window.complete_at.try_emplace(source, now);
    }
  }
  while (windows_.size() > kMaxWindows) {
    windows_.erase(windows_.begin());
  }
}

std::optional<std::uint64_t> UsageBook::NextWindow(std::uint64_t stored) const {
  if (windows_.empty()) {
    return std::nullopt;
  }
  const std::uint64_t oldest = windows_.begin()->first;
  if (stored == 0) {
    return oldest;
  }
  const std::uint64_t earliest =
      oldest > kMaxEmptyWindows ? oldest - kMaxEmptyWindows : 1;
  return std::max(stored + 1, earliest);
}

/// An entry that started later has nothing to say about a window.
std::optional<TimePoint> UsageBook::DoneAt(const ProcessId& process,
                                           const Entry& entry,
                                           std::uint64_t window) const {
  if (window < entry.first_window) {
    return entry.first_heard;
  }
  const auto found = windows_.find(window);
  if (found == windows_.end()) {
    return std::nullopt;
  }
  const auto& complete = found->second.complete_at;
  const auto at = complete.find(Source{process, entry.incarnation});
  return at == complete.end() ? std::nullopt : std::optional(at->second);
}

bool UsageBook::MayClose(std::vector<TimePoint> done, std::size_t live,
                         TimePoint now) const {
  if (done.empty()) {
    return false;
  }
  std::sort(done.begin(), done.end());
  const std::size_t half = (live + 1) / 2;
  return done.size() == live || now - done.front() >= times_.after_first ||
         (done.size() >= half && now - done[half - 1] >= times_.after_half);
}

std::map<ClientAccountId, std::uint64_t> UsageBook::SumOf(
    std::uint64_t window) const {
  std::map<ClientAccountId, std::uint64_t> sum;
  const auto found = windows_.find(window);
  if (found == windows_.end()) {
    return sum;
  }
  for (const auto& [source, counts] : found->second.counts) {
    for (const auto& [account, requests] : counts) {
      sum[account] += requests;
    }
  }
  return sum;
}

std::optional<UsageSum> UsageBook::NextToClose(std::uint64_t stored,
                                               TimePoint now) const {
  const std::optional<std::uint64_t> window = NextWindow(stored);
  if (!window) {
    return std::nullopt;
  }
  std::vector<TimePoint> done;
  std::size_t live = 0;
  for (const auto& [process, entry] : entries_) {
    if (now - entry.last_heard >= times_.entry_retention) {
      continue;
    }
    ++live;
    if (const auto at = DoneAt(process, entry, *window)) {
      done.push_back(*at);
    }
  }
  if (!MayClose(done, live, now)) {
    return std::nullopt;
  }
  return UsageSum{*window, SumOf(*window), live, live - done.size()};
}

void UsageBook::Forget(std::uint64_t stored, TimePoint now) {
  windows_.erase(windows_.begin(), windows_.upper_bound(stored));
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.last_heard > kForgetAfter;
  });
}

}  // namespace rattanward::control
