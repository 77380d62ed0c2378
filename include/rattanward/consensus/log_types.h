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

/// @brief Position of an entry in the log, starting at 1.
using LogIndex = std::uint64_t;
/// @brief Election term; 0 until the first election.
using Term = std::uint64_t;

/// @brief Kind of a log entry, which tells how to read its payload.
enum class EntryType : std::uint8_t {
  /// Empty payload; each new leader appends one at the start of its term.
  kNoOp = 0,
  /// State machine command, opaque to the log.
  kCommand = 1,
  /// Encoded Membership; takes effect when appended, before it is committed.
  kMembership = 2,
};

/// @brief Whether a member counts towards the quorum.
enum class MemberRole : std::uint8_t {
  /// Receives the log but neither votes nor counts towards the quorum.
  kLearner = 0,
  /// Votes in elections and counts towards the quorum.
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

/// @brief Index and term of an entry, which together identify it uniquely.
struct LogPosition {
  LogIndex index = 0;
  Term term = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
  MSGPACK_DEFINE(index, term)
};

/// @brief Election state that a voter must persist in addition to its log.
struct HardState {
  Term term = 0;
  /// Candidate that received this voter's vote in the term; empty if none.
  VoterId voted_for;

  friend bool operator==(const HardState&, const HardState&) = default;
  MSGPACK_DEFINE(term, voted_for)
};

/// @brief Member of the replication group.
struct Member {
  VoterId id;
  Endpoint endpoint;
  MemberRole role = MemberRole::kLearner;

  friend bool operator==(const Member&, const Member&) = default;
  MSGPACK_DEFINE(id, endpoint, role)
};

/// @brief All members of the replication group, sorted by id.
struct Membership {
  std::vector<Member> members;

  friend bool operator==(const Membership&, const Membership&) = default;
  MSGPACK_DEFINE(members)
};

/// @brief State machine state as of a log position; replaces the log up to and
/// including that position.
struct Snapshot {
  /// Last entry included in the state.
  LogPosition last;
  /// Membership in effect at `last`.
  Membership membership;
  /// Encoded state machine state, opaque to the log.
  std::string state;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
  MSGPACK_DEFINE(last, membership, state)
};

/// @brief Persistent state of one node, as stored in its data folder.
struct PersistedState {
  HardState hard_state;
  Snapshot snapshot;
  /// Contiguous; the first index is snapshot.last.index + 1.
  std::vector<Entry> entries;

  friend bool operator==(const PersistedState&,
                         const PersistedState&) = default;
};

/// @brief Looks up a member by id.
/// @return The member, or nullptr if there is none with this id.
/// Complexity: linear in the number of members.
const Member* FindMember(const Membership& membership, const VoterId& id);

/// @brief Whether the membership has a voter with this id.
bool IsVoter(const Membership& membership, const VoterId& id);

std::size_t VoterCount(const Membership& membership);

/// @brief Smallest number of voters that forms a majority.
std::size_t QuorumSize(const Membership& membership);

/// @brief Encodes a membership as the payload of a kMembership entry.
std::string EncodeMembership(const Membership& membership);

/// @brief Decodes the payload of a kMembership entry.
/// Errors: kMalformedMessage if the payload is not a valid encoding.
Result<Membership> DecodeMembership(const std::string& payload);

}  // namespace rattanward::consensus
