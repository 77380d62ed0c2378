#pragma once

#include <cstdint>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Time in which an upstream wants no request of this entry, and the
/// return of requests after it.
/// @note Pure: the time is a parameter. Answers the load of callers whose
/// upstreams turn requests away: after the period, the entries come back one
/// after the other, and each with few requests at first.
class BackoffPeriod {
 public:
  /// Time after the period within which the requests return.
  static constexpr Duration kReturnTime = std::chrono::seconds(2);

  /// Longest time for which an upstream can ask.
  static constexpr Duration kLongest = std::chrono::seconds(60);

  /// @brief The upstream asks for back-off. Extends the period, but never
  /// shortens it.
  /// @return Time that counts, at most kLongest.
  Duration Ask(Duration backoff_for, TimePoint now);

  /// @brief Whether the period and the time of return are over, or there was
  /// none.
  bool Over(TimePoint now) const {
    return end_ == TimePoint::min() || now >= end_ + kReturnTime;
  }

  /// @brief Whether the upstream wants no request now.
  bool Active(TimePoint now) const { return now < end_; }

  TimePoint end() const { return end_; }

  /// @brief Whether an entry may send another request.
  /// @param running Requests of this entry at the upstream.
  /// @param share Requests that are this entry's part of the slots.
  /// @param spread Number from 0 to 1 by which entries differ.
  bool Allows(std::uint32_t running, double share, double spread,
              TimePoint now) const;

 private:
  TimePoint end_ = TimePoint::min();
};

/// @brief Whether a request should wait for the end of the back-off period that
/// all its upstreams have asked for. Otherwise it is refused at once, so that
/// its caller can come back through another entry.
bool WaitsForBackoffEnd(TimePoint backoff_end, TimePoint deadline,
                        TimePoint now);

}  // namespace rattanward::policy
