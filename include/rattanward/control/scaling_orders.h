#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rattanward/control/duty_calls.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/scaling_plan.h"

namespace rattanward::control {

/// @brief Upstreams of one service that are there, and the orders for them that
/// are outstanding.
/// @note Pure: the time is a parameter.
class ScalingOrders {
 public:
  /// @brief Counts the upstreams of a service anew.
  void Count(const RoutedService& declared,
             const std::vector<membership::InstanceRecord>& records,
             TimePoint now);

  /// @brief The upstreams by failure domain, as last counted.
  std::vector<policy::DomainPools> Pools(TimePoint now) const;

  /// @brief What one upstream can do, as far as it is declared or registered.
  const policy::UpstreamCapacity& capacity() const { return capacity_; }

  /// @brief Whether an order for the kind and failure domain may be given now.
  /// One is given at a time in each failure domain.
  bool MayOrder(const policy::ScalingTarget& target, TimePoint now) const;

  /// @brief Records that an order is being given.
  /// @return Number to ask for: upstreams that haven't been heard from for a
  /// while are still there for the platform.
  std::uint32_t Begin(const policy::ScalingTarget& target);

  /// @brief Records how it ended.
  void End(const policy::ScalingTarget& target, DutyResult result,
           TimePoint now);

  /// @brief Forgets all orders, when this process no longer gives them.
  void Clear() { orders_.clear(); }

 private:
  struct Key {
    FailureDomain domain;
    bool spot = false;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Counted {
    std::uint32_t live = 0;
    /// Ready when last heard from, but silent since.
    std::uint32_t unheard = 0;
    std::uint32_t reclaimed = 0;
  };
  struct Order {
    std::uint32_t count = 0;
    /// Until then the order counts although its upstreams aren't there.
    std::optional<TimePoint> counts_until;
    std::optional<TimePoint> refused_until;
    std::optional<TimePoint> retry_at;
    bool under_way = false;
  };

  void DropReclaimed(const std::map<Key, Counted>& counted);
  policy::UpstreamPool PoolOf(const Key& key, TimePoint now) const;

  std::map<Key, Counted> counted_;
  std::map<Key, Order> orders_;
  policy::UpstreamCapacity capacity_;
  Duration boot_{0};
};

}  // namespace rattanward::control
