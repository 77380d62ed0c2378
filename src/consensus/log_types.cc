#include "rattanward/consensus/log_types.h"

#include <algorithm>
#include <exception>

namespace rattanward::consensus {
namespace {

// Limits for decoding, which bound the memory that a malformed payload can use.
constexpr std::size_t kMaxMembers = 64;
constexpr std::size_t kMaxStringBytes = 1024;

}  // namespace

const Member* FindMember(const Membership& membership, const VoterId& id) {
  for (const Member& member : membership.members) {
    if (member.id == id) {
      return &member;
    }
  }
  return nullptr;
}

bool IsVoter(const Membership& membership, const VoterId& id) {
  const Member* member = FindMember(membership, id);
  return member != nullptr && member->role == MemberRole::kVoter;
}

std::size_t VoterCount(const Membership& membership) {
  return static_cast<std::size_t>(std::count_if(
      membership.members.begin(), membership.members.end(),
      [](const Member& member) { return member.role == MemberRole::kVoter; }));
}

std::size_t QuorumSize(const Membership& membership) {
  return VoterCount(membership) / 2 + 1;
}

std::string EncodeMembership(const Membership& membership) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, membership);
  return {buffer.data(), buffer.size()};
}

Result<Membership> DecodeMembership(const std::string& payload) {
  try {
    const msgpack::unpack_limit limit(kMaxMembers, 0, kMaxStringBytes, 0, 0, 8);
    const msgpack::object_handle handle = msgpack::unpack(
        payload.data(), payload.size(), nullptr, nullptr, limit);
    return handle.get().as<Membership>();
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kMalformedMessage,
                     std::string("malformed membership: ") + error.what());
  }
}

}  // namespace rattanward::consensus
