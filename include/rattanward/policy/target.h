#pragma once

#include <compare>
#include <string>
#include <vector>

#include "rattanward/domain/upstream.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy {

/// @brief A model or service that requests can be sent to.
struct Target {
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string name;

  friend auto operator<=>(const Target&, const Target&) = default;
};

/// @brief Returns the target of a request.
Target TargetOf(const RequestInfo& request);

/// @brief Returns all targets that an upstream announces.
std::vector<Target> TargetsOf(const Announcement& announcement);

/// @brief Returns the error for a request whose target has no available
/// upstream.
Error NoUpstreamError(const Target& target);

/// @brief Error where upstreams are in service, but this entry has no path to
/// any of them.
Error NoPathError(const Target& target);

}  // namespace rattanward::policy
