#pragma once

namespace rattanward::rpc {

/// @brief Metadata key of the operator token, sent as "Bearer TOKEN".
inline constexpr char kTokenKey[] = "authorization";
inline constexpr char kTokenPrefix[] = "Bearer ";
/// @brief Metadata key that marks a request forwarded by a follower. The
/// receiver does not forward such a request again.
inline constexpr char kForwardedKey[] = "x-rattanward-forwarded";

}  // namespace rattanward::rpc
