#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/protocol/msgpack_ids.h"

namespace rattanward::consensus {

/// @brief Position of an entry in the log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// @brief Number of a leader's term; 0 is before the first election.
using Term = std::uint64_t;

/// @brief What an entry's payload holds.
enum class EntryType : std::uint8_t {
  /// Empty; the first entry of each term.
  kNoOp = 0,
  /// A command of the state machine, opaque to the log.
  kCommand = 1,
  /// An encoded Membership, in force as soon as it is in the log.
  kMembership = 2,
};

/// @brief Whether a member counts towards the quorum.
enum class MemberRole : std::uint8_t {
  /// Receives the log, never counts.
  kLearner = 0,
  kVoter = 1,
};

}  // namespace rattanward::consensus

MSGPACK_ADD_ENUM(rattanward::consensus::EntryType)
MSGPACK_ADD_ENUM(rattanward::consensus::MemberRole)

namespace rattanward::consensus {

/// @brief One entry of the replicated log.
struct Entry {
  LogIndex index = 0;
  Term term = 0;
  EntryType type = EntryType::kNoOp;
  std::string payload;

  friend bool operator==(const Entry&, const Entry&) = default;
  MSGPACK_DEFINE(index, term, type, payload)
};

/// @brief Index and term of an entry: together they name it for good.
struct LogPosition {
  LogIndex index = 0;
  Term term = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
  MSGPACK_DEFINE(index, term)
};

/// @brief What a voter must never forget besides its log.
struct HardState {
  Term term = 0;
  /// Whom this voter chose in the term; empty if nobody.
  VoterId voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
  MSGPACK_DEFINE(term, voted_for)
};

/// @brief One member of the replicated log.
struct Member {
  VoterId id;
  Endpoint endpoint;
  MemberRole role = MemberRole::kLearner;

  friend bool operator==(const Member&, const Member&) = default;
  MSGPACK_DEFINE(id, endpoint, role)
};

/// @brief All members, sorted by id.
struct Membership {
  std::vector<Member> members;

  friend bool operator==(const Membership&, const Membership&) = default;
  MSGPACK_DEFINE(members)
};

/// @brief The state machine's state after an entry, with what replaces the log
/// up to there.
struct Snapshot {
  /// The last entry that the state includes.
  LogPosition last;
  Membership membership;
  /// Encoded state machine, opaque to the log.
  std::string state;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
  MSGPACK_DEFINE(last, membership, state)
};

/// @brief All that one data folder holds of the log.
struct PersistedState {
  HardState hard_state;
  Snapshot snapshot;
  /// Contiguous, starting at snapshot.last.index + 1.
  std::vector<Entry> entries;

  friend bool operator==(const PersistedState&,
                         const PersistedState&) = default;
};

/// @brief Looks a member up by id.
/// @param membership The membership to search.
/// @param id The member's id.
/// @return The member, or null.
/// Complexity: linear in the number of members.
const Member* FindMember(const Membership& membership, const VoterId& id);

/// @brief Whether a member exists and counts towards the quorum.
bool IsVoter(const Membership& membership, const VoterId& id);

/// @brief Number of members that count towards the quorum.
std::size_t VoterCount(const Membership& membership);

/// @brief Smallest number of voters that is a majority.
std::size_t QuorumSize(const Membership& membership);

/// @brief The membership as the payload of a kMembership entry.
std::string EncodeMembership(const Membership& membership);

/// @brief Reads the payload of a kMembership entry.
/// @param payload The encoded membership.
/// @return The membership.
/// Errors: kMalformedMessage.
Result<Membership> DecodeMembership(const std::string& payload);

}  // namespace rattanward::consensus
