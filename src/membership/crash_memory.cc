#include "rattanward/membership/crash_memory.h"

#include <algorithm>

namespace rattanward::membership {

using protocol::CrashWitness;

void CrashMemory::RecordCrash(const CrashWitness& witness, TimePoint now) {
  const bool answered = IsAnswered(witness.fingerprint, now);
  if (!witnesses_.Add(witness)) {
    return;
  }
  if (answered) {
    Clear(witness.fingerprint, now);
  } else {
    Update(witness.fingerprint, now);
  }
}

void CrashMemory::RecordCleared(const CrashWitness& witness, TimePoint now) {
  if (witnesses_.Clear(witness)) {
    Update(witness.fingerprint, now);
  }
}

void CrashMemory::RecordPlannedExit(const InstanceStart& upstream,
                                    TimePoint now) {
  for (const CrashWitness& cleared : witnesses_.RecordPlannedExit(upstream)) {
    newly_cleared_.push_back(cleared);
    Update(cleared.fingerprint, now);
  }
}

void CrashMemory::RecordAnswer(std::uint64_t fingerprint, TimePoint now) {
  Clear(fingerprint, now);
  RememberAnswer(fingerprint, now);
}

bool CrashMemory::MayTry(std::uint64_t fingerprint,
                         const policy::RoomShare& place, TimePoint now) const {
  const auto found = quarantined_.find(fingerprint);
  if (found == quarantined_.end() || place.entries == 0 ||
      fingerprint % place.entries != place.index) {
    return false;
  }
  const std::uint32_t trials = TrialsOf(fingerprint);
  const Duration wait = trials == 0 ? kFirstTrialAfter : kSecondTrialAfter;
  return trials < kMaxTrials && now - found->second.changed_at >= wait;
}

void CrashMemory::RecordTrial(std::uint64_t fingerprint, TimePoint now) {
  const auto found = quarantined_.find(fingerprint);
  if (found != quarantined_.end()) {
    found->second.changed_at = now;
    ++found->second.trials;
  }
}

void CrashMemory::Expire(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [fingerprint, state] : quarantined_) {
    if (now - state.changed_at > kRetention) {
      expired.push_back(fingerprint);
    }
  }
  for (const std::uint64_t fingerprint : expired) {
    Clear(fingerprint, now);
  }
}

std::vector<QuarantineChange> CrashMemory::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<CrashWitness> CrashMemory::TakeCleared() {
  return std::exchange(newly_cleared_, {});
}

/// Follows what counts against a request after news of it.
void CrashMemory::Update(std::uint64_t fingerprint, TimePoint now) {
  if (!witnesses_.ReachesLimit(fingerprint)) {
    if (quarantined_.erase(fingerprint) > 0) {
      changes_.push_back({fingerprint, false});
    }
    return;
  }
  const auto [state, added] = quarantined_.try_emplace(fingerprint);
  state->second.changed_at = now;
  if (added) {
    changes_.push_back({fingerprint, true});
  }
}

void CrashMemory::Clear(std::uint64_t fingerprint, TimePoint now) {
  const std::vector<CrashWitness> against = witnesses_.Against(fingerprint);
  for (const CrashWitness& witness : against) {
    witnesses_.Clear(witness);
    newly_cleared_.push_back(witness);
  }
  if (!against.empty()) {
    Update(fingerprint, now);
  }
}

/// Whether an answer shows that the request did not cause a crash of which
/// there is news now. One before the crash shows that once only, since
/// upstreams may change.
bool CrashMemory::IsAnswered(std::uint64_t fingerprint, TimePoint now) const {
  const auto found = answered_at_.find(fingerprint);
  if (found == answered_at_.end()) {
    return false;
  }
  const bool first = !witnesses_.HasCleared(fingerprint) &&
                     witnesses_.Against(fingerprint).empty();
  return now - found->second <= (first ? kAnswerRetention : kCrashNewsTime);
}

void CrashMemory::RememberAnswer(std::uint64_t fingerprint, TimePoint now) {
  answered_at_[fingerprint] = now;
  answers_.emplace_back(now, fingerprint);
  while (answers_.size() > kMaxAnswers ||
         now - answers_.front().first > kAnswerRetention) {
    const auto [time, oldest] = answers_.front();
    answers_.pop_front();
    const auto found = answered_at_.find(oldest);
    if (found != answered_at_.end() && found->second == time) {
      answered_at_.erase(found);
    }
  }
}

/// A trial that crashed an upstream is a further witness, which all entries
/// know.
std::uint32_t CrashMemory::TrialsOf(std::uint64_t fingerprint) const {
  const std::size_t crashes = witnesses_.Against(fingerprint).size();
  const auto crashed = static_cast<std::uint32_t>(
      crashes - std::min(crashes, CrashWitnesses::kCrashLimit));
  return std::max(crashed, quarantined_.at(fingerprint).trials);
}

}  // namespace rattanward::membership
