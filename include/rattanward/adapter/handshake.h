#pragma once

#include <string>

#include "rattanward/protocol/envelope.h"

namespace rattanward::adapter::detail {

/// @brief Largest frame before the peer has proved the secret, in bytes.
inline constexpr std::uint32_t kMaxHandshakeFrameBytes = 1024;

/// @brief A random nonce for one handshake.
std::string MakeNonce();

/// @brief Which end makes a proof, so that neither can be reflected.
enum class HandshakeRole : std::uint8_t { kListener, kConnector };

/// @brief HMAC-SHA256 over the role and what both ends said.
std::string MakeProof(const std::string& secret, HandshakeRole role,
                      const protocol::Hello& hello,
                      const protocol::Challenge& challenge);

/// @brief Compares two proofs in constant time.
bool SameProof(const std::string& a, const std::string& b);

}  // namespace rattanward::adapter::detail
