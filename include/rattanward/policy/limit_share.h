#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_rate.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// Time after which an entry that hears of no leader halves its shares, and a
/// leader that doesn't hear of an entry gives its shares to others.
inline constexpr Duration kLimitShareLease = std::chrono::seconds(3);

/// @brief An entry's part of the limit that a start of an upstream named.
struct LimitShare {
  UpstreamId upstream;
  std::uint64_t born = 0;
  /// Entries that share the limit evenly, this one included.
  std::uint32_t holders = 0;

  friend bool operator==(const LimitShare&, const LimitShare&) = default;
};

/// @brief Number of entries that may share a limit.
/// @note Each of them may start a request at the same moment. So they are few
/// enough for the upstream to bear that; see docs/design/upstream-signals.md.
std::size_t MaxLimitHolders(RequestRate limit);

/// @brief The entries that share the limit of an upstream.
/// @param entries All entries, in any order.
/// @return At most MaxLimitHolders(limit) of them; the same ones for the same
/// entries. One that comes or goes changes one of them at most.
/// Complexity: linear in the number of entries.
std::vector<ProcessId> ChooseLimitHolders(const UpstreamId& upstream,
                                          RequestRate limit,
                                          std::vector<ProcessId> entries);

/// @brief Paces the requests of one entry at an upstream that names a limit.
/// @note Pure: the time is a parameter. Starts empty, so that neither a restart
/// nor a share that moves from entry to entry adds a request. Answers the load
/// of callers that want more of an upstream than it takes.
class PacedShare {
 public:
  /// @brief Sets the rate from now on; 0 allows nothing.
  void SetRate(double per_second, TimePoint now);

  /// @brief Whether a request may be started now.
  bool Allows(TimePoint now) const;

  /// @brief Counts a request that is started now, whether allowed or not.
  void Take(TimePoint now);

  /// @brief Time from which a request is allowed; nothing if the rate is 0.
  std::optional<TimePoint> AllowedFrom(TimePoint now) const;

 private:
  /// Requests that may be started at once after a pause.
  double Capacity() const;
  /// Requests that may be started now; negative if too many were.
  double Available(TimePoint now) const;

  double per_second_ = 0;
  double available_ = 0;
  TimePoint updated_at_;
};

/// @brief Rate of an entry that holds a share of a limit.
/// @param holders Entries that share it, or 0 if this entry is none of them.
/// @param confirmed Whether a leader confirmed the share lately.
double ShareRate(RequestRate limit, std::uint32_t holders, bool confirmed);

}  // namespace rattanward::policy
