#include "rattanward/ledger/in_force_tracker.h"

#include <algorithm>

namespace rattanward::ledger {

void InForceTracker::Reset(TimePoint now) {
  for (auto& [process, tracked] : entries_) {
    tracked.heard = now;
    tracked.version = ConfigVersion{};
  }
}

void InForceTracker::SetEntries(const std::map<ProcessId, EntryRecord>& entries,
                                TimePoint now) {
  std::erase_if(entries_,
                [&](const auto& e) { return entries.count(e.first) == 0; });
  for (const auto& [process, record] : entries) {
    const auto [it, added] =
        entries_.try_emplace(process, Tracked{record, now, ConfigVersion{}});
    it->second.record = record;
  }
}

void InForceTracker::Heard(const protocol::EntryStatus& status, TimePoint now) {
  const auto it = entries_.find(status.process);
  if (it != entries_.end()) {
    it->second.heard = now;
    it->second.version = status.in_force;
  }
}

InForceReport InForceTracker::Report(ConfigVersion version,
                                     TimePoint now) const {
  std::map<FailureDomain, DomainInForce> domains;
  for (const auto& [process, tracked] : entries_) {
    DomainInForce& domain = domains[tracked.record.failure_domain];
    if (domain.entries == 0) {
      domain.failure_domain = tracked.record.failure_domain;
      domain.pending = false;
    }
    ++domain.entries;
    const bool runs_it = tracked.version >= version;
    const Duration silence = now - tracked.heard;
    if (silence <= options_.live_within) {
      ++domain.live;
      domain.in_force += runs_it ? 1 : 0;
      domain.pending |= !runs_it;
    } else {
      domain.pending |= !runs_it && silence < options_.stopped_after;
    }
  }
  InForceReport report;
  report.accepted = !domains.empty();
  for (auto& [name, domain] : domains) {
    domain.pending |= 2 * domain.live <= domain.entries;
    report.accepted &= !domain.pending;
    report.domains.push_back(domain);
  }
  return report;
}

bool InForceTracker::IsLive(const ProcessId& process, TimePoint now) const {
  const auto it = entries_.find(process);
  return it != entries_.end() && now - it->second.heard <= options_.live_within;
}

ConfigVersion InForceTracker::Version(const ProcessId& process) const {
  const auto it = entries_.find(process);
  return it == entries_.end() ? ConfigVersion{} : it->second.version;
}

std::vector<ProcessId> InForceTracker::SilentFor(Duration silence,
                                                 TimePoint now) const {
  std::vector<ProcessId> silent;
  for (const auto& [process, tracked] : entries_) {
    if (now - tracked.heard >= silence) {
      silent.push_back(process);
    }
  }
  return silent;
}

}  // namespace rattanward::ledger
