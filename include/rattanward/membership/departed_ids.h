#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::membership {

/// @brief Ids of upstreams that deregistered without naming their start, where
/// no start was known that could be marked as gone.
/// @note Pure: no I/O, and the time is a parameter.
class DepartedIds {
 public:
  /// Time for which an id is kept: as late may a heartbeat be that was sent
  /// before the upstream left.
  static constexpr Duration kHold = std::chrono::seconds(10);
  /// Further ids are refused, so that those that were taken are kept.
  static constexpr std::size_t kMax = 4096;

  /// @brief Adds an id; one that is there keeps its time.
  /// @return False if there are too many others.
  bool Add(const UpstreamId& id, TimePoint now) {
    if (ids_.size() >= kMax && !Contains(id)) {
      return false;
    }
    ids_.try_emplace(id, now);
    return true;
  }

  /// @return Whether the id was there.
  bool Remove(const UpstreamId& id) { return ids_.erase(id) > 0; }

  bool Contains(const UpstreamId& id) const { return ids_.count(id) > 0; }

  void Expire(TimePoint now) {
    std::erase_if(
        ids_, [now](const auto& item) { return now - item.second > kHold; });
  }

  std::vector<UpstreamId> All() const {
    std::vector<UpstreamId> all;
    all.reserve(ids_.size());
    for (const auto& [id, since] : ids_) {
      all.push_back(id);
    }
    return all;
  }

 private:
  std::map<UpstreamId, TimePoint> ids_;
};

}  // namespace rattanward::membership
