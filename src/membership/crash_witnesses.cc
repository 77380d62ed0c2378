#include "rattanward/membership/crash_witnesses.h"

#include <algorithm>
#include <iterator>

namespace rattanward::membership {
namespace {

using protocol::CrashWitness;

/// The first witness of a request in the order of a set.
CrashWitness FirstOf(std::uint64_t fingerprint) {
  return {fingerprint, UpstreamId(), 0};
}

}  // namespace

bool CrashWitnesses::Add(const CrashWitness& witness) {
  if (cleared_.Contains(witness) ||
      IsPlannedExit({witness.upstream, witness.born}) ||
      witnesses_.Contains(witness)) {
    return false;
  }
  if (witnesses_.full()) {
    MakeRoom();
  }
  return witnesses_.Insert(witness);
}

bool CrashWitnesses::Clear(const CrashWitness& witness) {
  witnesses_.Erase(witness);
  return cleared_.Insert(witness);
}

std::vector<CrashWitness> CrashWitnesses::RecordPlannedExit(
    const InstanceStart& upstream) {
  std::vector<CrashWitness> found;
  if (!planned_exits_.Insert(upstream)) {
    return found;
  }
  std::copy_if(
      witnesses_.oldest_first().begin(), witnesses_.oldest_first().end(),
      std::back_inserter(found), [&](const CrashWitness& witness) {
        return witness.upstream == upstream.id && witness.born == upstream.born;
      });
  for (const CrashWitness& witness : found) {
    Clear(witness);
  }
  return found;
}

std::vector<CrashWitness> CrashWitnesses::Against(
    std::uint64_t fingerprint) const {
  const std::set<CrashWitness>& values = witnesses_.values();
  std::vector<CrashWitness> against;
  for (auto it = values.lower_bound(FirstOf(fingerprint));
       it != values.end() && it->fingerprint == fingerprint; ++it) {
    against.push_back(*it);
  }
  return against;
}

bool CrashWitnesses::ReachesLimit(std::uint64_t fingerprint) const {
  return Against(fingerprint).size() >= kCrashLimit;
}

bool CrashWitnesses::HasCleared(std::uint64_t fingerprint) const {
  const auto found = cleared_.values().lower_bound(FirstOf(fingerprint));
  return found != cleared_.values().end() && found->fingerprint == fingerprint;
}

std::vector<CrashWitness> CrashWitnesses::All() const {
  return {witnesses_.oldest_first().begin(), witnesses_.oldest_first().end()};
}

std::vector<CrashWitness> CrashWitnesses::Cleared() const {
  return {cleared_.oldest_first().begin(), cleared_.oldest_first().end()};
}

void CrashWitnesses::MakeRoom() {
  const std::deque<CrashWitness>& order = witnesses_.oldest_first();
  const auto found = std::find_if(
      order.begin(), order.end(),
      [this](const CrashWitness& w) { return !ReachesLimit(w.fingerprint); });
  witnesses_.Erase(CrashWitness(found == order.end() ? order.front() : *found));
}

}  // namespace rattanward::membership
