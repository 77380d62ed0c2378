#include "rattanward/membership/crash_memory.h"

namespace rattanward::membership {
namespace {

/// Upstreams that one request has crashed before it is not run any more.
constexpr std::size_t kCrashesToRefuse = 3;
constexpr std::size_t kMaxFingerprints = 8192;

}  // namespace

bool CrashMemory::Note(const protocol::CrashWitness& witness) {
  if (known_.size() >= kMaxFingerprints &&
      known_.count(witness.fingerprint) == 0) {
    known_.clear();
  }
  auto& crashes = known_[witness.fingerprint];
  return crashes.insert(witness).second && crashes.size() == kCrashesToRefuse;
}

bool CrashMemory::IsCrasher(std::uint64_t fingerprint) const {
  const auto found = known_.find(fingerprint);
  return found != known_.end() && found->second.size() >= kCrashesToRefuse;
}

}  // namespace rattanward::membership
