#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::load {

/// @brief Extra arrivals for a part of a run.
struct Burst {
  Duration at{0};
  Duration duration{0};
  std::uint32_t requests_per_minute = 0;

  friend bool operator==(const Burst&, const Burst&) = default;
};

/// @brief One kind of caller of a scenario.
struct CallerLoad {
  RequestClassName request_class;
  /// Bearer key of its client account.
  std::string key;
  /// Empty for chat completions.
  ServiceName service;
  bool streamed = true;
  std::uint32_t requests_per_minute = 0;
  std::vector<Burst> bursts;
  std::uint32_t output_tokens_median = 1;
  std::uint32_t output_tokens_p95 = 1;
  std::uint32_t output_tokens_max = 1;
  std::uint32_t prompt_bytes = 64;
  /// Distinct starts of prompts, which engines may find in their caches.
  std::uint32_t distinct_prompts = 1;
  /// The first token (or a service's whole answer) is due after this.
  Duration first_token_target{0};

  friend bool operator==(const CallerLoad&, const CallerLoad&) = default;
};

/// @brief A load to send: open loop, bounded in time and count.
struct Scenario {
  std::string name;
  ModelName model;
  Duration duration{0};
  /// Requests that arrive before this are sent but not reported.
  Duration warmup{0};
  std::uint32_t max_requests = 0;
  std::uint64_t seed = 1;
  std::vector<CallerLoad> callers;

  friend bool operator==(const Scenario&, const Scenario&) = default;
};

/// @brief One request of a plan.
struct PlannedRequest {
  Duration at{0};
  /// Index in Scenario::callers.
  std::size_t caller_index = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t prompt_index = 0;

  friend bool operator==(const PlannedRequest&,
                         const PlannedRequest&) = default;
};

/// @brief Parses and checks a scenario.
/// @param text TOML text.
/// @param file_name Name that errors give.
/// Errors: as adapter::ParseConfigText.
Result<Scenario> ParseScenario(std::string_view text,
                               std::string_view file_name);

/// @brief Draws all arrivals: Poisson, with lognormal output lengths.
/// @param scenario The scenario; its seed fixes the plan.
/// @return At most max_requests requests in the order of arrival.
/// Complexity: n log n in the number of requests.
std::vector<PlannedRequest> PlanArrivals(const Scenario& scenario);

}  // namespace rattanward::load
