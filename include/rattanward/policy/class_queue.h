#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief A request that waits for a slot on an upstream.
struct QueuedRequest {
  RequestId id;
  ClientAccountId account;
  RequestClassName request_class;
  Target target;
  TimePoint arrived;

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// @brief Whether a waiting request can start now.
enum class Eligibility : std::uint8_t {
  kEligible,
  /// This request can't start, but another one of its class may.
  kSkipRequest,
  /// No request of this class and target can start.
  kSkipClass,
};

/// @brief Number of requests of one class that wait for one target.
struct ClassBacklog {
  RequestClassName request_class;
  std::size_t waiting = 0;

  friend bool operator==(const ClassBacklog&, const ClassBacklog&) = default;
};

/// @brief Priority queue of waiting requests, by target and class: strict
/// tiers, with a guaranteed minimum share of work (floor) for some classes.
/// @note docs/design/class-queue.md specifies the dispatch order and shedding.
class ClassQueue {
 public:
  /// @brief Decides whether a request can start; floor_due means that its class
  /// is about to receive its guaranteed share.
  using EligibilityCheck =
      std::function<Eligibility(const QueuedRequest&, bool floor_due)>;

  /// @brief Sets the declared classes; waiting requests are kept.
  void SetClasses(const std::vector<RequestClass>& classes);

  /// @brief Latest arrival at which a request of a class is late: its first
  /// token can no longer meet the class's target.
  using Cutoff = std::function<TimePoint(const RequestClassName&)>;

  /// @brief Adds a request in order of arrival, regardless of queue limits.
  /// Call Shed() afterwards to enforce the limits.
  /// @note The class must have been declared.
  void Push(const QueuedRequest& request);

  /// @brief Enforces the queue limits after a push by removing one request.
  /// @param id A request that was just pushed and still waits.
  /// @param cutoff Determines which requests are late.
  /// @return The removed request: a lower-tier request, one of the same tier
  /// whose class exceeds its limit, a late one of the same class, or the pushed
  /// request itself. Nothing if the limits are met.
  /// Complexity: linear in targets times classes.
  std::optional<QueuedRequest> Shed(const RequestId& id, const Cutoff& cutoff);

  /// @brief Returns the number of waiting requests that count towards the queue
  /// limits.
  /// @note For each target, the oldest request of a class with a floor does not
  /// count.
  std::size_t TotalOccupancy() const { return ComputeOccupancy().total; }

  /// @brief Removes an account's newest waiting request of the lowest tier, if
  /// that tier is below a given one.
  /// @param account Account that has reached its limit.
  /// @param tier Tier of the request that replaces the removed one.
  /// @return The removed request, if any.
  /// Complexity: linear in the number of waiting requests.
  std::optional<QueuedRequest> DisplaceFromAccount(
      const ClientAccountId& account, Tier tier);

  /// @brief Removes and returns the request to dispatch next for a target.
  /// @param target The model or service whose requests are considered.
  /// @param cutoff Determines which requests are late; within a class they come
  /// last.
  /// @param check_eligibility Called in dispatch order until a request is
  /// eligible.
  /// @return Nothing if no waiting request is eligible.
  std::optional<QueuedRequest> PopNext(
      const Target& target, const Cutoff& cutoff,
      const EligibilityCheck& check_eligibility);

  /// @brief Removes a waiting request.
  /// @return Whether it was waiting.
  bool Remove(const RequestId& id);

  /// @brief Returns the waiting requests, counted by class, that rank at or
  /// above the tier of a class. Late requests of the class itself are left out,
  /// as a new request goes before them.
  std::vector<ClassBacklog> BacklogAhead(const Target& target,
                                         const RequestClassName& request_class,
                                         const Cutoff& cutoff) const;

  /// @brief Returns the targets that have waiting requests.
  std::vector<Target> Targets() const;

  /// @brief Returns all waiting requests.
  std::vector<QueuedRequest> Waiting() const;

  bool Contains(const RequestId& id) const { return locations_.contains(id); }
  std::size_t size() const { return locations_.size(); }

 private:
  struct ClassSettings {
    Tier tier;
    Duration first_token_target{0};
    std::uint32_t floor_permille = 0;
    std::size_t queue_limit = 0;
    /// Declared work of one request, in output tokens; at least 1.
    std::uint64_t work = 1;
  };
  struct Subqueue {
    std::deque<QueuedRequest> requests;
    /// Work owed to this class for dispatches of other classes of the target
    /// while it waited, in thousandths of a token.
    std::uint64_t credit = 0;
    /// Position in the order in which floors became due; 0 means not due.
    std::uint64_t due_order = 0;
  };
  using ClassSubqueues = std::map<RequestClassName, Subqueue>;
  /// Waiting requests that count towards the queue limits.
  struct Occupancy {
    std::map<RequestClassName, std::size_t> by_class;
    std::size_t total = 0;
  };
  struct Candidate {
    const RequestClassName* request_class;
    bool floor_due;
  };

  /// Classes in the order in which they are tried: due floors, then by tier.
  std::vector<Candidate> DispatchOrder(const ClassSubqueues& subqueues,
                                       const Cutoff& cutoff) const;
  std::optional<QueuedRequest> TakeEligible(
      Subqueue* subqueue, bool floor_due, TimePoint cutoff,
      const EligibilityCheck& check_eligibility);
  std::optional<RequestId> OldestLate(const RequestClassName& request_class,
                                      TimePoint cutoff) const;
  /// Updates the floors of a target after a request of the class was taken.
  void UpdateFloorCredits(ClassSubqueues* subqueues,
                          const RequestClassName& served);
  Occupancy ComputeOccupancy() const;
  /// Request of another class that an incoming one displaces, if any.
  std::optional<RequestId> FindVictim(const RequestClassName& incoming,
                                      const Occupancy& occupancy) const;
  std::size_t TotalLimit() const;
  QueuedRequest Take(const RequestId& id);

  std::map<RequestClassName, ClassSettings> classes_;
  std::map<Target, ClassSubqueues> by_target_;
  std::unordered_map<RequestId, std::pair<Target, RequestClassName>> locations_;
  std::uint64_t due_count_ = 0;
};

}  // namespace rattanward::policy
