#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief A segment of a prompt. Requests whose prompts begin with the same
/// parts share the prefix cache of an upstream.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// @brief The properties of a request that its placement depends on.
struct PlacementRequest {
  ServiceName service;
  RouteKind kind = RouteKind::kAtMostOnce;
  /// Priority; 0 is the most urgent.
  std::uint32_t rank = 0;
  std::vector<PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  TimePoint arrived;
  /// Target for the time to the first event.
  Duration target{std::chrono::seconds(1)};
  /// Whether the pauses of its stream have the tightest target of its service.
  bool tight_pauses = false;
  /// Versions of the upstream's software that may run it; empty for any.
  std::set<std::string> versions;
  /// Whether it may be sent again after it may have run.
  bool repeatable = false;

  friend bool operator==(const PlacementRequest&,
                         const PlacementRequest&) = default;
};

/// @brief Id of the longest shared part of a prompt, which keys its prefix
/// affinity.
/// @return 0 for an empty prompt; the id of the only part if there is just one.
/// @note The last of several parts is taken to be unique to the request.
std::uint64_t PrefixKey(const PlacementRequest& request);

/// @brief Ids of the prompt parts that other requests may share: all but the
/// last, which belongs to the request itself or its session.
std::vector<std::uint64_t> SharedParts(const std::vector<PromptPart>& prompt);

/// @brief Load that one request adds to its upstream; see UpstreamLoad.
struct PlacementCharge {
  std::uint64_t pending_prefill_tokens = 0;
  std::uint64_t reserved_tokens = 0;
  /// 1 for a stream with tight pauses.
  std::uint32_t tight_streams = 0;
  /// Whether the upstream had nothing else to read when the request was sent.
  bool reads_alone = false;
  TimePoint sent_at;
  /// Whether the request tries a failing upstream.
  bool trial = false;

  friend bool operator==(const PlacementCharge&,
                         const PlacementCharge&) = default;
};

}  // namespace rattanward::policy
