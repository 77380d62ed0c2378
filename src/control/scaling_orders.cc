#include "rattanward/control/scaling_orders.h"

#include <algorithm>
#include <utility>

namespace rattanward::control {
namespace {

using membership::InstanceRecord;
using membership::InstanceState;

/// Registration and its way to the leader, beyond the boot time.
constexpr Duration kRegistrationTime{std::chrono::seconds(3)};
/// Time after which a kind that was refused is asked for again.
constexpr Duration kRefusalTime{std::chrono::seconds(5)};
/// Time after which a call that the platform or the budget didn't take is made
/// again.
constexpr Duration kThrottleTime{std::chrono::seconds(1)};

bool IsReclaimed(const InstanceRecord& record) {
  return record.spot && record.state != InstanceState::kReady &&
         record.leaves_in > Duration::zero();
}

policy::UpstreamCapacity CapacityOf(
    const RoutedService& declared, const std::vector<InstanceRecord>& records) {
  policy::UpstreamCapacity capacity;
  if (declared.engine) {
    capacity.slots = declared.engine->slots;
    capacity.memory_tokens = declared.engine->cache_tokens;
    return capacity;
  }
  std::uint64_t slots = 0;
  std::uint64_t upstreams = 0;
  for (const InstanceRecord& record : records) {
    if (record.service == declared.name) {
      slots += record.slots;
      ++upstreams;
    }
  }
  capacity.slots =
      upstreams == 0 ? 0 : static_cast<std::uint32_t>(slots / upstreams);
  return capacity;
}

}  // namespace

void ScalingOrders::Count(const RoutedService& declared,
                          const std::vector<InstanceRecord>& records,
                          TimePoint now) {
  boot_ = declared.scaling->boot;
  capacity_ = CapacityOf(declared, records);
  std::map<Key, Counted> counted;
  for (const auto& [domain, price] : declared.scaling->prices) {
    counted[{domain, false}];
    counted[{domain, true}];
  }
  for (const InstanceRecord& record : records) {
    if (record.service != declared.name || record.failure_domain.empty()) {
      continue;
    }
    Counted& kind = counted[{record.failure_domain, record.spot}];
    if (record.state == InstanceState::kReady) {
      ++(record.silent ? kind.unheard : kind.live);
    }
    kind.reclaimed += IsReclaimed(record) ? 1 : 0;
  }
  DropReclaimed(counted);
  counted_ = std::move(counted);
  for (auto& [key, order] : orders_) {
    if (order.counts_until && now >= *order.counts_until) {
      order.counts_until.reset();
    }
  }
}

/// Where upstreams have been reclaimed since the last count, earlier orders no
/// longer tell what will be there.
void ScalingOrders::DropReclaimed(const std::map<Key, Counted>& counted) {
  for (const auto& [key, kind] : counted) {
    const auto known = counted_.find(key);
    const std::uint32_t before =
        known == counted_.end() ? 0 : known->second.reclaimed;
    const auto order = orders_.find(key);
    if (kind.reclaimed > before && order != orders_.end()) {
      order->second.counts_until.reset();
    }
  }
}

policy::UpstreamPool ScalingOrders::PoolOf(const Key& key,
                                           TimePoint now) const {
  policy::UpstreamPool pool;
  const auto counted = counted_.find(key);
  pool.live = counted == counted_.end() ? 0 : counted->second.live;
  pool.expected = pool.live;
  const auto order = orders_.find(key);
  if (order != orders_.end()) {
    const bool counts = order->second.under_way || order->second.counts_until;
    pool.expected = counts ? order->second.count : pool.live;
    pool.refused =
        order->second.refused_until && now < *order->second.refused_until;
  }
  return pool;
}

std::vector<policy::DomainPools> ScalingOrders::Pools(TimePoint now) const {
  std::map<FailureDomain, policy::DomainPools> pools;
  for (const auto& [key, counted] : counted_) {
    policy::DomainPools& pool = pools[key.domain];
    pool.domain = key.domain;
    (key.spot ? pool.spot : pool.regular) = PoolOf(key, now);
  }
  std::vector<policy::DomainPools> list;
  list.reserve(pools.size());
  for (auto& [domain, pool] : pools) {
    list.push_back(std::move(pool));
  }
  return list;
}

bool ScalingOrders::MayOrder(const policy::ScalingTarget& target,
                             TimePoint now) const {
  return std::none_of(orders_.begin(), orders_.end(), [&](const auto& item) {
    const auto& [key, order] = item;
    const bool waits = order.retry_at && now < *order.retry_at;
    return key.domain == target.domain &&
           (order.under_way || (waits && key.spot == target.spot));
  });
}

std::uint32_t ScalingOrders::Begin(const policy::ScalingTarget& target) {
  const Key key{target.domain, target.spot};
  Order& order = orders_[key];
  order.count = target.count;
  order.under_way = true;
  return target.count + counted_[key].unheard;
}

void ScalingOrders::End(const policy::ScalingTarget& target, DutyResult result,
                        TimePoint now) {
  const auto found = orders_.find({target.domain, target.spot});
  if (found == orders_.end()) {
    return;  // Cleared while it was under way.
  }
  Order& order = found->second;
  order.under_way = false;
  order.counts_until.reset();
  switch (result) {
    case DutyResult::kAccepted:
      order.counts_until = now + boot_ + kRegistrationTime;
      break;
    case DutyResult::kConflict:
      order.refused_until = now + kRefusalTime;
      order.retry_at = now + kRefusalTime;
      break;
    case DutyResult::kThrottled:
      order.retry_at = now + kThrottleTime;
      break;
    case DutyResult::kUnknown:
    case DutyResult::kNotHeld:
      break;  // Planned anew at the next tick.
  }
}

}  // namespace rattanward::control
