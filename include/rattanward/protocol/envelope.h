#pragma once

#include <cstdint>
#include <string>

#include "rattanward/protocol/control_messages.h"

namespace rattanward::protocol {

/// @brief Version of the envelope and the messages in it.
inline constexpr std::uint16_t kProtocolVersion = 1;

/// @brief One message between two of the system's processes.
struct Envelope {
  std::uint16_t version = kProtocolVersion;
  MessageKind kind = MessageKind::kEntryStatus;
  /// Matches an answer with its call; 0 for a one-way message.
  std::uint64_t request = 0;
  /// The encoded message; see codec.h.
  std::string body;
  /// Logical clock of the sender; 0 if it keeps none.
  std::uint64_t clock = 0;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

/// @brief First frame of the connecting process.
struct Hello {
  std::uint16_t version = kProtocolVersion;
  ProcessId process;
  std::string nonce;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// @brief Answer to Hello: the listener proves that it knows the secret.
struct Challenge {
  std::uint16_t version = kProtocolVersion;
  ProcessId process;
  std::string nonce;
  std::string proof;

  friend bool operator==(const Challenge&, const Challenge&) = default;
};

/// @brief Answer to Challenge: the connecting process proves the same.
struct ChallengeAnswer {
  std::string proof;

  friend bool operator==(const ChallengeAnswer&,
                         const ChallengeAnswer&) = default;
};

}  // namespace rattanward::protocol
