#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rattanward/domain/bounded_set.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::membership {

/// @brief Which requests ran where upstreams crashed, less what other evidence
/// has cleared.
/// @note Pure: no I/O. Processes that have heard the same news agree, whichever
/// order it arrived in: a witness that has been cleared stays cleared.
class CrashWitnesses {
 public:
  /// Number of witnesses kept. For a further one, the oldest of a request that
  /// is not quarantined is dropped.
  static constexpr std::size_t kMaxWitnesses = 4096;
  /// Number of upstreams that must have crashed for a request to be
  /// quarantined.
  static constexpr std::size_t kCrashLimit = 3;

  /// @return Whether the witness is new and counts.
  bool Add(const protocol::CrashWitness& witness);

  /// @brief Clears a witness, which never counts again.
  /// @return Whether this is news.
  bool Clear(const protocol::CrashWitness& witness);

  /// @brief An upstream announced its exit. The requests that it cuts had no
  /// part in it.
  /// @return The witnesses that this clears.
  std::vector<protocol::CrashWitness> RecordPlannedExit(
      const InstanceStart& upstream);

  /// @brief Whether a start announced its exit.
  bool IsPlannedExit(const InstanceStart& upstream) const {
    return planned_exits_.Contains(upstream);
  }

  /// @brief Witnesses that count against a request.
  /// @param fingerprint Hash of path, account and body.
  std::vector<protocol::CrashWitness> Against(std::uint64_t fingerprint) const;

  bool ReachesLimit(std::uint64_t fingerprint) const;

  /// @brief Whether a witness against the request has ever been cleared, as far
  /// as is remembered.
  bool HasCleared(std::uint64_t fingerprint) const;

  /// @brief All witnesses that count, oldest first.
  std::vector<protocol::CrashWitness> All() const;

  /// @brief All cleared witnesses, oldest first.
  std::vector<protocol::CrashWitness> Cleared() const;

  std::size_t size() const { return witnesses_.size(); }

 private:
  void MakeRoom();

  BoundedSet<protocol::CrashWitness> witnesses_{kMaxWitnesses};
  BoundedSet<protocol::CrashWitness> cleared_{kMaxWitnesses};
  BoundedSet<InstanceStart> planned_exits_{kMaxWitnesses};
};

}  // namespace rattanward::membership
