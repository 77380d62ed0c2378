#include "rattanward/policy/placer.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Work that a running request stands for, in prompt tokens: it slows the
/// reading of prompts beside it.
constexpr double kTokensPerRunning = 100;
/// Work that leaving the own failure domain stands for, in prompt tokens: a
/// fixed part, and one for each token of the prompt that crosses.
constexpr double kTokensPerDomainHop = 500;
constexpr double kHopSharePerToken = 0.06;
/// Preference among upstreams that all lack a prompt, in prompt tokens for each
/// place further down in their rendezvous order: entries that don't know of
/// each other choose alike. A share of the whole order would hardly tell
/// neighbours among many upstreams apart.
constexpr double kTokensPerPlace = 250;
/// Work that a kept token stands for when a home is chosen for a new part:
/// its requests will come again.
constexpr double kKeptShare = 0.1;
/// The allowed backlog grows by 1 for ranks 0 and 1, 2/3 for 2, half for 3.
constexpr double kRankDivisor = 2;
/// Parts placed by this entry that are remembered for the others.
constexpr std::size_t kMaxPlaced = 256;
/// Avoidance of an upstream after a failure; doubles with each one more.
constexpr Duration kFirstAvoidance{std::chrono::milliseconds(300)};
constexpr std::uint32_t kMaxDoublings = 4;
/// Avoidance after a refusal for being full.
constexpr Duration kFullAvoidance{std::chrono::milliseconds(60)};
/// Requests beyond its slots that a plain service is given.
constexpr std::uint32_t kServiceBacklog = 1;
/// Parts of prompts remembered of one upstream.
constexpr std::size_t kMaxParts = 4096;
constexpr std::uint32_t kMinConnections = 4;
/// Requests that ended lately fade by half in this time.
constexpr Duration kOutcomeHalfLife{std::chrono::seconds(3)};
constexpr std::uint64_t kOneOutcome = 1000;
/// Good ends that each upstream is given, so that one failure tells little.
constexpr double kPriorGood = 2 * kOneOutcome;

std::uint64_t Faded(std::uint64_t milli, double factor) {
  return static_cast<std::uint64_t>(static_cast<double>(milli) * factor);
}

double RendezvousRank(std::uint64_t key, std::uint64_t upstream_hash) {
  // 0 for the first choice of the key, up to 1 for the last.
  const std::uint64_t weight = RendezvousWeight(key, upstream_hash);
  return 1.0 -
         static_cast<double>(weight) /
             static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace

double FailingShare(const UpstreamLoad& load) {
  const auto bad = static_cast<double>(load.bad_milli);
  return bad / (bad + static_cast<double>(load.good_milli) + kPriorGood);
}

std::uint64_t PrefixKey(const PlacementRequest& request) {
  // The last part is the request's own, or its session's.
  const PromptPart* longest = nullptr;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    const PromptPart& part = request.prompt[i];
    if (longest == nullptr || part.tokens >= longest->tokens) {
      longest = &part;
    }
  }
  if (longest == nullptr && !request.prompt.empty()) {
    longest = &request.prompt.front();
  }
  return longest == nullptr ? 0 : longest->id;
}

void Placer::SetServices(const std::vector<RoutedService>& services) {
  services_.clear();
  for (const RoutedService& service : services) {
    services_[service.name].declared = service;
  }
  Index();
}

void Placer::SetInstance(const membership::InstanceRecord& record) {
  Instance& instance = instances_[record.id];
  const bool restarted = instance.record.stamp.born != record.stamp.born;
  if (restarted) {
    instance = Instance();
    ForgetOthersAt(record.id);
  }
  instance.record = record;
  instance.hash = StableHash(record.id.str());
  Index();
}

void Placer::RemoveInstance(const UpstreamId& id) {
  instances_.erase(id);
  ForgetOthersAt(id);
  Index();
}

void Placer::Index() {
  for (auto& [name, service] : services_) {
    service.instances.clear();
  }
  for (const auto& [id, instance] : instances_) {
    const auto service = services_.find(instance.record.service);
    if (service != services_.end() &&
        instance.record.state == membership::InstanceState::kReady) {
      service->second.instances.push_back(&instance);
    }
  }
}

void Placer::SetEntries(std::size_t all, std::size_t own_domain) {
  entries_ = std::max<std::size_t>(all, 1);
  domain_entries_ = std::max<std::size_t>(own_domain, 1);
}

void Placer::SetEntryLoad(const EntryLoad& load, TimePoint now) {
  Other& other = others_[load.entry];
  Forget(other);
  other.upstreams.clear();
  other.valid_until = now + load.valid_for;
  for (const auto& [id, told] : load.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      other.upstreams.emplace(id, told);
      found->second.others_total += told;
    }
  }
  if (options_.heed_placed) {
    for (const auto& [id, placed] : load.placed) {
      const auto found = instances_.find(id);
      if (found != instances_.end()) {
        for (const PromptPart& part : placed) {
          Keep(&found->second, part);
        }
      }
    }
  }
  std::erase_if(others_, [&](const auto& item) {
    const bool over = now >= item.second.valid_until;
    if (over) {
      Forget(item.second);
    }
    return over;
  });
}

