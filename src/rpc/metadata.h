#pragma once

namespace rattanward::rpc {

/// @brief Metadata key of the operator's token, sent as "Bearer TOKEN".
inline constexpr char kTokenKey[] = "authorization";
inline constexpr char kTokenPrefix[] = "Bearer ";
/// @brief Metadata key of a call that a follower passed on.
inline constexpr char kForwardedKey[] = "x-rattanward-forwarded";

}  // namespace rattanward::rpc
