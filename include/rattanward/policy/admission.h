#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief A group of queued requests with the same expected service time.
struct WorkAhead {
  std::size_t requests = 0;
  /// Expected time that each request occupies its slot.
  Duration service_time{0};

  friend bool operator==(const WorkAhead&, const WorkAhead&) = default;
};

/// @brief Expected wait of a new request for an upstream slot.
/// @param ahead Requests to be served first, including the new one.
/// @param slots Requests that this entry can run concurrently.
/// @return Total service time of the requests, divided by the slots.
Duration ExpectedWait(const std::vector<WorkAhead>& ahead, std::uint32_t slots);

/// @brief Expected wait for an upstream slot if a class is served only through
/// its floor.
/// @param own Waiting requests of the class, including the new one.
/// @param floor_permille The class's floor, in thousandths; must not be 0.
/// @param slots Requests that this entry can run concurrently.
/// @return Time in which the floor's share of the slots completes the work.
Duration ExpectedFloorWait(const WorkAhead& own, std::uint32_t floor_permille,
                           std::uint32_t slots);

/// @brief Retry-After value for a request refused because of overload.
/// @param backlog Expected time to process the waiting work.
/// @return The backlog, limited to between one second and one minute.
Duration RetryAfterBacklog(Duration backlog);

/// @brief Input of CheckDeadline().
struct DeadlineEstimate {
  TimePoint now;
  /// Latest time at which the answer may begin.
  TimePoint deadline;
  /// Expected wait for an upstream slot.
  Duration slot_wait{0};
  /// Expected time from getting the slot to the first token.
  Duration first_token_wait{0};
};

/// @brief Checks whether the answer can still begin before the deadline.
/// @return Nothing if it can; otherwise the error for the caller, with
/// Retry-After.
/// Errors: kDeadlinePassed, kDeadlineUnattainable.
std::optional<Error> CheckDeadline(const DeadlineEstimate& estimate);

}  // namespace rattanward::policy
