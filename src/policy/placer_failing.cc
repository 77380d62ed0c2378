#include <algorithm>
#include <utility>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {

/// Successes are told only of upstreams that fail somewhere: the share of
/// failures would be wrong without them, and they are many.
bool Placer::MustTellOutcomes(const Instance& instance) {
  constexpr std::uint64_t kFailuresMilli = 500;
  constexpr std::uint64_t kSuccessesMilli = 50;
  const UpstreamLoad& own = instance.local_load;
  return own.failure_milli > 0 ||
         (instance.remote_load.failure_milli >= kFailuresMilli &&
          own.success_milli >= kSuccessesMilli);
}

void Placer::UpdateFailing() {
  if (!options_.breaks_circuits) {
    return;
  }
  bool changed = false;
  for (const auto& [name, service] : services_) {
    changed = UpdateFailing(service) || changed;
  }
  if (changed) {
    IndexInstances();
  }
}

/// Returns whether any upstream began or ceased to count as failing.
bool Placer::UpdateFailing(const Service& service) {
  std::vector<RecentOutcomes> outcomes;
  outcomes.reserve(service.instances.size());
  for (const Instance* instance : service.instances) {
    UpstreamLoad total = instance->remote_load;
    total += instance->local_load;
    outcomes.push_back({total.success_milli, total.failure_milli,
                        !instance->path_lost && !instance->record.silent,
                        instance->failing});
  }
  const std::vector<bool> failing = FailingUpstreams(outcomes);
  bool changed = false;
  for (std::size_t i = 0; i < failing.size(); ++i) {
    if (failing[i] != outcomes[i].failing) {
      const UpstreamId& id = service.instances[i]->record.id;
      instances_.at(id).failing = failing[i];
      failing_changes_.push_back({id, failing[i], outcomes[i].success_milli,
                                  outcomes[i].failure_milli});
      changed = true;
    }
  }
  return changed;
}

std::vector<FailingChange> Placer::TakeFailingChanges() {
  return std::exchange(failing_changes_, {});
}

std::size_t Placer::UpstreamsFailing() const {
  return static_cast<std::size_t>(
      std::count_if(instances_.begin(), instances_.end(),
                    [](const auto& item) { return item.second.failing; }));
}

/// Whether only failing upstreams are left for a request. Then they are used: a
/// request that waits for a trial would mostly miss its deadline.
bool Placer::OnlyFailingLeft(const Service& service,
                             const std::set<UpstreamId>& excluded) {
  return std::all_of(service.instances.begin(), service.instances.end(),
                     [&](const Instance* instance) {
                       return instance->failing || instance->path_lost ||
                              instance->record.silent ||
                              excluded.count(instance->record.id) > 0;
                     });
}

/// Returns a failing upstream that is due for a trial with this request.
const Placer::Instance* Placer::FindTrial(const PlacementRequest& request,
                                          const Service& service,
                                          const std::set<UpstreamId>& excluded,
                                          TimePoint now) const {
  const std::uint64_t tokens =
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens;
  const auto found = std::find_if(
      service.instances.begin(), service.instances.end(),
      [&](const Instance* instance) {
        return instance->failing &&
               instance->trials.Due(instance->hash, options_.entry_hash,
                                    entries_, request.repeatable, now) &&
               IsUsable(*instance, now) &&
               !IsFull(*instance, service, tokens, now) &&
               HasPermittedVersion(instance->record, request) &&
               excluded.count(instance->record.id) == 0 &&
               !MustWait(*instance, request, now);
      });
  return found == service.instances.end() ? nullptr : *found;
}

}  // namespace rattanward::policy
