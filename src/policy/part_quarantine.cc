#include "rattanward/policy/part_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanward::policy {
namespace {

std::uint32_t CrashLimit(const PartSuspicion& suspicion) {
  return suspicion.clearances == 0 ? PartQuarantine::kCrashLimit
                                   : PartQuarantine::kClearedCrashLimit;
}

/// Whether one more crash, or none, is missing for the limit. The crashes of
/// requests that run at the same time as a crashing one put the parts that they
/// share one ahead at times.
bool IsNearLimit(const PartSuspicion& suspicion) {
  return suspicion.crashes + 1 >= CrashLimit(suspicion);
}

/// If parts reach their limit by a crash, quarantines one of those near it,
/// since one is enough to stop such requests: that with the fewest clearances,
/// and the last of these. Later parts are shared by fewer requests.
void QuarantineOne(std::vector<PartSuspicion>* raised) {
  if (std::none_of(raised->begin(), raised->end(),
                   &PartQuarantine::ReachesLimit)) {
    return;
  }
  const PartSuspicion* best = nullptr;
  for (const PartSuspicion& candidate : *raised) {
    if (IsNearLimit(candidate) &&
        (best == nullptr || candidate.clearances <= best->clearances)) {
      best = &candidate;
    }
  }
  PartSuspicion quarantined = *best;
  quarantined.crashes = std::max(quarantined.crashes, CrashLimit(quarantined));
  std::erase_if(*raised, [&](const PartSuspicion& candidate) {
    return PartQuarantine::ReachesLimit(candidate) ||
           candidate.part == quarantined.part;
  });
  raised->push_back(quarantined);
}

}  // namespace

bool IsStronger(const PartSuspicion& a, const PartSuspicion& b) {
  return std::tie(a.clearances, a.crashes) > std::tie(b.clearances, b.crashes);
}

bool PartQuarantine::ReachesLimit(const PartSuspicion& suspicion) {
  return suspicion.crashes >= CrashLimit(suspicion);
}

std::vector<PartSuspicion> PartQuarantine::KnownAgainst(
    const std::vector<std::uint64_t>& parts) const {
  std::vector<PartSuspicion> known;
  known.reserve(parts.size());
  for (const std::uint64_t part : parts) {
    known.push_back(Current(part));
  }
  return known;
}

std::optional<std::uint64_t> PartQuarantine::FindQuarantined(
    const std::vector<std::uint64_t>& parts) const {
  if (quarantined_ == 0 || quarantined_ > kMaxQuarantined) {
    return std::nullopt;
  }
  const auto found = std::find_if(
      parts.begin(), parts.end(),
      [this](std::uint64_t part) { return ReachesLimit(Current(part)); });
  return found == parts.end() ? std::nullopt : std::optional(*found);
}

std::vector<PartSuspicion> PartQuarantine::RecordCrash(
    const std::vector<PartSuspicion>& known_at_send, TimePoint now) {
  std::vector<PartSuspicion> raised;
  bool explained = false;
  for (const PartSuspicion& known : known_at_send) {
    explained = explained || ReachesLimit(Current(known.part));
    PartSuspicion next = known;
    ++next.crashes;
    // A part that this crash doesn't raise may still explain it best.
    const PartSuspicion current = Current(known.part);
    raised.push_back(IsStronger(next, current) ? next : current);
  }
  if (explained) {
    return {};
  }
  QuarantineOne(&raised);
  std::vector<PartSuspicion> changed;
  for (const PartSuspicion& suspicion : raised) {
    if (Raise(suspicion, now)) {
      ClearIfAnsweredBefore(suspicion.part, now);
      changed.push_back(Current(suspicion.part));
    }
  }
  return changed;
}

std::vector<PartSuspicion> PartQuarantine::RecordSuccess(
    const std::vector<std::uint64_t>& parts, TimePoint now) {
  std::vector<PartSuspicion> changed;
  for (const std::uint64_t part : parts) {
    RecordSuccess(part, now);
    const PartSuspicion current = Current(part);
    if (current.crashes > 0) {
      Raise({part, current.clearances + 1, 0}, now);
      changed.push_back(Current(part));
    }
  }
  return changed;
}

