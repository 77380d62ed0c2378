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
    const auto held = held_.find(request.service);
    return held == held_.end() || request.rank <= held->second ||
           now - request.arrived > kFloorTargets * request.target;
  }

  /// @brief Notes a request that could not begin.
  void NoteWaiting(const PlacementRequest& request, TimePoint now) {
    const Duration patience = request.target * kPatiencePercent / kWholePercent;
    if (now - request.arrived < patience) {
      return;
    }
    const auto [held, added] = held_.emplace(request.service, request.rank);
    if (!added) {
      held->second = std::min(held->second, request.rank);
    }
  }

 private:
  static constexpr int kWholePercent = 100;
  /// Share of its target that a request waits before others wait for it.
  static constexpr int kPatiencePercent = 10;
  /// Targets that a request waits before it passes more urgent ones.
  static constexpr int kFloorTargets = 2;

  std::map<ServiceName, std::uint32_t> held_;
};

}  // namespace rattanward::policy
