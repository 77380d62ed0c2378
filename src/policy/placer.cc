#include "rattanward/policy/placer.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Time for which an unreachable upstream is avoided. Doubles with each further
/// consecutive failure, up to kMaxDoublings times.
constexpr Duration kInitialAvoidance{std::chrono::milliseconds(300)};
constexpr std::uint32_t kMaxDoublings = 4;
/// Time for which an upstream is avoided after it refused a request as full.
constexpr Duration kFullAvoidance{std::chrono::milliseconds(60)};
/// Connections to an upstream that each entry may hold even if its share is
/// smaller.
constexpr std::uint32_t kMinConnections = 4;

}  // namespace

bool Placer::HasPermittedVersion(const membership::InstanceRecord& record,
                                 const PlacementRequest& request) {
  return request.versions.empty() || request.versions.count(record.version) > 0;
}

void Placer::SetServices(const std::vector<RoutedService>& services) {
  services_.clear();
  for (const RoutedService& service : services) {
    services_[service.name].declared = service;
  }
  IndexInstances();
}

bool Placer::SetInstance(const membership::InstanceRecord& record) {
  Instance& instance = instances_[record.id];
  const bool restarted = instance.record.stamp.born != record.stamp.born;
  if (restarted) {
    instance = Instance();
    DropRemoteLoadsAt(record.id);
  }
  instance.record = record;
  instance.hash = StableHash(record.id.str());
  IndexInstances();
  return restarted;
}

void Placer::RemoveInstance(const UpstreamId& id) {
  instances_.erase(id);
  DropRemoteLoadsAt(id);
  IndexInstances();
}

void Placer::IndexInstances() {
  for (auto& [name, service] : services_) {
    service.instances.clear();
    service.limits_rejections = false;
  }
  std::map<ServiceName, std::map<FailureDomain, std::vector<Instance*>>> ready;
  for (auto& [id, instance] : instances_) {
    const auto service = services_.find(instance.record.service);
    if (service != services_.end() &&
        instance.record.state == membership::InstanceState::kReady) {
      service->second.instances.push_back(&instance);
      service->second.limits_rejections |= instance.rejection_limit > 0;
      ready[instance.record.service][instance.record.failure_domain].push_back(
          &instance);
    }
  }
  for (auto& [name, domains] : ready) {
    Service& service = services_[name];
    service.domains = 0;
    for (auto& [domain, instances] : domains) {
      NumberInstances(service.domains++, &instances);
    }
  }
}

/// Sets the domain and the positions of the instances of one failure domain,
/// the fast ones first and the failing ones last.
/// All entries find the same order, and an instance that comes or goes moves
/// the others by one place at most.
void Placer::NumberInstances(std::size_t domain,
                             std::vector<Instance*>* instances) {
  std::sort(instances->begin(), instances->end(),
            [](const Instance* a, const Instance* b) {
              const auto key = [](const Instance* instance) {
                return std::make_tuple(instance->failing,
                                       ClassOf(instance->speed), instance->hash,
                                       std::cref(instance->record.id));
              };
              return key(a) < key(b);
            });
  for (std::size_t i = 0; i < instances->size(); ++i) {
    (*instances)[i]->domain = domain;
    (*instances)[i]->position = i;
  }
}

void Placer::SetEntries(std::size_t entries) {
  entries_ = std::max<std::size_t>(entries, 1);
}

bool Placer::IsUsable(const Instance& instance, TimePoint now) const {
  return instance.record.state == membership::InstanceState::kReady &&
         !instance.path_lost && now >= instance.avoid_until &&
         MayReturn(instance, now) &&
         (!instance.limit || instance.share.Allows(now));
}

/// Whether an upstream that asked for back-off may get another request of this
/// entry.
bool Placer::MayReturn(const Instance& instance, TimePoint now) const {
  if (instance.backoff.Over(now)) {
    return true;
  }
  const double share = static_cast<double>(instance.record.slots) /
                       static_cast<double>(entries_);
  constexpr double kMaxWeight = 18446744073709551616.0;  // 2^64
  const double spread = static_cast<double>(RendezvousWeight(
                            instance.hash, options_.entry_hash)) /
                        kMaxWeight;
  return instance.backoff.Allows(instance.local_load.running, share, spread,
                                 now);
}

Duration Placer::RecordBackoff(const UpstreamId& id, Duration backoff_for,
                               TimePoint now) {
  const auto found = instances_.find(id);
  return found == instances_.end()
             ? Duration(0)
             : found->second.backoff.Ask(backoff_for, now);
}

std::size_t Placer::UpstreamsInBackoff(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [now](const auto& item) { return item.second.backoff.Active(now); }));
}

