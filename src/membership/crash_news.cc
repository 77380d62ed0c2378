#include "rattanward/membership/crash_news.h"

#include <cstdint>

namespace rattanward::membership {

bool IsEmpty(const protocol::CrashesTold& told) {
  return told.witnesses.empty() && told.suspicions.empty() &&
         told.cleared.empty();
}

protocol::CrashesTold CrashNews::Record(const protocol::CrashesTold& reported,
                                        TimePoint now) {
  protocol::CrashesTold news;
  for (const protocol::CrashWitness& witness : reported.cleared) {
    if (witnesses_.Clear(witness)) {
      news.cleared.push_back(witness);
    }
  }
  for (const protocol::CrashWitness& witness : reported.witnesses) {
    if (witnesses_.Add(witness)) {
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
  return {{}, parts_.KnownAgainst(parts), {}};
}

protocol::CrashesTold CrashNews::All() const {
  return {witnesses_.All(), parts_.All(), witnesses_.Cleared()};
}

}  // namespace rattanward::membership