/// Takes what another entry told off the sums again.
void Placer::Forget(const Other& other) {
  for (const auto& [id, told] : other.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      found->second.others_total -= told;
    }
  }
}

/// An upstream that started anew, or is gone, has none of the work told.
void Placer::ForgetOthersAt(const UpstreamId& id) {
  for (auto& [entry, other] : others_) {
    other.upstreams.erase(id);
  }
}

bool Placer::Usable(const Instance& instance, TimePoint now) const {
  return instance.record.state == membership::InstanceState::kReady &&
         now >= instance.avoid_until;
}

UpstreamLoad Placer::TotalLoad(const Instance& instance) {
  UpstreamLoad total = instance.own;
  total += instance.others_total;
  return total;
}

std::uint32_t Placer::MissingTokens(const Instance& instance,
                                    const PlacementRequest& request) const {
  std::uint32_t kept = 0;
  for (const PromptPart& part : request.prompt) {
    if (instance.parts.count(part.id) == 0) {
      break;
    }
    kept += part.tokens;
  }
  return request.prompt_tokens - std::min(kept, request.prompt_tokens);
}

bool Placer::Full(const Instance& instance, const Service& service) const {
  const UpstreamLoad total = TotalLoad(instance);
  const std::uint32_t slots = std::max(instance.record.slots, 1U);
  if (!service.declared.engine) {
    return total.running >= slots + kServiceBacklog;
  }
  return total.running >= slots;
}

/// Whether a long prompt should wait for its engine at the entry: on another
/// one it would be read again, and here short ones still get past it. The
/// longer it has waited, the more it may find unread.
bool Placer::MustWait(const Instance& instance, const PlacementRequest& request,
                      TimePoint now) const {
  if (MissingTokens(instance, request) <= options_.long_prompt) {
    return false;
  }
  const std::chrono::duration<double> waited = now - request.arrived;
  const std::chrono::duration<double> target = request.target;
  const double share = target.count() > 0 ? waited.count() / target.count() : 0;
  return static_cast<double>(TotalLoad(instance).unread_tokens) >
         static_cast<double>(options_.long_backlog) +
             options_.backlog_growth * share * kRankDivisor /
                 (kRankDivisor + std::max(request.rank, 1U) - 1);
}

double Placer::ServiceScore(const Instance& instance, std::uint64_t key) const {
  constexpr double kHopLoad = 0.5;
  const double slots = std::max(instance.record.slots, 1U);
  const bool far = instance.record.failure_domain != own_domain_;
  const UpstreamLoad total = TotalLoad(instance);
  return total.running / slots + (far ? kHopLoad : 0.0) +
         options_.failing_slots * FailingShare(total) +
         RendezvousRank(key, instance.hash) / slots;
}

double Placer::EngineScore(const Instance& instance,
                           const PlacementRequest& request, std::uint64_t key,
                           bool kept_elsewhere, std::size_t engines) const {
  const UpstreamLoad total = TotalLoad(instance);
  const std::uint32_t missing = MissingTokens(instance, request);
  const std::uint32_t own_part =
      request.prompt.empty() ? 0 : request.prompt.back().tokens;
  const double shared_missing = missing > own_part ? missing - own_part : 0;
  const bool far = instance.record.failure_domain != own_domain_;
  double score = static_cast<double>(total.unread_tokens) + missing +
                 kTokensPerRunning * total.running +
                 options_.failing_tokens * FailingShare(total);
  if (far) {
    score += kTokensPerDomainHop + kHopSharePerToken * request.prompt_tokens;
  }
  if (kept_elsewhere) {
    score += (options_.reread_weight - 1) * shared_missing;
  } else {
    score += kTokensPerPlace * static_cast<double>(engines) *
                 RendezvousRank(key, instance.hash) +
             kKeptShare * static_cast<double>(instance.kept_tokens);
  }
  return score;
}

std::optional<UpstreamId> Placer::Choose(const PlacementRequest& request,
                                         const std::set<UpstreamId>& excluded,
                                         TimePoint now) const {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return std::nullopt;
  }
  const bool engine = service->second.declared.engine.has_value();
  const std::uint64_t key = PrefixKey(request);
  const std::vector<const Instance*>& all = service->second.instances;
  const bool kept =
      engine && std::any_of(all.begin(), all.end(), [&](const Instance* one) {
        return one->parts.count(key) > 0 && Usable(*one, now);
      });
  const Instance* best = nullptr;
  double best_score = 0;
  for (const Instance* one : all) {
    const Instance& instance = *one;
    if (!Usable(instance, now) || Full(instance, service->second) ||
        excluded.count(instance.record.id) > 0) {
      continue;
    }
    constexpr double kSilencePenalty = 1e7;
    const double score =
        (engine ? EngineScore(instance, request, key, kept, all.size())
                : ServiceScore(instance, key)) +
        (instance.record.silent ? kSilencePenalty : 0.0);
    if (best == nullptr || score < best_score) {
      best = &instance;
      best_score = score;
    }
  }
  if (best == nullptr || (engine && MustWait(*best, request, now))) {
    return std::nullopt;
  }
  return best->record.id;
}

