#pragma once

#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/placer.h"

namespace rattanward::policy {

/// @brief Decides when requests that can't finish in time are refused: none
/// while its service has room, and none in favour of less urgent ones of its
/// service, which are held first.
/// @note Performs no I/O and reads no clock. Sees the requests of one entry in
/// the order of its queue, the most urgent first.
class RefusalOrder {
 public:
  /// @brief Whether a request may be sent, given that more urgent ones of its
  /// service could not finish in time.
  /// @note While requests are held, one that has waited for a multiple of its
  /// target may be sent now and then, so that no rank starves.
  bool MayBegin(const PlacementRequest& request, TimePoint now);

  /// @brief Records that a request is sent.
  void RecordBegun(const PlacementRequest& request, TimePoint now);

  /// @brief Records that a request was not sent and goes on waiting.
  void RecordWaiting(const PlacementRequest& request, TimePoint now);

  /// @brief Whether a request that can't finish in time may be refused. If not,
  /// less urgent requests are held from now on.
  /// @return True if a request of the service has lately waited for too long,
  /// and there were no less urgent ones or they have been held long enough to
  /// make room.
  bool MayRefuse(const PlacementRequest& request, TimePoint now);

 private:
  struct Hold {
    TimePoint since;
    TimePoint until;
  };
  struct Service {
    /// When a request of each rank was last in the queue.
    std::map<std::uint32_t, TimePoint> seen;
    /// By rank; each holds the less urgent ranks.
    std::map<std::uint32_t, Hold> holds;
    TimePoint next_starving_at;
    /// Until then, the service counts as crowded.
    TimePoint crowded_until;
  };

  static bool LessUrgentSeen(const Service& service, std::uint32_t rank,
                             TimePoint now);
  static bool IsHeld(const Service& service, std::uint32_t rank, TimePoint now);

  std::map<ServiceName, Service> services_;
};

}  // namespace rattanward::policy
