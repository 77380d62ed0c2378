#include "rattanward/membership/crash_news.h"

#include <cstdint>

namespace rattanward::membership {

bool IsEmpty(const protocol::CrashesTold& told) {
  return told.witnesses.empty() && told.suspicions.empty();
}

protocol::CrashesTold CrashNews::Record(const protocol::CrashesTold& reported,
                                        TimePoint now) {
  protocol::CrashesTold news;
  for (const protocol::CrashWitness& witness : reported.witnesses) {
    if (AddWitness(witness)) {
      news.witnesses.push_back(witness);
    }
  }
  for (const policy::PartSuspicion& suspicion : reported.suspicions) {
    const policy::PartSuspicion known =
        parts_.KnownAgainst({suspicion.part}).front();
    parts_.Merge(suspicion, now);
    if (policy::IsStronger(suspicion, known)) {
      news.suspicions.push_back(suspicion);
    }
  }
  return news;
}

protocol::CrashesTold CrashNews::KnownAgainst(
    const std::vector<policy::PartSuspicion>& suspicions) const {
  std::vector<std::uint64_t> parts;
  parts.reserve(suspicions.size());
  for (const policy::PartSuspicion& suspicion : suspicions) {
    parts.push_back(suspicion.part);
  }
  return {{}, parts_.KnownAgainst(parts)};
}

protocol::CrashesTold CrashNews::All() const {
  return {{witness_order_.begin(), witness_order_.end()}, parts_.All()};
}

bool CrashNews::AddWitness(const protocol::CrashWitness& witness) {
  if (!witnesses_.insert(witness).second) {
    return false;
  }
  witness_order_.push_back(witness);
  if (witness_order_.size() > kMaxWitnesses) {
    witnesses_.erase(witness_order_.front());
    witness_order_.pop_front();
  }
  return true;
}

}  // namespace rattanward::membership
