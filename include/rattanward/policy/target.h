#pragma once

#include <compare>
#include <string>
#include <vector>

#include "rattanward/domain/upstream.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy {

/// @brief What a request asks for: one model or one service.
struct Target {
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string name;

  friend auto operator<=>(const Target&, const Target&) = default;
};

/// @brief The target that a request asks for.
Target TargetOf(const RequestInfo& request);

/// @brief Every target that an upstream serves.
std::vector<Target> TargetsOf(const Announcement& announcement);

/// @brief The answer when no upstream of a target is known.
Error NoUpstreamError(const Target& target);

}  // namespace rattanward::policy
