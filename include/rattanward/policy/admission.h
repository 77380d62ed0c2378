#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Requests ahead that take equally long.
struct WorkAhead {
  std::size_t requests = 0;
  Duration service_time{0};

  friend bool operator==(const WorkAhead&, const WorkAhead&) = default;
};

/// @brief Expected wait until a new request gets a place.
/// @param ahead Requests that go first, the new one included.
/// @param places Requests that this entry can have running at once.
/// @return The work ahead divided by the places.
Duration ExpectedWait(const std::vector<WorkAhead>& ahead, std::uint32_t slots);

/// @brief Expected wait of a class for a place by its floor alone.
/// @param own Requests of the class that wait, the new one included.
/// @param floor_permille The class's floor; must not be 0.
/// @param places Requests that this entry can have running at once.
/// @return The time in which the floor's share of the places does the work.
Duration ExpectedFloorWait(const WorkAhead& own, std::uint32_t floor_permille,
                           std::uint32_t slots);

/// @brief When to try again after a refusal for lack of room.
/// @param backlog Time in which the work that waits drains.
/// @return The backlog, between one second and one minute.
Duration RetryAfterBacklog(Duration backlog);

/// @brief What is known of a request's chance to begin in time.
struct DeadlineEstimate {
  TimePoint now;
  /// Moment after which an answer that has not begun is useless.
  TimePoint deadline;
  /// Expected wait for a place.
  Duration slot_wait{0};
  /// Expected wait for the first token, once it has a place.
  Duration first_token_wait{0};
};

/// @brief Checks whether a request can still begin in time.
/// @return Nothing if it can; else the final answer, with Retry-After.
/// Errors: kDeadlinePassed, kDeadlineUnattainable.
std::optional<Error> CheckDeadline(const DeadlineEstimate& estimate);

}  // namespace rattanward::policy
