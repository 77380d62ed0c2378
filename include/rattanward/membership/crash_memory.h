#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "rattanward/protocol/routing_messages.h"

namespace rattanward::membership {

/// @brief Records which requests were running when upstreams crashed, as
/// reported by all entries.
/// @note Pure: no I/O. Memory is bounded: when the limit of fingerprints is
/// reached, a new fingerprint clears all records.
class CrashMemory {
 public:
  /// @brief Records a crash; a repeated report changes nothing.
  /// @return Whether the request reached the crash limit by this report.
  bool RecordCrash(const protocol::CrashWitness& witness);

  /// @brief Whether a request has crashed so many upstreams that it must not
  /// run again.
  /// @param fingerprint Hash of path, account and body.
  bool ReachedCrashLimit(std::uint64_t fingerprint) const;

 private:
  std::unordered_map<std::uint64_t, std::set<protocol::CrashWitness>>
      crashes_by_request_;
};

}  // namespace rattanward::membership
