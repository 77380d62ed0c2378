#include <algorithm>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {

ServiceRoom Placer::RoomOf(const ServiceName& service, TimePoint now) const {
  ServiceRoom room;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return room;
  }
  for (const Instance* instance : found->second.instances) {
    if (IsUsable(*instance, now)) {
      room.slots += instance->record.slots;
      room.running += TotalLoad(*instance, now).running;
    }
  }
  return room;
}

std::uint32_t Placer::UncachedTokensAt(const UpstreamId& id,
                                       const PlacementRequest& request) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? request.prompt_tokens
                                   : UncachedTokens(found->second, request);
}

}  // namespace rattanward::policy
