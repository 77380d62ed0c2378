#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

#include "rattanward/protocol/routing_messages.h"

namespace rattanward::membership {

/// @brief Which requests were running where upstreams crashed, as all entries
/// have told.
/// @note Pure; bounded: once it is full, it begins anew.
class CrashMemory {
 public:
  /// @brief Notes a crash; one that is known already changes nothing.
  /// @return Whether the request is known as a crasher from now on.
  bool RecordCrash(const protocol::CrashWitness& witness);

  /// @brief Whether a request has crashed so many upstreams that it is not run
  /// any more.
  /// @param fingerprint Hash of path, account and body.
  bool ReachedCrashLimit(std::uint64_t fingerprint) const;

 private:
  std::unordered_map<std::uint64_t, std::set<protocol::CrashWitness>>
      crashes_by_request_;
};

}  // namespace rattanward::membership
