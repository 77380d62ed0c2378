#include "rattanward/policy/refusal_order.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

/// Time after which a rank that had no request in the queue counts as absent.
constexpr Duration kSeenFor{std::chrono::seconds(1)};
/// Time for which less urgent requests are held before a request is refused:
/// two checks of a waiting request.
constexpr Duration kHeldFirst{std::chrono::milliseconds(200)};
/// Time after the last request that could not finish until those held may go.
constexpr Duration kHoldTime{std::chrono::milliseconds(500)};
/// Multiple of its target after which a held request counts as starving.
constexpr int kStarvingTargets = 2;
/// A service that makes a request wait for longer than half of its target has
/// no room. Shorter waits occur without a burst, behind a long prompt.
constexpr int kTargetsPerLateWait = 2;
/// Time after such a wait for which the service counts as crowded.
constexpr Duration kCrowdedFor{std::chrono::seconds(1)};
/// One starving request is sent in each such period.
constexpr Duration kStarvingPeriod{std::chrono::seconds(2)};

}  // namespace

bool RefusalOrder::MayBegin(const PlacementRequest& request, TimePoint now) {
  Service& service = services_[request.service];
  service.seen[request.rank] = now;
  if (!IsHeld(service, request.rank, now)) {
    return true;
  }
  return now - request.arrived > kStarvingTargets * request.target &&
         now >= service.next_starving_at;
}

void RefusalOrder::RecordBegun(const PlacementRequest& request, TimePoint now) {
  Service& service = services_[request.service];
  if (IsHeld(service, request.rank, now)) {
    service.next_starving_at = now + kStarvingPeriod;
  }
}

void RefusalOrder::RecordWaiting(const PlacementRequest& request,
                                 TimePoint now) {
  if (now - request.arrived > request.target / kTargetsPerLateWait) {
    services_[request.service].crowded_until = now + kCrowdedFor;
  }
}

bool RefusalOrder::MayRefuse(const PlacementRequest& request, TimePoint now) {
  Service& service = services_[request.service];
  if (now >= service.crowded_until) {
    return false;
  }
  Hold& hold = service.holds[request.rank];
  if (now >= hold.until) {
    hold.since = now;
  }
  hold.until = now + kHoldTime;
  return now - hold.since >= kHeldFirst ||
         !LessUrgentSeen(service, request.rank, now);
}

bool RefusalOrder::IsHeld(const Service& service, std::uint32_t rank,
                          TimePoint now) {
  return std::any_of(
      service.holds.begin(), service.holds.lower_bound(rank),
      [now](const auto& hold) { return now < hold.second.until; });
}

bool RefusalOrder::LessUrgentSeen(const Service& service, std::uint32_t rank,
                                  TimePoint now) {
  return std::any_of(
      service.seen.upper_bound(rank), service.seen.end(),
      [now](const auto& seen) { return now - seen.second <= kSeenFor; });
}

}  // namespace rattanward::policy