const Placer::Instance* Placer::FindBest(const PlacementRequest& request,
                                         const std::set<UpstreamId>& excluded,
                                         TimePoint now) const {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return nullptr;
  }
  const Instance* trial = FindTrial(request, service->second, excluded, now);
  if (trial != nullptr) {
    return trial;
  }
  const bool only_failing = OnlyFailingLeft(service->second, excluded);
  const bool engine = service->second.declared.engine.has_value();
  const std::uint64_t key = PrefixKey(request);
  const std::uint64_t request_tokens =
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens;
  const std::vector<const Instance*>& all = service->second.instances;
  const std::vector<std::size_t> dedicated_engines =
      engine ? DedicatedEngines(service->second, now)
             : std::vector<std::size_t>();
  // A long prompt is read anew rather than beside streams that it makes late.
  const bool cached_somewhere =
      engine &&
      std::any_of(all.begin(), all.end(), [&](const Instance* candidate) {
        return candidate->cached_parts.count(key) > 0 &&
               IsUsable(*candidate, now) && !candidate->failing &&
               (candidate->position >= dedicated_engines[candidate->domain] ||
                Disturbance(UncachedTokens(*candidate, request)) < 1);
      });
  const Instance* best = nullptr;
  double best_score = 0;
  for (const Instance* candidate : all) {
    const Instance& instance = *candidate;
    if (!IsUsable(instance, now) || (instance.failing && !only_failing) ||
        IsFull(instance, service->second, request_tokens, now) ||
        !HasPermittedVersion(instance.record, request) ||
        excluded.count(instance.record.id) > 0) {
      continue;
    }
    // Exceeds the scores in practice, so a silent upstream is the last choice.
    constexpr double kSilentPenalty = 1e7;
    const double score =
        (engine ? EngineScore(instance, request, key, cached_somewhere,
                              all.size(), now) +
                      SeparationScore(instance, request,
                                      dedicated_engines[instance.domain], now)
                : ServiceScore(instance, key, now)) +
        (instance.record.silent ? kSilentPenalty : 0.0);
    if (best == nullptr || score < best_score) {
      best = &instance;
      best_score = score;
    }
  }
  return best;
}

std::optional<UpstreamId> Placer::Choose(const PlacementRequest& request,
                                         const std::set<UpstreamId>& excluded,
                                         TimePoint now) const {
  const Instance* best = FindBest(request, excluded, now);
  if (best == nullptr || MustWait(*best, request, now)) {
    return std::nullopt;
  }
  return best->record.id;
}

bool Placer::NoneAvailable(const ServiceName& service, TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return true;
  }
  const bool only_failing = OnlyFailingLeft(found->second, {});
  return std::all_of(found->second.instances.begin(),
                     found->second.instances.end(),
                     [&](const Instance* candidate) {
                       return !IsUsable(*candidate, now) ||
                              (candidate->failing && !only_failing) ||
                              IsFull(*candidate, found->second, 0, now);
                     });
}

bool Placer::HasUpstream(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.instances.empty();
}

bool Placer::HasAlternative(const ServiceName& service,
                            const std::set<UpstreamId>& excluded) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.instances.begin(),
                     found->second.instances.end(),
                     [&](const Instance* candidate) {
                       return excluded.count(candidate->record.id) == 0;
                     });
}

bool Placer::HasAlternative(const PlacementRequest& request,
                            const std::set<UpstreamId>& excluded) const {
  const auto found = services_.find(request.service);
  return found != services_.end() &&
         std::any_of(found->second.instances.begin(),
                     found->second.instances.end(),
                     [&](const Instance* candidate) {
                       return HasPermittedVersion(candidate->record, request) &&
                              excluded.count(candidate->record.id) == 0;
                     });
}

void Placer::RecordFailure(const UpstreamId& id, bool unreachable,
                           TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  if (!unreachable) {
    instance.avoid_until = std::max(instance.avoid_until, now + kFullAvoidance);
    RecordRejection(&instance, now);
    const auto service = services_.find(instance.record.service);
    if (service != services_.end() && service->second.limits_rejections) {
      rejecting_.insert(id);
    }
    return;
  }
  const std::uint32_t doublings = std::min(instance.failures, kMaxDoublings);
  ++instance.failures;
  instance.avoid_until = now + kInitialAvoidance * (1U << doublings);
  instance.cached_parts.clear();
  instance.cached_tokens = 0;
}

void Placer::RecordAnswer(const UpstreamId& id) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    found->second.failures = 0;
  }
}

std::uint32_t Placer::ConnectionShare(const UpstreamId& id) const {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return 0;
  }
  const auto service = services_.find(found->second.record.service);
  if (service == services_.end()) {
    return 0;
  }
  const std::uint32_t all = service->second.declared.max_connections;
  return std::max(kMinConnections, all / static_cast<std::uint32_t>(entries_));
}

}  // namespace rattanward::policy
