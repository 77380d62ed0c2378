#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/placer.h"

namespace rattanward::policy {

/// @brief Prevents requests from starting while a more urgent request of the
/// same service has waited too long.
/// @note Performs no I/O and reads no clock. A new gate is made for each pass
/// over the queue, which runs from the most to the least urgent request. A
/// request with a much shorter prompt may start regardless: it costs the
/// waiting one little, which may wait for the engine that has its prompt
/// cached. So may a request that has itself waited for a multiple of its
/// target, so that no tier starves.
class TierGate {
 public:
  /// @brief Whether a request may start, given the requests recorded before it.
  bool MayBegin(const PlacementRequest& request, TimePoint now) const {
    const auto waiting = waiting_.find(request.service);
    if (waiting == waiting_.end() ||
        now - request.arrived > kStarvationTargets * request.target) {
      return true;
    }
    return std::none_of(waiting->second.begin(), waiting->second.end(),
                        [&](const auto& shortest) {
                          return shortest.first < request.rank &&
                                 !IsMuchShorter(request, shortest.second);
                        });
  }

  /// @brief Records a request that could not start.
  void RecordWaiting(const PlacementRequest& request, TimePoint now) {
    const Duration grace = request.target * kGracePercent / kWholePercent;
    if (now - request.arrived < grace) {
      return;
    }
    const auto [shortest, added] =
        waiting_[request.service].emplace(request.rank, request.prompt_tokens);
    if (!added) {
      shortest->second = std::min(shortest->second, request.prompt_tokens);
    }
  }

 private:
  static constexpr int kWholePercent = 100;
  /// Share of its target that a request waits before it blocks less urgent
  /// ones.
  static constexpr int kGracePercent = 10;
  /// Multiple of its target after which a waiting request can't be blocked.
  static constexpr int kStarvationTargets = 2;
  /// A prompt below this share of a waiting one is much shorter.
  static constexpr std::uint64_t kMuchShorterPercent = 67;

  static bool IsMuchShorter(const PlacementRequest& request,
                            std::uint64_t waiting_tokens) {
    return kWholePercent * std::uint64_t{request.prompt_tokens} <
           kMuchShorterPercent * waiting_tokens;
  }

  /// Prompt tokens of the shortest request that has waited too long, by service
  /// and rank.
  std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> waiting_;
};

}  // namespace rattanward::policy
