#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward {

/// @brief What an upstream serves.
enum class UpstreamKind : std::uint8_t { kModelEngine, kService };

/// @brief Load that an upstream reports of itself; it lags behind.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Share of the KV cache in use, in thousandths.
  std::uint32_t cache_used_permille = 0;
  /// Requests accepted since the instance started, as of this report.
  std::uint64_t accepted_total = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// @brief What an upstream instance says of itself, to any entry.
struct Announcement {
  UpstreamId instance;
  /// Grows with each announcement of the instance; older ones are ignored.
  std::uint64_t sequence = 0;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  Endpoint endpoint;
  FailureDomain failure_domain;
  std::vector<ModelName> models;
  /// Empty for a model engine.
  ServiceName service;
  std::vector<std::string> adapters;
  std::string version;
  std::string role;
  /// Requests that it runs at once.
  std::uint32_t capacity = 0;
  LoadReport load;
  /// Set once the instance is leaving; it gets no new work.
  bool draining = false;
  /// HTTP statuses by which it declares "refused, and not run".
  std::vector<std::uint16_t> not_run_statuses;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

}  // namespace rattanward
