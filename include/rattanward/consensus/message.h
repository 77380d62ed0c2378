#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/domain/result.h"

namespace rattanward::consensus {

/// @brief Largest encoded message that DecodeMessage accepts, in bytes.
inline constexpr std::size_t kMaxMessageBytes = 12U << 20U;
/// @brief Largest payload that Propose() takes, in bytes; fits a message.
inline constexpr std::size_t kMaxPayloadBytes = 8U << 20U;

/// @brief Asks for a vote, or (pre_vote) whether one would be given.
struct VoteRequest {
  bool pre_vote = false;
  /// The term that the vote is for.
  Term candidate_term = 0;
  /// The candidate's last entry.
  LogPosition last;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
  MSGPACK_DEFINE(pre_vote, candidate_term, last)
};

/// @brief Answer to a VoteRequest.
struct VoteResponse {
  bool pre_vote = false;
  Term candidate_term = 0;
  bool granted = false;

  friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
  MSGPACK_DEFINE(pre_vote, candidate_term, granted)
};

/// @brief The leader's heartbeat, with the entries that follow a position.
struct AppendRequest {
  LogPosition previous;
  std::vector<Entry> entries;
  /// Entries up to here are committed.
  LogIndex commit = 0;
  /// The leader's newest heartbeat round; echoed by the answer.
  std::uint64_t round = 0;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
  MSGPACK_DEFINE(previous, entries, commit, round)
};

/// @brief Answer to an AppendRequest.
struct AppendResponse {
  bool accepted = false;
  /// Accepted: the log equals the leader's up to here, on disk. Else: the
  /// leader should try again from here.
  LogIndex match = 0;
  std::uint64_t round = 0;

  friend bool operator==(const AppendResponse&,
                         const AppendResponse&) = default;
  MSGPACK_DEFINE(accepted, match, round)
};

/// @brief One piece of a snapshot, for a member whose entries are compacted.
struct SnapshotChunk {
  LogPosition last;
  Membership membership;
  /// Where this piece starts in the state, in bytes.
  std::uint64_t offset = 0;
  /// Bytes of the whole state.
  std::uint64_t total = 0;
  std::string data;
  std::uint64_t round = 0;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
  MSGPACK_DEFINE(last, membership, offset, total, data, round)
};

/// @brief Answer to a SnapshotChunk.
struct SnapshotResponse {
  LogPosition last;
  /// The next byte wanted.
  std::uint64_t offset = 0;
  /// The whole snapshot is installed, on disk.
  bool installed = false;
  std::uint64_t round = 0;

  friend bool operator==(const SnapshotResponse&,
                         const SnapshotResponse&) = default;
  MSGPACK_DEFINE(last, offset, installed, round)
};

using MessageBody =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 SnapshotChunk, SnapshotResponse>;

/// @brief A message between two members.
struct Message {
  VoterId from;
  /// Dropped by any node with another id, such as one on a replaced disk.
  VoterId to;
  /// The sender's term.
  Term term = 0;
  MessageBody body;

  friend bool operator==(const Message&, const Message&) = default;
};

/// @brief Encodes a message for the transport.
std::string EncodeMessage(const Message& message);

/// @brief Decodes a message from the transport.
/// @param bytes What EncodeMessage made.
/// @return The message.
/// Errors: kFrameTooLarge over kMaxMessageBytes; kUnknownProtocol for another
/// version; kMalformedMessage.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace rattanward::consensus
