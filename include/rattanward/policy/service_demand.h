#pragma once

#include <cstdint>

#include "rattanward/domain/ids.h"

namespace rattanward::policy {

/// @brief Demand for a service at one entry, or at all of them together.
struct ServiceDemand {
  ServiceName service;
  /// Requests that were sent to an upstream and have not ended.
  std::uint64_t running = 0;
  /// Requests that wait for an upstream.
  std::uint64_t waiting = 0;
  /// Prompt tokens to be read that were sent lately, a second.
  std::uint64_t prompt_tokens_per_s = 0;
  /// Upper bound of the prompt and output tokens of running requests.
  std::uint64_t reserved_tokens = 0;
  /// Rate at which an engine was lately seen to read a prompt; 0 if unknown.
  std::uint64_t read_tokens_per_s = 0;

  friend bool operator==(const ServiceDemand&, const ServiceDemand&) = default;
};

}  // namespace rattanward::policy
