#include "rattanward/membership/crash_memory.h"

namespace rattanward::membership {
namespace {

/// Number of upstream crashes after which a request is not run again.
constexpr std::size_t kCrashLimit = 3;
constexpr std::size_t kMaxFingerprints = 8192;

}  // namespace

bool CrashMemory::RecordCrash(const protocol::CrashWitness& witness) {
  if (crashes_by_request_.size() >= kMaxFingerprints &&
      crashes_by_request_.count(witness.fingerprint) == 0) {
    crashes_by_request_.clear();
  }
  auto& crashes = crashes_by_request_[witness.fingerprint];
  return crashes.insert(witness).second && crashes.size() == kCrashLimit;
}

bool CrashMemory::ReachedCrashLimit(std::uint64_t fingerprint) const {
  const auto found = crashes_by_request_.find(fingerprint);
  return found != crashes_by_request_.end() &&
         found->second.size() >= kCrashLimit;
}

}  // namespace rattanward::membership
