#include <algorithm>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {

void Placer::SetPathLost(const UpstreamId& id, bool lost) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  instance.path_lost = lost;
  if (!lost) {
    instance.failures = 0;
    instance.avoid_until = TimePoint();
  }
}

/// Upstreams that control doesn't hear either are taken to be down, whatever
/// this entry's paths are.
bool Placer::ShouldRelay(const ServiceName& service, TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  std::size_t heard = 0;
  std::size_t lost = 0;
  for (const Instance* instance : found->second.instances) {
    if (!instance->record.silent) {
      ++heard;
      lost += instance->path_lost ? 1 : 0;
    }
  }
  return lost > 0 &&
         (lost == heard || (2 * lost >= heard && NoneAvailable(service, now)));
}

bool Placer::HasPath(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.instances.begin(),
                     found->second.instances.end(),
                     [](const Instance* instance) {
                       return !instance->path_lost && !instance->record.silent;
                     });
}

bool Placer::HasEngines(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.declared.engine.has_value();
}

}  // namespace rattanward::policy
