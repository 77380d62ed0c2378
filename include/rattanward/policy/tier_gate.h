#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/placer.h"

namespace rattanward::policy {

/// @brief Keeps less urgent requests from beginning past more urgent ones that
/// have waited too long.
/// @note Pure; made anew for each pass over the queue, which goes from the most
/// urgent to the least. A request that has waited long itself may begin all the
/// same, so that no tier starves.
class TierGate {
 public:
  /// @brief Whether a request may begin, after all those before it.
  bool MayBegin(const PlacementRequest& request, TimePoint now) const {
    const auto blocking = blocking_ranks_.find(request.service);
    return blocking == blocking_ranks_.end() ||
           request.rank <= blocking->second ||
           now - request.arrived > kStarvationTargets * request.target;
  }

  /// @brief Notes a request that could not begin.
  void RecordWaiting(const PlacementRequest& request, TimePoint now) {
    const Duration grace = request.target * kGracePercent / kWholePercent;
    if (now - request.arrived < grace) {
      return;
    }
    const auto [blocking, added] =
        blocking_ranks_.emplace(request.service, request.rank);
    if (!added) {
      blocking->second = std::min(blocking->second, request.rank);
    }
  }

 private:
  static constexpr int kWholePercent = 100;
  /// Share of its target that a request waits before others wait for it.
  static constexpr int kGracePercent = 10;
  /// Targets that a request waits before it passes more urgent ones.
  static constexpr int kStarvationTargets = 2;

  std::map<ServiceName, std::uint32_t> blocking_ranks_;
};

}  // namespace rattanward::policy
