#include <algorithm>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {
namespace {

/// Part of an engine's memory that requests may need at the same time.
constexpr double kUsedMemory = 0.9;

}  // namespace

void Placer::SetRejectionLimit(const UpstreamId& id, std::uint32_t rejections,
                               TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  found->second.rejection_limit = rejections;
  IndexInstances();
  UpdateRoomParts(now);
}

void Placer::RecordStart(const UpstreamId& id, TimePoint now) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    found->second.room.RecordStart(now);
  }
}

void Placer::SetRoomShare(const RoomShare& share, TimePoint confirmed_at,
                          TimePoint now) {
  if (share.entries > 0) {
    room_share_ = share;
    room_share_confirmed_at_ = std::max(room_share_confirmed_at_, confirmed_at);
  }
  UpdateRoomParts(now);
}

/// Parts are kept up for all upstreams, so that they are there when the first
/// names a rejection limit. All entries find the same order of upstreams.
void Placer::UpdateRoomParts(TimePoint now) {
  const bool confirmed = now - room_share_confirmed_at_ < kLimitShareLease;
  std::map<ServiceName, std::uint32_t> first;
  for (auto& [id, instance] : instances_) {
    if (instance.record.state != membership::InstanceState::kReady) {
      continue;
    }
    const std::uint32_t slots = instance.record.slots;
    std::uint32_t& begin = first[instance.record.service];
    instance.room.SetWanted(RoomPartOf(slots, begin, room_share_, confirmed),
                            now);
    begin = NextFirst(slots, begin, room_share_);
  }
}

std::size_t Placer::UpstreamsWithRejectionLimit() const {
  return static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [](const auto& item) { return item.second.rejection_limit > 0; }));
}

void Placer::RecordRejection(Instance* instance, TimePoint now) const {
  const auto service = services_.find(instance->record.service);
  if (service != services_.end() && service->second.limits_rejections) {
    instance->room.RecordRejection(now);
  }
}

/// Whether another request might be rejected.
bool Placer::ExceedsRoom(const Instance& instance, const Service& service,
                         std::uint64_t request_tokens, TimePoint now) const {
  if (instance.local_load.running >= instance.room.Allowed(now)) {
    return true;
  }
  const UpstreamLoad total = TotalLoad(instance, now);
  if (!service.declared.engine || total.running == 0) {
    return total.running >= std::max(instance.record.slots, 1U);
  }
  return ExceedsMemory(total, service, request_tokens);
}

/// Whether an engine might need more memory than it has with another request. A
/// request that is alone at its engine fits, whatever others have reserved
/// there.
bool Placer::ExceedsMemory(const UpstreamLoad& total, const Service& service,
                           std::uint64_t request_tokens) {
  if (!service.declared.engine || total.running == 0) {
    return false;
  }
  const double memory =
      kUsedMemory * static_cast<double>(service.declared.engine->cache_tokens);
  return static_cast<double>(total.reserved_tokens + request_tokens) > memory;
}

}  // namespace rattanward::policy