/// A smaller pair would be replaced by the one told before, so that the part
/// counts as cleared once more.
std::vector<PartSuspicion> PartQuarantine::TakeBack(
    const std::vector<PartSuspicion>& raised, TimePoint now) {
  std::vector<PartSuspicion> changed;
  for (const PartSuspicion& suspicion : raised) {
    const bool unchanged = Current(suspicion.part) == suspicion;
    if (unchanged && suspicion.crashes > 0 &&
        Raise({suspicion.part, suspicion.clearances + 1, suspicion.crashes - 1},
              now)) {
      changed.push_back(Current(suspicion.part));
    }
  }
  return changed;
}

std::optional<PartSuspicion> PartQuarantine::Merge(
    const PartSuspicion& received, TimePoint now) {
  Raise(received, now);
  ClearIfAnsweredBefore(received.part, now);
  const PartSuspicion current = Current(received.part);
  return current == received ? std::nullopt : std::optional(current);
}

std::vector<PartSuspicion> PartQuarantine::All() const {
  std::vector<PartSuspicion> all;
  all.reserve(entries_.size());
  for (const auto& [part, entry] : entries_) {
    all.push_back(entry.suspicion);
  }
  return all;
}

void PartQuarantine::Expire(TimePoint now) {
  std::vector<PartSuspicion> freed;
  std::erase_if(entries_, [&](const auto& item) {
    const PartSuspicion& suspicion = item.second.suspicion;
    const bool expired = now - item.second.changed_at > kRetention;
    if (expired && ReachesLimit(suspicion)) {
      freed.push_back(
          {suspicion.part, suspicion.clearances + 1, kClearedCrashLimit - 1});
      return false;
    }
    return expired;
  });
  for (const PartSuspicion& suspicion : freed) {
    Raise(suspicion, now);
  }
  std::erase_if(successes_, [now](const auto& item) {
    return now - item.second > kSuccessRetention;
  });
}

PartSuspicion PartQuarantine::Current(std::uint64_t part) const {
  const auto found = entries_.find(part);
  return found == entries_.end() ? PartSuspicion{part, 0, 0}
                                 : found->second.suspicion;
}

/// Replaces what is known against a part if the given suspicion is stronger.
bool PartQuarantine::Raise(const PartSuspicion& suspicion, TimePoint now) {
  const PartSuspicion before = Current(suspicion.part);
  if (!IsStronger(suspicion, before)) {
    return false;
  }
  if (entries_.count(suspicion.part) == 0) {
    MakeRoom();
  }
  entries_[suspicion.part] = {suspicion, now};
  quarantined_ += ReachesLimit(suspicion) ? 1 : 0;
  quarantined_ -= ReachesLimit(before) ? 1 : 0;
  return true;
}

/// A part that upstreams have answered on lately is not the one that crashes
/// them. Once only: a part may begin to crash upstreams.
bool PartQuarantine::ClearIfAnsweredBefore(std::uint64_t part, TimePoint now) {
  const PartSuspicion current = Current(part);
  const auto success = successes_.find(part);
  const bool answered =
      success != successes_.end() && now - success->second <= kSuccessRetention;
  return answered && current.crashes > 0 && current.clearances == 0 &&
         Raise({part, 1, 0}, now);
}

void PartQuarantine::RecordSuccess(std::uint64_t part, TimePoint now) {
  if (successes_.size() < kMaxParts || successes_.count(part) > 0) {
    successes_[part] = now;
  }
}

/// Forgets the suspicion that changed longest ago, if there are too many;
/// quarantined parts last.
void PartQuarantine::MakeRoom() {
  if (entries_.size() < kMaxParts) {
    return;
  }
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return std::make_pair(ReachesLimit(a.second.suspicion),
                              a.second.changed_at) <
               std::make_pair(ReachesLimit(b.second.suspicion),
                              b.second.changed_at);
      });
  quarantined_ -= ReachesLimit(oldest->second.suspicion) ? 1 : 0;
  entries_.erase(oldest);
}

}  // namespace rattanward::policy
