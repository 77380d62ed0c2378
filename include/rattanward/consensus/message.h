#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/domain/result.h"

namespace rattanward::consensus {

/// @brief Maximum size of an encoded message, in bytes.
inline constexpr std::size_t kMaxMessageBytes = 12U << 20U;
/// @brief Maximum payload of Node::Propose(), in bytes; fits into one message.
inline constexpr std::size_t kMaxPayloadBytes = 8U << 20U;

/// @brief Requests a vote or, if pre_vote is set, asks whether the vote would
/// be granted.
struct VoteRequest {
  bool pre_vote = false;
  /// Term for which the vote is requested.
  Term candidate_term = 0;
  /// Last entry in the candidate's log.
  LogPosition last;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
  MSGPACK_DEFINE(pre_vote, candidate_term, last)
};

/// @brief Response to a VoteRequest; repeats its pre_vote and candidate_term.
struct VoteResponse {
  bool pre_vote = false;
  Term candidate_term = 0;
  bool granted = false;

  friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
  MSGPACK_DEFINE(pre_vote, candidate_term, granted)
};

/// @brief Heartbeat of the leader with any log entries that follow `previous`.
struct AppendRequest {
  /// Position of the entry directly before `entries`; the receiver's log must
  /// contain it.
  LogPosition previous;
  std::vector<Entry> entries;
  /// Commit index of the leader.
  LogIndex commit = 0;
  /// Number of the leader's latest heartbeat round; the response repeats it.
  std::uint64_t round = 0;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
  MSGPACK_DEFINE(previous, entries, commit, round)
};

/// @brief Response to an AppendRequest.
struct AppendResponse {
  bool accepted = false;
  /// If accepted, the index up to which the synced log matches the leader's.
  /// Otherwise the `previous` index with which the leader should retry.
  LogIndex match = 0;
  /// Copied from the request.
  std::uint64_t round = 0;

  friend bool operator==(const AppendResponse&,
                         const AppendResponse&) = default;
  MSGPACK_DEFINE(accepted, match, round)
};

/// @brief Part of a snapshot, sent to a member that needs entries which the
/// leader has already compacted.
struct SnapshotChunk {
  /// Last entry included in the snapshot.
  LogPosition last;
  /// Membership in effect at `last`.
  Membership membership;
  /// Offset of `data` within the state, in bytes.
  std::uint64_t offset = 0;
  /// Size of the complete state, in bytes.
  std::uint64_t total = 0;
  std::string data;
  /// Number of the leader's latest heartbeat round; the response repeats it.
  std::uint64_t round = 0;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
  MSGPACK_DEFINE(last, membership, offset, total, data, round)
};

/// @brief Response to a SnapshotChunk.
struct SnapshotResponse {
  /// Copied from the chunk; identifies the snapshot.
  LogPosition last;
  /// Offset of the next chunk to send, in bytes.
  std::uint64_t offset = 0;
  /// Whether the complete snapshot is installed and synced.
  bool installed = false;
  /// Copied from the chunk.
  std::uint64_t round = 0;

  friend bool operator==(const SnapshotResponse&,
                         const SnapshotResponse&) = default;
  MSGPACK_DEFINE(last, offset, installed, round)
};

/// @brief Body of a Message; the index of the alternative is sent on the wire.
using MessageBody =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 SnapshotChunk, SnapshotResponse>;

/// @brief Message between two members.
struct Message {
  VoterId from;
  /// Recipient. A node with a different id drops the message, for example after
  /// its disk was replaced.
  VoterId to;
  /// Current term of the sender.
  Term term = 0;
  MessageBody body;

  friend bool operator==(const Message&, const Message&) = default;
};

/// @brief Encodes a message for transport.
std::string EncodeMessage(const Message& message);

/// @brief Decodes a message and checks its consistency.
/// @param bytes Output of EncodeMessage().
/// Errors: kFrameTooLarge if larger than kMaxMessageBytes; kUnknownProtocol if
/// the format version is unsupported; kMalformedMessage for any other invalid
/// input.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace rattanward::consensus