bool Placer::AllFull(const ServiceName& service, TimePoint now) const {
  const auto found = services_.find(service);
  return found == services_.end() ||
         std::all_of(found->second.instances.begin(),
                     found->second.instances.end(), [&](const Instance* one) {
                       return !Usable(*one, now) || Full(*one, found->second);
                     });
}

bool Placer::HasUpstream(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.instances.empty();
}

bool Placer::HasOther(const ServiceName& service,
                      const std::set<UpstreamId>& excluded) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::any_of(found->second.instances.begin(),
                     found->second.instances.end(), [&](const Instance* one) {
                       return excluded.count(one->record.id) == 0;
                     });
}

void Placer::Keep(Instance* instance, const PromptPart& part) {
  if (instance->parts.size() >= kMaxParts) {
    instance->parts.clear();
    instance->kept_tokens = 0;
  }
  if (instance->parts.insert(part.id).second) {
    instance->kept_tokens += part.tokens;
  }
}

PlacementCharge Placer::Sent(const UpstreamId& id,
                             const PlacementRequest& request, TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return {};
  }
  Instance& instance = found->second;
  const PlacementCharge charge{
      MissingTokens(instance, request),
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens};
  ++instance.own.running;
  instance.own.unread_tokens += charge.unread_tokens;
  instance.own.held_tokens += charge.held_tokens;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    Keep(&instance, request.prompt[i]);
    instance.placed.emplace_back(now, request.prompt[i]);
  }
  while (instance.placed.size() > kMaxPlaced) {
    instance.placed.pop_front();
  }
  return charge;
}

void Placer::PromptRead(const UpstreamId& id, PlacementCharge* charge) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& own = found->second.own;
    own.unread_tokens -= std::min(own.unread_tokens, charge->unread_tokens);
  }
  charge->unread_tokens = 0;
}

void Placer::Finished(const UpstreamId& id, const PlacementCharge& charge) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  UpstreamLoad& own = found->second.own;
  own.running -= std::min(own.running, 1U);
  own.held_tokens -= std::min(own.held_tokens, charge.held_tokens);
  own.unread_tokens -= std::min(own.unread_tokens, charge.unread_tokens);
  if (own.running == 0) {
    own.unread_tokens = 0;
    own.held_tokens = 0;
  }
}

void Placer::Ended(const UpstreamId& id, bool well) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& own = found->second.own;
    (well ? own.good_milli : own.bad_milli) += kOneOutcome;
  }
}

void Placer::FadeOutcomes(TimePoint now) {
  const std::chrono::duration<double> passed = now - faded_;
  const std::chrono::duration<double> half_life = kOutcomeHalfLife;
  const double factor = std::exp2(-passed.count() / half_life.count());
  faded_ = now;
  for (auto& [id, instance] : instances_) {
    instance.own.good_milli = Faded(instance.own.good_milli, factor);
    instance.own.bad_milli = Faded(instance.own.bad_milli, factor);
  }
}

void Placer::Failed(const UpstreamId& id, bool unreachable, TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  if (!unreachable) {
    instance.avoid_until = std::max(instance.avoid_until, now + kFullAvoidance);
    return;
  }
  const std::uint32_t doublings = std::min(instance.failures, kMaxDoublings);
  ++instance.failures;
  instance.avoid_until = now + kFirstAvoidance * (1U << doublings);
  instance.parts.clear();
  instance.kept_tokens = 0;
}

void Placer::Answered(const UpstreamId& id) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    found->second.failures = 0;
  }
}

UpstreamLoad Placer::LoadOf(const UpstreamId& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? UpstreamLoad() : TotalLoad(found->second);
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

EntryLoad Placer::OwnLoad(const ProcessId& self, TimePoint placed_since,
                          TimePoint now) {
  FadeOutcomes(now);
  EntryLoad load;
  load.entry = self;
  for (const auto& [id, instance] : instances_) {
    if (instance.own.running > 0 || instance.own.bad_milli > 0) {
      load.upstreams[id] = instance.own;
    }
    for (auto it = instance.placed.rbegin();
         it != instance.placed.rend() && it->first >= placed_since; ++it) {
      load.placed[id].push_back(it->second);
    }
  }
  return load;
}

}  // namespace rattanward::policy
