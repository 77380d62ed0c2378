#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::load {

/// @brief Additional arrivals during a part of a run.
struct Burst {
  /// Start, relative to the start of the run.
  Duration at{0};
  Duration duration{0};
  /// Arrival rate, in addition to CallerLoad::requests_per_minute.
  std::uint32_t requests_per_minute = 0;

  friend bool operator==(const Burst&, const Burst&) = default;
};

/// @brief Load of one group of callers with the same properties.
struct CallerLoad {
  RequestClassName request_class;
  /// Bearer token that authenticates the client account.
  std::string key;
  /// Service to call; empty for chat completions.
  ServiceName service;
  /// Whether chat completions are requested as a stream.
  bool streamed = true;
  std::uint32_t requests_per_minute = 0;
  std::vector<Burst> bursts;
  /// Output lengths are lognormal with this median and 95th percentile, and
  /// are clamped to the maximum.
  std::uint32_t output_tokens_median = 1;
  std::uint32_t output_tokens_p95 = 1;
  std::uint32_t output_tokens_max = 1;
  std::uint32_t prompt_bytes = 64;
  /// Number of different prompts. A smaller number lets the engines reuse more
  /// cached prompt prefixes.
  std::uint32_t distinct_prompts = 1;
  /// Maximum time to the first token, or to the complete answer if it isn't
  /// streamed, for a request to meet its target.
  Duration first_token_target{0};

  friend bool operator==(const CallerLoad&, const CallerLoad&) = default;
};

/// @brief Open-loop load, limited in duration and number of requests.
/// @note Open loop: requests are sent at their planned times, whether earlier
/// ones have ended or not.
struct Scenario {
  std::string name;
  ModelName model;
  Duration duration{0};
  /// Requests planned earlier than this are sent, but left out of the results
  /// by class.
  Duration warmup{0};
  std::uint32_t max_requests = 0;
  std::uint64_t seed = 1;
  std::vector<CallerLoad> callers;

  friend bool operator==(const Scenario&, const Scenario&) = default;
};

/// @brief One request of a plan.
struct PlannedRequest {
  /// Send time, relative to the start of the run.
  Duration at{0};
  /// Index in Scenario::callers.
  std::size_t caller_index = 0;
  std::uint32_t output_tokens = 0;
  /// Selects one of CallerLoad::distinct_prompts prompts.
  std::uint32_t prompt_index = 0;

  friend bool operator==(const PlannedRequest&,
                         const PlannedRequest&) = default;
};

/// @brief Parses and validates a scenario.
/// @param text TOML text.
/// @param file_name File name for error messages.
/// Errors: those of adapter::ParseConfigText. Only the first error is returned.
Result<Scenario> ParseScenario(std::string_view text,
                               std::string_view file_name);

/// @brief Generates all requests of a run: Poisson arrivals with lognormal
/// output lengths.
/// @param scenario The scenario. Equal scenarios with equal seeds give equal
/// plans.
/// @return At most max_requests requests, sorted by send time.
/// Complexity: O(n log n) in the number of requests.
std::vector<PlannedRequest> PlanArrivals(const Scenario& scenario);

}  // namespace rattanward::load
