#include "rattanward/policy/quarantine.h"

#include <algorithm>
#include <utility>

#include "rattanward/domain/result.h"

namespace rattanward::policy {
namespace {

/// Announcements after a suspected death that retract it. More than one, since
/// announcements sent before the death may still be in transit.
constexpr std::uint32_t kAnnouncementsToRetract = 3;
/// Minimum time after a suspected death before it is retracted.
constexpr Duration kRetractDelay = std::chrono::seconds(2);

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

Error QuarantinedError() {
  return MakeError(ErrorCode::kQuarantined,
                   "request refused: upstreams died while running it",
                   Verdict::kRan);
}

QuarantineStatus Quarantine::StatusOf(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) {
    return QuarantineStatus::kClear;
  }
  if (IsQuarantined(it->second)) {
    return QuarantineStatus::kQuarantined;
  }
  return it->second.deaths.empty() ? QuarantineStatus::kClear
                                   : QuarantineStatus::kSuspect;
}

void Quarantine::AddDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                          TimePoint now) {
  if (InsertDeath(fingerprint, upstream, now)) {
    unsent_.push_back(fingerprint);
  }
}

void Quarantine::RecordCompletion(std::uint64_t fingerprint) {
  Release(fingerprint);
}

void Quarantine::RecordPlannedExit(const UpstreamId& upstream) {
  if (planned_exits_.Insert(upstream)) {
    suspected_deaths_.erase(upstream);
    RetractDeath(upstream);
  }
}

void Quarantine::RecordAnnouncement(const UpstreamId& upstream,
                                    std::uint64_t sequence, TimePoint now) {
  const auto it = suspected_deaths_.find(upstream);
  if (it == suspected_deaths_.end() || sequence <= it->second.last_sequence) {
    return;
  }
  SuspectedDeath& death = it->second;
  death.last_sequence = sequence;
  ++death.announcements;
  if (death.announcements >= kAnnouncementsToRetract &&
      now - death.since >= kRetractDelay) {
    suspected_deaths_.erase(it);
    RetractDeath(upstream);
  }
}

void Quarantine::Merge(const Suspicion& suspicion, TimePoint now) {
  for (const UpstreamId& upstream : suspicion.deaths) {
    InsertDeath(suspicion.fingerprint, upstream, now);
  }
  const bool deaths_unnamed =
      suspicion.quarantined && suspicion.deaths.size() < kDeathsToQuarantine;
  if (deaths_unnamed && suspicion.fingerprint != 0) {
    EvictIfFull();
    Entry& entry = entries_[suspicion.fingerprint];
    entry.reported_quarantined = true;
    entry.updated = now;
  }
}

std::vector<Suspicion> Quarantine::TakeUnsent() {
  std::sort(unsent_.begin(), unsent_.end());
  unsent_.erase(std::unique(unsent_.begin(), unsent_.end()), unsent_.end());
  std::vector<Suspicion> unsent;
  for (const std::uint64_t fingerprint : std::exchange(unsent_, {})) {
    const auto it = entries_.find(fingerprint);
    if (it != entries_.end() && !it->second.deaths.empty()) {
      unsent.push_back(
          {fingerprint, it->second.deaths, IsQuarantined(it->second)});
    }
  }
  return unsent;
}

std::vector<Suspicion> Quarantine::All() const {
  std::vector<Suspicion> all;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!entry.deaths.empty() || entry.reported_quarantined) {
      all.push_back({fingerprint, entry.deaths, IsQuarantined(entry)});
    }
  }
  return all;
}

bool Quarantine::Release(std::uint64_t fingerprint) {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) {
    return false;
  }
  Entry& entry = it->second;
  entry.cleared_deaths.insert(entry.cleared_deaths.end(), entry.deaths.begin(),
                              entry.deaths.end());
  entry.deaths.clear();
  entry.reported_quarantined = false;
  return true;
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Duration retention =
        IsQuarantined(item.second) ? kQuarantineExpiry : kSuspectExpiry;
    return now - item.second.updated > retention;
  });
  std::erase_if(suspected_deaths_, [now](const auto& item) {
    return now - item.second.since > kQuarantineExpiry;
  });
}

bool Quarantine::IsQuarantined(const Entry& entry) {
  return entry.reported_quarantined ||
         entry.deaths.size() >= kDeathsToQuarantine;
}

bool Quarantine::InsertDeath(std::uint64_t fingerprint,
                             const UpstreamId& upstream, TimePoint now) {
  if (fingerprint == 0 || planned_exits_.Contains(upstream)) {
    return false;
  }
  if (!entries_.contains(fingerprint)) {
    EvictIfFull();
  }
  Entry& entry = entries_[fingerprint];
  if (Contains(entry.deaths, upstream) ||
      Contains(entry.cleared_deaths, upstream)) {
    return false;
  }
  entry.deaths.push_back(upstream);
  entry.updated = now;
  suspected_deaths_.try_emplace(upstream, SuspectedDeath{now, 0, 0});
  return true;
}

void Quarantine::RetractDeath(const UpstreamId& upstream) {
  for (auto& [fingerprint, entry] : entries_) {
    std::erase(entry.deaths, upstream);
  }
}

void Quarantine::EvictIfFull() {
  if (entries_.size() < kMaxFingerprints) {
    return;
  }
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return std::pair(IsQuarantined(a.second), a.second.updated) <
               std::pair(IsQuarantined(b.second), b.second.updated);
      });
  entries_.erase(oldest);
}

}  // namespace rattanward::policy
