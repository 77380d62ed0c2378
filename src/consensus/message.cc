#include "rattanward/consensus/message.h"

#include <exception>
#include <type_traits>
#include <utility>

namespace rattanward::consensus {
namespace {

/// Version of the message format.
constexpr std::uint32_t kWireVersion = 1;
constexpr std::uint32_t kMessageFields = 6;
constexpr std::size_t kMaxArrayItems = 65536;
constexpr std::size_t kMaxDepth = 8;
/// Largest accepted term or index. Leaves room for increments, so that they
/// never overflow.
constexpr std::uint64_t kMaxTermOrIndex = 1ULL << 62U;

/// @brief Decodes the alternative of MessageBody with the given index.
template <std::size_t kAlternative = 0>
MessageBody UnpackBody(std::size_t alternative, const msgpack::object& in) {
  if constexpr (kAlternative < std::variant_size_v<MessageBody>) {
    if (alternative == kAlternative) {
      return in.as<std::variant_alternative_t<kAlternative, MessageBody>>();
    }
    return UnpackBody<kAlternative + 1>(alternative, in);
  } else {
    throw msgpack::type_error();
  }
}

/// @brief Whether the entries directly follow a position, with terms that never
/// decrease and decodable memberships.
bool AreValidEntries(const std::vector<Entry>& entries, LogPosition previous) {
  for (const Entry& entry : entries) {
    if (entry.index != previous.index + 1 || entry.term < previous.term ||
        entry.type > EntryType::kMembership) {
      return false;
    }
    if (entry.type == EntryType::kMembership &&
        !DecodeMembership(entry.payload).has_value()) {
      return false;
    }
    previous = {entry.index, entry.term};
  }
  return previous.index <= kMaxTermOrIndex && previous.term <= kMaxTermOrIndex;
}

bool IsValid(const VoteRequest& body) {
  return body.candidate_term <= kMaxTermOrIndex &&
         AreValidEntries({}, body.last);
}

bool IsValid(const AppendRequest& body) {
  return body.previous.index <= kMaxTermOrIndex &&
         AreValidEntries(body.entries, body.previous);
}

bool IsValid(const SnapshotChunk& body) {
  return AreValidEntries({}, body.last) && VoterCount(body.membership) > 0 &&
         body.offset <= body.total &&
         body.data.size() <= body.total - body.offset;
}

/// @brief Accepts every response. The leader or candidate checks responses
/// against its own state.
template <class Response>
bool IsValid(const Response& /*body*/) {
  return true;
}

Result<Message> Unpack(const msgpack::object& in) {
  if (in.type != msgpack::type::ARRAY || in.via.array.size != kMessageFields) {
    return MakeError(ErrorCode::kMalformedMessage,
                     "consensus message is not an array of 6 fields");
  }
  const msgpack::object* fields = in.via.array.ptr;
  if (fields[0].as<std::uint32_t>() != kWireVersion) {
    return MakeError(ErrorCode::kUnknownProtocol,
                     "unsupported version of a consensus message; expected 1");
  }
  Message message;
  message.from = fields[1].as<VoterId>();
  message.to = fields[2].as<VoterId>();
  message.term = fields[3].as<Term>();
  message.body = UnpackBody(fields[4].as<std::size_t>(), fields[5]);
  const bool valid =
      std::visit([](const auto& body) { return IsValid(body); }, message.body);
  if (!valid || message.term > kMaxTermOrIndex) {
    return MakeError(ErrorCode::kMalformedMessage,
                     "consensus message has inconsistent fields");
  }
  return message;
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kMessageFields);
  packer.pack(kWireVersion);
  packer.pack(message.from);
  packer.pack(message.to);
  packer.pack(message.term);
  packer.pack(message.body.index());
  std::visit([&packer](const auto& body) { packer.pack(body); }, message.body);
  return {buffer.data(), buffer.size()};
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return MakeError(ErrorCode::kFrameTooLarge,
                     "consensus message of " + std::to_string(bytes.size()) +
                         " bytes exceeds the limit of " +
                         std::to_string(kMaxMessageBytes));
  }
  try {
    const msgpack::unpack_limit limit(kMaxArrayItems, 0, kMaxMessageBytes, 0, 0,
                                      kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return Unpack(handle.get());
  } catch (const std::exception& error) {
    return MakeError(
        ErrorCode::kMalformedMessage,
        std::string("malformed consensus message: ") + error.what());
  }
}

}  // namespace rattanward::consensus
