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

/// @brief A request that waits for a place on an upstream.
struct QueuedRequest {
  RequestId id;
  ClientAccountId account;
  RequestClassName request_class;
  Target target;
  TimePoint arrived;

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// @brief Whether a waiting request can run now.
enum class Eligibility : std::uint8_t {
  kEligible,
  /// This one can't, for a reason of its own; the next of its class may.
  kSkipRequest,
  /// No request of its class and target can.
  kSkipClass,
};

/// @brief Requests of one class that wait for one target.
struct ClassBacklog {
  RequestClassName request_class;
  std::size_t waiting = 0;

  friend bool operator==(const ClassBacklog&, const ClassBacklog&) = default;
};

/// @brief Waiting requests by target and class: strict tiers with floors.
/// @note docs/design/class-queue.md states the rule of order and of shedding.
class ClassQueue {
 public:
  /// @brief Asks whether a request can run; the flag says that its class's
  /// floor is due.
  using EligibilityCheck =
      std::function<Eligibility(const QueuedRequest&, bool floor_due)>;

  /// @brief Takes the declared classes; waiting requests stay.
  void SetClasses(const std::vector<RequestClass>& classes);

  /// @brief Arrival up to which a class's requests are late: their first token
  /// can't come within the class's target any more.
  using Cutoff = std::function<TimePoint(const RequestClassName&)>;

  /// @brief Adds a request in order of arrival; Shed() says what must go.
  /// @note The class must have been declared.
  void Push(const QueuedRequest& request);

  /// @brief Names the request that is shed for the room a new one needs.
  /// @param id A request that was just pushed and still waits.
  /// @param cutoff Says which requests are late.
  /// @return Nothing if there is room; the lower-tier request displaced by
  /// this one; a late one of its class; or this request itself. The request
  /// named is removed.
  /// Complexity: linear in targets times classes.
  std::optional<QueuedRequest> Shed(const RequestId& id, const Cutoff& cutoff);

  /// @brief Waiting requests that hold room.
  std::size_t TotalOccupancy() const { return ComputeOccupancy().total; }

  /// @brief Removes the newest request of the account's lowest tier below one.
  /// @param account The account at its limit.
  /// @param tier Tier of the request that needs the place.
  /// @return The request removed, if there was any.
  /// Complexity: linear in the number of waiting requests.
  std::optional<QueuedRequest> DisplaceFromAccount(
      const ClientAccountId& account, Tier tier);

  /// @brief Removes and returns the request to dispatch next for a target.
  /// @param target The model or service whose upstreams have a place.
  /// @param cutoff Says which requests are late; they go last in their class.
  /// @param fits Asked for one request after another until one runs.
  /// @return Nothing if no waiting request can run.
  std::optional<QueuedRequest> PopNext(
      const Target& target, const Cutoff& cutoff,
      const EligibilityCheck& check_eligibility);

  /// @brief Removes a waiting request.
  /// @return Whether it was waiting.
  bool Remove(const RequestId& id);

  /// @brief Requests by class that go before a new one of a class, with those
  /// of the class itself that are not late.
  std::vector<ClassBacklog> BacklogAhead(const Target& target,
                                         const RequestClassName& request_class,
                                         const Cutoff& cutoff) const;

  /// @brief Targets with a waiting request.
  std::vector<Target> Targets() const;

  /// @brief Every waiting request.
  std::vector<QueuedRequest> Waiting() const;

  bool Contains(const RequestId& id) const { return locations_.contains(id); }
  std::size_t size() const { return locations_.size(); }

 private:
  struct ClassSettings {
    Tier tier;
    Duration first_token_target{0};
    std::uint32_t floor_permille = 0;
    std::size_t queue_limit = 0;
    /// Declared work of one request, in output tokens; 1 at least.
    std::uint64_t work = 1;
  };
  struct Subqueue {
    std::deque<QueuedRequest> requests;
    /// Floor earned by dispatches that passed this class over, in thousandths
    /// of a token.
    std::uint64_t credit = 0;
    /// Order in which floors became due; 0 means not due.
    std::uint64_t due_order = 0;
  };
  using ClassSubqueues = std::map<RequestClassName, Subqueue>;
  struct Occupancy {
    std::map<RequestClassName, std::size_t> by_class;
    std::size_t total = 0;
  };
  struct Candidate {
    const RequestClassName* request_class;
    bool floor_due;
  };

  std::vector<Candidate> DispatchOrder(const ClassSubqueues& subqueues,
                                       const Cutoff& cutoff) const;
  std::optional<QueuedRequest> TakeEligible(
      Subqueue* subqueue, bool floor_due, TimePoint cutoff,
      const EligibilityCheck& check_eligibility);
  std::optional<RequestId> OldestLate(const RequestClassName& request_class,
                                      TimePoint cutoff) const;
  void UpdateFloorCredits(ClassSubqueues* subqueues,
                          const RequestClassName& served);
  Occupancy ComputeOccupancy() const;
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
