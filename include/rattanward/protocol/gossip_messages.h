#pragma once

#include <cstdint>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::protocol {

/// @brief Sign of life of an upstream, with its load; sent far more often
/// than its whole announcement.
struct UpstreamBeat {
  UpstreamId instance;
  /// Sequence of the announcement that the load comes from.
  std::uint64_t sequence = 0;
  LoadReport load;

  friend bool operator==(const UpstreamBeat&, const UpstreamBeat&) = default;
};

/// @brief Sign of life of an entry.
struct EntryBeat {
  ProcessId process;
  FailureDomain failure_domain;
  /// Grows with each start of the process.
  std::uint64_t incarnation = 0;
  /// Grows with each gossip round of the process.
  std::uint64_t counter = 0;
  /// Version that the entry runs; 0 until it has one.
  ConfigVersion in_force;

  friend bool operator==(const EntryBeat&, const EntryBeat&) = default;
};

/// @brief One push of gossip from entry to entry.
struct GossipMessage {
  ProcessId from;
  std::vector<EntryBeat> entries;
  std::vector<Announcement> announcements;
  std::vector<UpstreamBeat> beats;
  std::vector<policy::Suspicion> suspicions;
  /// Version that the sender runs, so that the receiver can fetch it there.
  ConfigVersion in_force;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

/// @brief Entry to each other entry, at once when an upstream has died; the
/// answer, without content, says that the suspicions are heeded.
struct SuspicionsTold {
  std::vector<policy::Suspicion> suspicions;
  std::vector<policy::PartSuspicion> parts;
  /// Limits that upstreams named in answers to the sender, or that it was told.
  std::vector<UpstreamLimit> limits;

  friend bool operator==(const SuspicionsTold&,
                         const SuspicionsTold&) = default;
};

}  // namespace rattanward::protocol
