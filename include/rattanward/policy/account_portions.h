#pragma once

#include <cstdint>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::policy {

/// @brief Request of an entry to the home of an account: the portion of the
/// account's limits that it holds and the one that it wants.
struct PortionRequest {
  ClientAccountId account;
  ProcessId entry;
  /// Increases with each start of the entry's process.
  std::uint64_t incarnation = 0;
  /// Increases with each request of the incarnation.
  std::uint64_t sequence = 0;
  /// Leased slots that the entry may be using until it receives the grant.
  std::uint32_t held_slots = 0;
  /// Leased slots that it could use.
  std::uint32_t wanted_slots = 0;
  /// Starts that it could use immediately.
  std::uint32_t wanted_starts = 0;

  friend bool operator==(const PortionRequest&,
                         const PortionRequest&) = default;
};

/// @brief Answer of the home of an account to one PortionRequest.
struct PortionGrant {
  ClientAccountId account;
  ProcessId entry;
  std::uint64_t incarnation = 0;
  /// Sequence of the request. The entry ignores answers to any but its latest.
  std::uint64_t sequence = 0;
  /// Slots leased to the entry; replaces the previous number.
  std::uint32_t slots = 0;
  /// Starts that the entry may use within kStartGrantLifetime of its request.
  std::uint32_t starts = 0;

  friend bool operator==(const PortionGrant&, const PortionGrant&) = default;
};

/// @brief Entries that share the account limits.
struct EntryGroup {
  /// This entry's process.
  ProcessId self;
  /// Increases with each start of this process; its start time, for example.
  std::uint64_t incarnation = 0;
  /// All declared entries, this one included.
  std::vector<ProcessId> entries;
  /// Whether the group is new with this process, so that no earlier lease can
  /// exist.
  bool fresh = false;

  friend bool operator==(const EntryGroup&, const EntryGroup&) = default;
};

/// @brief A portion request and its destination.
struct AddressedRequest {
  ProcessId home;
  PortionRequest request;

  friend bool operator==(const AddressedRequest&,
                         const AddressedRequest&) = default;
};

}  // namespace rattanward::policy
