#include "rattanward/consensus/message.h"

#include <exception>
#include <type_traits>
#include <utility>

namespace rattanward::consensus {
namespace {

constexpr std::uint32_t kVersion = 1;
constexpr std::uint32_t kFields = 6;
constexpr std::size_t kMaxItems = 65536;
constexpr std::size_t kMaxDepth = 8;

/// @brief Reads the alternative with the given number.
template <std::size_t kAlternative = 0>
MessageBody UnpackBody(std::size_t number, const msgpack::object& in) {
  if constexpr (kAlternative < std::variant_size_v<MessageBody>) {
    if (number == kAlternative) {
      return in.as<std::variant_alternative_t<kAlternative, MessageBody>>();
    }
    return UnpackBody<kAlternative + 1>(number, in);
  } else {
    throw msgpack::type_error();
  }
}

bool ValidEntries(const std::vector<Entry>& entries, LogIndex previous) {
  for (const Entry& entry : entries) {
    if (entry.index != ++previous || entry.type > EntryType::kMembership) {
      return false;
    }
    if (entry.type == EntryType::kMembership &&
        !DecodeMembership(entry.payload).has_value()) {
      return false;
    }
  }
  return true;
}

bool Valid(const MessageBody& body) {
  if (const auto* append = std::get_if<AppendRequest>(&body)) {
    return ValidEntries(append->entries, append->previous.index);
  }
  return true;
}

Result<Message> Unpack(const msgpack::object& in) {
  if (in.type != msgpack::type::ARRAY || in.via.array.size != kFields) {
    return MakeError(ErrorCode::kMalformedMessage,
                     "a consensus message is not an array of 6");
  }
  const msgpack::object* fields = in.via.array.ptr;
  if (fields[0].as<std::uint32_t>() != kVersion) {
    return MakeError(ErrorCode::kUnknownProtocol,
                     "consensus message of another version; 1 is allowed");
  }
  Message message;
  message.from = fields[1].as<VoterId>();
  message.to = fields[2].as<VoterId>();
  message.term = fields[3].as<Term>();
  message.body = UnpackBody(fields[4].as<std::size_t>(), fields[5]);
  if (!Valid(message.body)) {
    return MakeError(ErrorCode::kMalformedMessage,
                     "a consensus message has inconsistent entries");
  }
  return message;
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFields);
  packer.pack(kVersion);
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
                         " bytes; at most " + std::to_string(kMaxMessageBytes));
  }
  try {
    const msgpack::unpack_limit limit(kMaxItems, 0, kMaxMessageBytes, 0, 0,
                                      kMaxDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    return Unpack(handle.get());
  } catch (const std::exception& error) {
    return MakeError(
        ErrorCode::kMalformedMessage,
        std::string("unreadable consensus message: ") + error.what());
  }
}

}  // namespace rattanward::consensus
