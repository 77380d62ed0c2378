#include "rattanward/membership/acceptance_rule.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace rattanward::membership {
namespace {

/// Number of reports kept per entry. Once the report of a version is dropped,
/// the next newer one stands in for it with a later time, which can only delay
/// acceptance.
constexpr std::size_t kMaxReports = 16;

}  // namespace

/// @brief Counts of a domain's entries with respect to one version.
struct AcceptanceRule::DomainCount {
  std::size_t known = 0;
  std::size_t live = 0;
  /// Live entries that have reported the version or a newer one for at least
  /// the lease plus the margin.
  std::size_t settled = 0;
  DomainAcceptance acceptance;
};

void AcceptanceRule::AddEntry(const ProcessId& process,
                              const FailureDomain& domain) {
  const auto [entry, added] = entries_.emplace(process, EntryRecord{});
  if (added) {
    entry->second.failure_domain = domain;
    entry->second.last_heard = leader_since_;
  }
}

bool AcceptanceRule::RecordHeartbeat(const protocol::EntryStatus& status,
                                     TimePoint now) {
  AddEntry(status.process, status.failure_domain);
  EntryRecord& entry = entries_[status.process];
  if (std::tie(status.incarnation, status.heartbeat) <=
      std::tie(entry.incarnation, entry.heartbeat)) {
    return false;
  }
  if (status.incarnation != entry.incarnation) {
    entry.reports.clear();
  }
  entry.incarnation = status.incarnation;
  entry.heartbeat = status.heartbeat;
  entry.last_heard = now;
  while (!entry.reports.empty() &&
         entry.reports.back().version > status.in_force) {
    entry.reports.pop_back();
  }
  if (entry.reports.empty() || entry.reports.back().version < status.in_force) {
    entry.reports.push_back({status.in_force, now});
  }
  if (entry.reports.size() > kMaxReports) {
    entry.reports.pop_front();
  }
  return true;
}

std::vector<DomainAcceptance> AcceptanceRule::AcceptanceByDomain(
    ConfigVersion version, TimePoint now) const {
  std::map<FailureDomain, DomainCount> domains;
  for (const auto& [process, entry] : entries_) {
    DomainCount& domain = domains[entry.failure_domain];
    ++domain.known;
    if (!IsLive(entry, now)) {
      domain.acceptance.silent.push_back(process);
      continue;
    }
    ++domain.live;
    const auto reached = std::find_if(
        entry.reports.begin(), entry.reports.end(),
        [&](const VersionReport& report) { return report.version >= version; });
    if (reached == entry.reports.end()) {
      domain.acceptance.behind.push_back(process);
    } else if (now - reached->first_reported >= times_.lease + times_.margin) {
      ++domain.settled;
    }
  }
  std::vector<DomainAcceptance> result;
  for (auto& [name, domain] : domains) {
    const std::size_t majority = domain.known / 2 + 1;
    domain.acceptance.failure_domain = name;
    domain.acceptance.in_force =
        domain.acceptance.behind.empty() &&
        (domain.live == domain.known || domain.settled >= majority);
    result.push_back(std::move(domain.acceptance));
  }
  return result;
}

bool AcceptanceRule::IsAccepted(ConfigVersion version, TimePoint now) const {
  const std::vector<DomainAcceptance> domains =
      AcceptanceByDomain(version, now);
  return !domains.empty() &&
         std::all_of(domains.begin(), domains.end(),
                     [](const DomainAcceptance& d) { return d.in_force; });
}

/// An entry without a heartbeat since this process became leader counts as
/// live, and as behind, until any lease that an earlier leader confirmed has
/// certainly expired.
bool AcceptanceRule::IsLive(const EntryRecord& entry, TimePoint now) const {
  return now - std::max(entry.last_heard, leader_since_) <
         times_.lease + times_.margin;
}

}  // namespace rattanward::membership
