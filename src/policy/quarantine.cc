#include "rattanward/policy/quarantine.h"

#include <algorithm>
#include <utility>

#include "rattanward/domain/result.h"

namespace rattanward::policy {
namespace {

/// Announcements that must follow a supposed death to take it back: some made
/// before it may still be under way.
constexpr std::uint32_t kAliveAnnouncements = 3;
/// Time that must pass as well.
constexpr Duration kAliveDelay = std::chrono::seconds(2);

bool Holds(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

Error QuarantinedError() {
  return MakeError(ErrorCode::kQuarantined,
                   "upstreams died while they ran this request", Verdict::kRan);
}

Standing Quarantine::StandingOf(std::uint64_t fingerprint) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end()) {
    return Standing::kClear;
  }
  if (IsQuarantined(it->second)) {
    return Standing::kQuarantined;
  }
  return it->second.deaths.empty() ? Standing::kClear : Standing::kSuspect;
}

void Quarantine::AddDeath(std::uint64_t fingerprint, const UpstreamId& upstream,
                          TimePoint now) {
  if (Insert(fingerprint, upstream, now)) {
    untold_.push_back(fingerprint);
  }
}

void Quarantine::FinishedWhole(std::uint64_t fingerprint) {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end() || IsQuarantined(it->second)) {
    return;
  }
  Entry& entry = it->second;
  entry.absolved.insert(entry.absolved.end(), entry.deaths.begin(),
                        entry.deaths.end());
  entry.deaths.clear();
}

void Quarantine::Heard(const UpstreamId& upstream, std::uint64_t sequence,
                       TimePoint now) {
  const auto it = supposed_deaths_.find(upstream);
  if (it == supposed_deaths_.end() || sequence <= it->second.last_sequence) {
    return;
  }
  SupposedDeath& death = it->second;
  death.last_sequence = sequence;
  ++death.announcements;
  if (death.announcements >= kAliveAnnouncements &&
      now - death.since >= kAliveDelay) {
    supposed_deaths_.erase(it);
    TakeBack(upstream);
  }
}

void Quarantine::Merge(const Suspicion& suspicion, TimePoint now) {
  for (const UpstreamId& upstream : suspicion.deaths) {
    Insert(suspicion.fingerprint, upstream, now);
  }
  const bool unnamed =
      suspicion.quarantined && suspicion.deaths.size() < kDeathsToQuarantine;
  if (unnamed && suspicion.fingerprint != 0) {
    MakeRoom();
    Entry& entry = entries_[suspicion.fingerprint];
    entry.told_quarantined = true;
    entry.updated = now;
  }
}

std::vector<Suspicion> Quarantine::TakeNew() {
  std::sort(untold_.begin(), untold_.end());
  untold_.erase(std::unique(untold_.begin(), untold_.end()), untold_.end());
  std::vector<Suspicion> told;
  for (const std::uint64_t fingerprint : std::exchange(untold_, {})) {
    const auto it = entries_.find(fingerprint);
    if (it != entries_.end() && !it->second.deaths.empty()) {
      told.push_back(
          {fingerprint, it->second.deaths, IsQuarantined(it->second)});
    }
  }
  return told;
}

std::vector<Suspicion> Quarantine::All() const {
  std::vector<Suspicion> all;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!entry.deaths.empty() || entry.told_quarantined) {
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
  entry.absolved.insert(entry.absolved.end(), entry.deaths.begin(),
                        entry.deaths.end());
  entry.deaths.clear();
  entry.told_quarantined = false;
  return true;
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(entries_, [now](const auto& item) {
    const Duration kept =
        IsQuarantined(item.second) ? kQuarantineExpiry : kSuspectExpiry;
    return now - item.second.updated > kept;
  });
  std::erase_if(supposed_deaths_, [now](const auto& item) {
    return now - item.second.since > kQuarantineExpiry;
  });
}

bool Quarantine::IsQuarantined(const Entry& entry) {
  return entry.told_quarantined || entry.deaths.size() >= kDeathsToQuarantine;
}

bool Quarantine::Insert(std::uint64_t fingerprint, const UpstreamId& upstream,
                        TimePoint now) {
  if (fingerprint == 0) {
    return false;
  }
  if (!entries_.contains(fingerprint)) {
    MakeRoom();
  }
  Entry& entry = entries_[fingerprint];
  if (Holds(entry.deaths, upstream) || Holds(entry.absolved, upstream)) {
    return false;
  }
  entry.deaths.push_back(upstream);
  entry.updated = now;
  supposed_deaths_.try_emplace(upstream, SupposedDeath{now, 0, 0});
  return true;
}

void Quarantine::TakeBack(const UpstreamId& upstream) {
  for (auto& [fingerprint, entry] : entries_) {
    std::erase(entry.deaths, upstream);
  }
}

void Quarantine::MakeRoom() {
  if (entries_.size() < kMaxEntries) {
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
