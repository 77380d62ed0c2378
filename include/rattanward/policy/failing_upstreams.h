#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Recent outcomes of the requests to one upstream, of all entries.
struct RecentOutcomes {
  /// In thousandths of a request; decay exponentially.
  std::uint64_t success_milli = 0;
  std::uint64_t failure_milli = 0;
  /// Whether the upstream is heard and this entry has a path to it.
  bool reachable = true;
  /// Whether it counts as failing now.
  bool failing = false;

  std::uint64_t total_milli() const { return success_milli + failure_milli; }
  double failure_share() const {
    return total_milli() == 0 ? 0
                              : static_cast<double>(failure_milli) /
                                    static_cast<double>(total_milli());
  }

  friend bool operator==(const RecentOutcomes&,
                         const RecentOutcomes&) = default;
};

/// @brief An upstream that begins or ceases to count as failing.
struct FailingChange {
  UpstreamId upstream;
  bool failing = false;
  std::uint64_t success_milli = 0;
  std::uint64_t failure_milli = 0;

  friend bool operator==(const FailingChange&, const FailingChange&) = default;
};

/// @brief Decides which upstreams of a service fail and get no ordinary
/// requests: a circuit breaker for each upstream.
/// @param upstreams All ready upstreams of the service.
/// @return For each upstream, whether it counts as failing. At most half of
/// them do, the worst first, and never the last reachable one. None does that
/// fails little more than the others: then the cause is not the upstream.
/// @note Answers the load of engines that answer every request with 500 while
/// they report that they are healthy; being idle, they attract requests.
/// Complexity: O(n log n).
std::vector<bool> FailingUpstreams(
    const std::vector<RecentOutcomes>& upstreams);

/// @brief Decides when a failing upstream gets a trial request: about one a
/// second over all entries.
class FailingTrials {
 public:
  /// @brief Whether this entry may send a trial now.
  /// @param upstream_hash Stable hash of the upstream's id.
  /// @param entry_hash Stable hash of this entry's process id.
  /// @param entries Number of entries.
  /// @param repeatable Whether the request may be sent again if the trial
  /// fails. Others are used only in the second half of a turn.
  bool Due(std::uint64_t upstream_hash, std::uint64_t entry_hash,
           std::size_t entries, bool repeatable, TimePoint now) const;

  /// @brief Records that a trial was sent, which ends this entry's turn.
  void RecordSend(TimePoint now);

 private:
  std::int64_t last_second_ = -1;
};

}  // namespace rattanward::policy
