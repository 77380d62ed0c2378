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
/// request that has itself waited for a multiple of its target may start
/// regardless, so that no tier starves.
class TierGate {
 public:
  /// @brief Whether a request may start, given the requests recorded before it.
  bool MayBegin(const PlacementRequest& request, TimePoint now) const {
    const auto blocking = blocking_ranks_.find(request.service);
    return blocking == blocking_ranks_.end() ||
           request.rank <= blocking->second ||
           now - request.arrived > kStarvationTargets * request.target;
  }

  /// @brief Records a request that could not start.
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
  /// Share of its target that a request waits before it blocks less urgent
  /// ones.
  static constexpr int kGracePercent = 10;
  /// Multiple of its target after which a waiting request can't be blocked.
  static constexpr int kStarvationTargets = 2;

  /// Most urgent rank that has waited too long, by service.
  std::map<ServiceName, std::uint32_t> blocking_ranks_;
};

}  // namespace rattanward::policy
