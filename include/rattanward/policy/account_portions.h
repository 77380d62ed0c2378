#pragma once

#include <cstdint>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::policy {

/// @brief Entry to the home of an account: what it holds and what it wants.
struct PortionRequest {
  ClientAccountId account;
  ProcessId entry;
  /// Grows with each start of the entry's process.
  std::uint64_t incarnation = 0;
  /// Grows with each request of the incarnation.
  std::uint64_t sequence = 0;
  /// Leased places that the entry may be using until it hears the grant.
  std::uint32_t held_slots = 0;
  /// Leased places that it could use.
  std::uint32_t wanted_slots = 0;
  /// Starts that it could use at once.
  std::uint32_t wanted_starts = 0;

  friend bool operator==(const PortionRequest&,
                         const PortionRequest&) = default;
};

/// @brief Home of an account to an entry, in answer to one request.
struct PortionGrant {
  ClientAccountId account;
  ProcessId entry;
  std::uint64_t incarnation = 0;
  /// Sequence of the request; the entry heeds only the answer to its latest.
  std::uint64_t sequence = 0;
  /// Leased places that are the entry's from now on.
  std::uint32_t slots = 0;
  /// Starts that the entry may spend within kStartLife of its request.
  std::uint32_t starts = 0;

  friend bool operator==(const PortionGrant&, const PortionGrant&) = default;
};

/// @brief Entries that share the account limits.
struct EntryGroup {
  /// This entry's process.
  ProcessId self;
  /// Grows with each start of this process, such as its start time.
  std::uint64_t incarnation = 0;
  /// Every entry that is declared to exist, this one included.
  std::vector<ProcessId> entries;
  /// Whether the group starts with this process, so nothing was leased before.
  bool fresh = false;

  friend bool operator==(const EntryGroup&, const EntryGroup&) = default;
};

/// @brief A portion request and the entry that it goes to.
struct AddressedRequest {
  ProcessId home;
  PortionRequest request;

  friend bool operator==(const AddressedRequest&,
                         const AddressedRequest&) = default;
};

}  // namespace rattanward::policy
