#include "rattanward/policy/placer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Cost of a running request, in prompt tokens. Its decoding slows the prefill
/// of others.
constexpr double kTokensPerRunningRequest = 100;
/// Cost of sending a request to another failure domain, in prompt tokens: a
/// fixed part, and a part for each token of the prompt.
constexpr double kTokensPerDomainHop = 500;
constexpr double kTokensPerCrossingToken = 0.06;
/// Cost of each position in the rendezvous order, in prompt tokens, among
/// upstreams none of which has cached the prompt. Makes entries choose alike
/// before they receive each other's reports. It is per position and not a share
/// of the whole order, since the latter would make neighbours among many
/// upstreams nearly equal.
constexpr double kTokensPerRendezvousRank = 250;
/// Cost of each cached token when an upstream is chosen for a new prefix, since
/// further requests with the cached prefixes are to be expected there.
constexpr double kCachedTokenWeight = 0.1;
/// Scales backlog_growth_tokens by rank: 1 for ranks 0 and 1, 2/3 for rank 2,
/// 1/2 for rank 3.
constexpr double kRankDivisor = 2;
/// Parts of each upstream that are kept for the load reports of this entry.
constexpr std::size_t kMaxPlacedParts = 256;
/// Time for which an unreachable upstream is avoided. Doubles with each further
/// consecutive failure, up to kMaxDoublings times.
constexpr Duration kInitialAvoidance{std::chrono::milliseconds(300)};
constexpr std::uint32_t kMaxDoublings = 4;
/// Time for which an upstream is avoided after it refused a request as full.
constexpr Duration kFullAvoidance{std::chrono::milliseconds(60)};
/// Requests beyond its slots that an upstream of a plain service may receive.
constexpr std::uint32_t kMaxServiceBacklog = 1;
/// Prompt parts tracked for each upstream. All are dropped when it is reached.
constexpr std::size_t kMaxCachedParts = 4096;
/// Connections to an upstream that each entry may hold even if its share is
/// smaller.
constexpr std::uint32_t kMinConnections = 4;
/// Half-life of the recorded outcomes.
constexpr Duration kOutcomeHalfLife{std::chrono::seconds(3)};
constexpr std::uint64_t kMilliPerOutcome = 1000;
/// Successes added to those of each upstream, so that a single failure changes
/// the rate little.
constexpr double kPriorSuccessMilli = 2 * kMilliPerOutcome;

/// Assumed rate at which an engine reads prompts.
constexpr double kPrefillTokensPerMs = 50;
/// The same beside many running streams.
constexpr double kBusyPrefillTokensPerMs = 25;

std::uint64_t Decayed(std::uint64_t milli, double factor) {
  return static_cast<std::uint64_t>(static_cast<double>(milli) * factor);
}

double RendezvousRank(std::uint64_t key, std::uint64_t upstream_hash) {
  // 0 for the first choice of the key, up to 1 for the last.
  const std::uint64_t weight = RendezvousWeight(key, upstream_hash);
  return 1.0 -
         static_cast<double>(weight) /
             static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Returns a hash that differs between requests.
std::uint64_t UniqueKey(const PlacementRequest& request) {
  const std::uint64_t last_part =
      request.prompt.empty() ? 0 : request.prompt.back().id;
  return RendezvousWeight(
      last_part,
      static_cast<std::uint64_t>(request.arrived.time_since_epoch().count()));
}

/// Returns the prompt tokens that an engine reads within a request's target.
double TokensWithinTarget(const PlacementRequest& request) {
  const std::chrono::duration<double, std::milli> target = request.target;
  return kPrefillTokensPerMs * target.count();
}

/// How much reading so many tokens delays the events of the streams beside:
/// from 0, not at all, to 1 for a long prompt.
double Disturbance(std::uint64_t uncached, const PlacerOptions& options) {
  const double excess =
      static_cast<double>(uncached) - options.undisturbing_tokens;
  return std::clamp(
      excess / (options.long_prompt_tokens - options.undisturbing_tokens), 0.0,
      1.0);
}

}  // namespace

double FailureRate(const UpstreamLoad& load) {
  const auto bad = static_cast<double>(load.failure_milli);
  return bad /
         (bad + static_cast<double>(load.success_milli) + kPriorSuccessMilli);
}

std::uint64_t PrefixKey(const PlacementRequest& request) {
  // The last part is unique to the request or its session.
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
  IndexInstances();
}

void Placer::SetInstance(const membership::InstanceRecord& record) {
  Instance& instance = instances_[record.id];
  const bool restarted = instance.record.stamp.born != record.stamp.born;
  if (restarted) {
    instance = Instance();
    DropRemoteLoadsAt(record.id);
  }
  instance.record = record;
  instance.hash = StableHash(record.id.str());
  IndexInstances();
}

void Placer::RemoveInstance(const UpstreamId& id) {
  instances_.erase(id);
  DropRemoteLoadsAt(id);
  IndexInstances();
}

void Placer::IndexInstances() {
  for (auto& [name, service] : services_) {
    service.instances.clear();
  }
  std::map<ServiceName, std::map<FailureDomain, std::vector<Instance*>>> ready;
  for (auto& [id, instance] : instances_) {
    const auto service = services_.find(instance.record.service);
    if (service != services_.end() &&
        instance.record.state == membership::InstanceState::kReady) {
      service->second.instances.push_back(&instance);
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

/// Sets the domain and the positions of the instances of one failure domain.
/// All entries find the same order, and an instance that comes or goes moves
/// the others by one place at most.
void Placer::NumberInstances(std::size_t domain,
                             std::vector<Instance*>* instances) {
  std::sort(instances->begin(), instances->end(),
            [](const Instance* a, const Instance* b) {
              return std::tie(a->hash, a->record.id) <
                     std::tie(b->hash, b->record.id);
            });
  for (std::size_t i = 0; i < instances->size(); ++i) {
    (*instances)[i]->domain = domain;
    (*instances)[i]->position = i;
  }
}

void Placer::SetEntries(std::size_t all, std::size_t own_domain) {
  entries_ = std::max<std::size_t>(all, 1);
  domain_entries_ = std::max<std::size_t>(own_domain, 1);
}

void Placer::SetEntryLoad(const EntryLoad& load, TimePoint now) {
  if (!origin_) {
    origin_ = now;
  }
  RemoteEntry& remote = remote_entries_[load.entry];
  if (!load.partial) {
    SubtractRemoteLoad(remote);
    remote.upstreams.clear();
  }
  remote.valid_until = std::max(remote.valid_until, now + load.valid_for);
  AddRemoteLoad(load, now, &remote);
  if (options_.use_remote_placements) {
    for (const auto& [id, placed_parts] : load.placed_parts) {
      const auto found = instances_.find(id);
      if (found != instances_.end()) {
        for (const PromptPart& part : placed_parts) {
          AddCachedPart(&found->second, part);
        }
      }
    }
  }
  std::erase_if(remote_entries_, [&](const auto& item) {
    const bool over = now >= item.second.valid_until;
    if (over) {
      SubtractRemoteLoad(item.second);
    }
    return over;
  });
}

double Placer::MsSinceOrigin(TimePoint now) const {
  const std::chrono::duration<double, std::milli> passed =
      now - origin_.value_or(now);
  return passed.count();
}

/// Replaces the loads of the upstreams that the report names.
void Placer::AddRemoteLoad(const EntryLoad& load, TimePoint now,
                           RemoteEntry* remote) {
  for (const auto& [id, reported] : load.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      ReplaceRemoteLoad(&found->second, {reported, MsSinceOrigin(now)},
                        &remote->upstreams[id]);
    }
  }
}

void Placer::ReplaceRemoteLoad(Instance* instance, const RemoteLoad& load,
                               RemoteLoad* known) {
  instance->remote_load -= known->load;
  instance->remote_load += load.load;
  instance->remote_token_ms += load.token_ms() - known->token_ms();
  *known = load;
}

/// Subtracts the report of another entry from the remote loads.
void Placer::SubtractRemoteLoad(const RemoteEntry& remote) {
  for (const auto& [id, known] : remote.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      RemoteLoad subtracted = known;
      ReplaceRemoteLoad(&found->second, RemoteLoad(), &subtracted);
    }
  }
}

/// Drops all reports about an upstream that restarted or was removed: it no
/// longer has that load.
void Placer::DropRemoteLoadsAt(const UpstreamId& id) {
  for (auto& [entry, remote] : remote_entries_) {
    remote.upstreams.erase(id);
  }
}

bool Placer::IsUsable(const Instance& instance, TimePoint now) const {
  return instance.record.state == membership::InstanceState::kReady &&
         now >= instance.avoid_until;
}

/// Sums the loads of all entries. The engine goes on reading after a report, so
/// its tokens are reduced by what it reads within the mean age of the reports.
UpstreamLoad Placer::TotalLoad(const Instance& instance, TimePoint now) const {
  UpstreamLoad total = instance.remote_load;
  const auto reported = static_cast<double>(total.pending_prefill_tokens);
  if (reported > 0) {
    const double age_ms =
        MsSinceOrigin(now) - instance.remote_token_ms / reported;
    const double left =
        reported - kBusyPrefillTokensPerMs * std::max(0.0, age_ms);
    total.pending_prefill_tokens =
        static_cast<std::uint64_t>(std::max(0.0, left));
  }
  total += instance.local_load;
  return total;
}

std::uint32_t Placer::UncachedTokens(const Instance& instance,
                                     const PlacementRequest& request) const {
  std::uint32_t cached = 0;
  for (const PromptPart& part : request.prompt) {
    if (instance.cached_parts.count(part.id) == 0) {
      break;
    }
    cached += part.tokens;
  }
  return request.prompt_tokens - std::min(cached, request.prompt_tokens);
}

bool Placer::IsFull(const Instance& instance, const Service& service,
                    TimePoint now) const {
  const UpstreamLoad total = TotalLoad(instance, now);
  const std::uint32_t slots = std::max(instance.record.slots, 1U);
  if (!service.declared.engine) {
    return total.running >= slots + kMaxServiceBacklog;
  }
  return total.running >= slots;
}

/// Whether a long prompt should wait at the entry for its engine. Another
/// engine would have to prefill it again, and short prompts can still overtake
/// it in the entry's queue. The backlog that it tolerates grows with its
/// waiting time.
bool Placer::MustWait(const Instance& instance, const PlacementRequest& request,
                      TimePoint now) const {
  if (UncachedTokens(instance, request) <= options_.long_prompt_tokens) {
    return false;
  }
  const std::chrono::duration<double> waited = now - request.arrived;
  const std::chrono::duration<double> target = request.target;
  const double share = target.count() > 0 ? waited.count() / target.count() : 0;
  return static_cast<double>(TotalLoad(instance, now).pending_prefill_tokens) >
         static_cast<double>(options_.long_prompt_backlog_tokens) +
             options_.backlog_growth_tokens * share * kRankDivisor /
                 (kRankDivisor + std::max(request.rank, 1U) - 1);
}

double Placer::ServiceScore(const Instance& instance, std::uint64_t key,
                            TimePoint now) const {
  constexpr double kDomainHopLoad = 0.5;
  const double slots = std::max(instance.record.slots, 1U);
  const bool crosses_domain = instance.record.failure_domain != own_domain_;
  const UpstreamLoad total = TotalLoad(instance, now);
  return total.running / slots + (crosses_domain ? kDomainHopLoad : 0.0) +
         options_.failure_weight_slots * FailureRate(total) +
         RendezvousRank(key, instance.hash) / slots;
}

double Placer::EngineScore(const Instance& instance,
                           const PlacementRequest& request, std::uint64_t key,
                           bool cached_somewhere, std::size_t engines,
                           TimePoint now) const {
  const UpstreamLoad total = TotalLoad(instance, now);
  const std::uint32_t uncached = UncachedTokens(instance, request);
  const double own_tokens =
      request.prompt.empty() ? 0 : request.prompt.back().tokens;
  const double shared_uncached =
      uncached > own_tokens ? uncached - own_tokens : 0;
  const bool crosses_domain = instance.record.failure_domain != own_domain_;
  double score = static_cast<double>(total.pending_prefill_tokens) + uncached +
                 kTokensPerRunningRequest * total.running +
                 options_.failure_weight_tokens * FailureRate(total);
  score += options_.late_weight *
           std::max(0.0, static_cast<double>(total.pending_prefill_tokens) +
                             uncached - TokensWithinTarget(request));
  if (crosses_domain) {
    score +=
        kTokensPerDomainHop + kTokensPerCrossingToken * request.prompt_tokens;
  }
  if (cached_somewhere) {
    score += (options_.recompute_weight - 1) * shared_uncached +
             options_.unheard_weight * UnheardTokens(engines) *
                 std::min(1.0, own_tokens / options_.long_prompt_tokens) *
                 RendezvousRank(UniqueKey(request), instance.hash);
  } else {
    score += kTokensPerRendezvousRank * static_cast<double>(engines) *
                 RendezvousRank(key, instance.hash) +
             kCachedTokenWeight * static_cast<double>(instance.cached_tokens);
  }
  return score;
}

/// Prompt tokens that all entries send to one engine, on average, within two
/// periods of the load reports, if all send as much as this entry.
double Placer::UnheardTokens(std::size_t engines) const {
  constexpr double kPeriods = 2;
  const std::chrono::duration<double, std::milli> period = report_period_;
  return kPeriods * period.count() * sent_tokens_per_ms_ *
         static_cast<double>(entries_) / static_cast<double>(engines);
}

void Placer::UpdateSendRate(TimePoint now) {
  constexpr double kAveragingMs = 2000;
  const std::chrono::duration<double, std::milli> passed =
      now - outcomes_decayed_at_;
  if (passed.count() <= 0) {
    return;
  }
  const double weight = std::min(1.0, passed.count() / kAveragingMs);
  sent_tokens_per_ms_ +=
      weight * (sent_tokens_ / passed.count() - sent_tokens_per_ms_);
  sent_tokens_ = 0;
}

/// Returns for each failure domain how many engines are kept for streams with
/// tight pauses, by the number of these that run there.
std::vector<std::size_t> Placer::CalmEngines(const Service& service,
                                             TimePoint now) const {
  std::vector<double> wanted(service.domains, 0);
  for (const Instance* instance : service.instances) {
    const double room =
        options_.tight_streams_per_slot * std::max(instance->record.slots, 1U);
    wanted[instance->domain] += TotalLoad(*instance, now).tight_streams / room;
  }
  std::vector<std::size_t> kept;
  std::transform(wanted.begin(), wanted.end(), std::back_inserter(kept),
                 [](double engines) {
                   return static_cast<std::size_t>(std::ceil(engines));
                 });
  return kept;
}

/// Keeps long prompts and streams with tight pauses apart. Events of a stream
/// wait while its engine reads a long prompt, however urgent the stream is.
double Placer::ApartScore(const Instance& instance,
                          const PlacementRequest& request,
                          std::size_t calm_engines, TimePoint now) const {
  const bool calm = instance.position < calm_engines;
  const UpstreamLoad total = TotalLoad(instance, now);
  const std::uint32_t uncached = UncachedTokens(instance, request);
  const double disturbance = Disturbance(uncached, options_);
  if (request.tight_pauses && disturbance < 1) {
    return options_.apart_weight *
           (Disturbance(total.pending_prefill_tokens, options_) +
            (calm ? 0.0 : 1.0));
  }
  const double with_pending =
      Disturbance(total.pending_prefill_tokens + uncached, options_);
  return options_.tight_stream_weight * total.tight_streams * with_pending +
         (calm ? options_.apart_weight * disturbance : 0.0);
}

const Placer::Instance* Placer::FindBest(const PlacementRequest& request,
                                         const std::set<UpstreamId>& excluded,
                                         TimePoint now) const {
  const auto service = services_.find(request.service);
  if (service == services_.end()) {
    return nullptr;
  }
  const bool engine = service->second.declared.engine.has_value();
  const std::uint64_t key = PrefixKey(request);
  const std::vector<const Instance*>& all = service->second.instances;
  const std::vector<std::size_t> calm_engines =
      engine ? CalmEngines(service->second, now) : std::vector<std::size_t>();
  // A long prompt is read anew rather than beside streams that it makes late.
  const bool cached_somewhere =
      engine &&
      std::any_of(all.begin(), all.end(), [&](const Instance* candidate) {
        return candidate->cached_parts.count(key) > 0 &&
               IsUsable(*candidate, now) &&
               (candidate->position >= calm_engines[candidate->domain] ||
                Disturbance(UncachedTokens(*candidate, request), options_) < 1);
      });
  const Instance* best = nullptr;
  double best_score = 0;
  for (const Instance* candidate : all) {
    const Instance& instance = *candidate;
    if (!IsUsable(instance, now) || IsFull(instance, service->second, now) ||
        excluded.count(instance.record.id) > 0) {
      continue;
    }
    // Exceeds the scores in practice, so a silent upstream is the last choice.
    constexpr double kSilentPenalty = 1e7;
    const double score =
        (engine ? EngineScore(instance, request, key, cached_somewhere,
                              all.size(), now) +
                      ApartScore(instance, request,
                                 calm_engines[instance.domain], now)
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
  return found == services_.end() ||
         std::all_of(found->second.instances.begin(),
                     found->second.instances.end(),
                     [&](const Instance* candidate) {
                       return !IsUsable(*candidate, now) ||
                              IsFull(*candidate, found->second, now);
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

void Placer::AddCachedPart(Instance* instance, const PromptPart& part) {
  if (instance->cached_parts.size() >= kMaxCachedParts) {
    instance->cached_parts.clear();
    instance->cached_tokens = 0;
  }
  if (instance->cached_parts.insert(part.id).second) {
    instance->cached_tokens += part.tokens;
  }
}

PlacementCharge Placer::RecordSend(const UpstreamId& id,
                                   const PlacementRequest& request,
                                   TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return {};
  }
  Instance& instance = found->second;
  const std::uint32_t uncached = UncachedTokens(instance, request);
  const bool tight =
      request.tight_pauses && Disturbance(uncached, options_) < 1;
  const PlacementCharge charge{
      uncached,
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens,
      tight ? 1U : 0U};
  sent_tokens_ += uncached;
  if (uncached > options_.urgent_tokens) {
    urgent_.insert(id);
  }
  ++instance.local_load.running;
  instance.local_load.pending_prefill_tokens += charge.pending_prefill_tokens;
  instance.local_load.reserved_tokens += charge.reserved_tokens;
  instance.local_load.tight_streams += charge.tight_streams;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    AddCachedPart(&instance, request.prompt[i]);
    instance.placed_parts.emplace_back(now, request.prompt[i]);
  }
  while (instance.placed_parts.size() > kMaxPlacedParts) {
    instance.placed_parts.pop_front();
  }
  return charge;
}

void Placer::RecordFirstEvent(const UpstreamId& id, PlacementCharge* charge) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& local_load = found->second.local_load;
    local_load.pending_prefill_tokens -= std::min(
        local_load.pending_prefill_tokens, charge->pending_prefill_tokens);
  }
  charge->pending_prefill_tokens = 0;
}

void Placer::ReleaseCharge(const UpstreamId& id,
                           const PlacementCharge& charge) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  UpstreamLoad& local_load = found->second.local_load;
  local_load.running -= std::min(local_load.running, 1U);
  local_load.tight_streams -=
      std::min(local_load.tight_streams, charge.tight_streams);
  local_load.reserved_tokens -=
      std::min(local_load.reserved_tokens, charge.reserved_tokens);
  local_load.pending_prefill_tokens -= std::min(
      local_load.pending_prefill_tokens, charge.pending_prefill_tokens);
  if (local_load.running == 0) {
    local_load.pending_prefill_tokens = 0;
    local_load.reserved_tokens = 0;
    local_load.tight_streams = 0;
  }
}

void Placer::RecordOutcome(const UpstreamId& id, bool well) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& local_load = found->second.local_load;
    (well ? local_load.success_milli : local_load.failure_milli) +=
        kMilliPerOutcome;
  }
}

void Placer::DecayOutcomes(TimePoint now) {
  const std::chrono::duration<double> passed = now - outcomes_decayed_at_;
  const std::chrono::duration<double> half_life = kOutcomeHalfLife;
  const double factor = std::exp2(-passed.count() / half_life.count());
  outcomes_decayed_at_ = now;
  for (auto& [id, instance] : instances_) {
    instance.local_load.success_milli =
        Decayed(instance.local_load.success_milli, factor);
    instance.local_load.failure_milli =
        Decayed(instance.local_load.failure_milli, factor);
  }
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

UpstreamLoad Placer::LoadOf(const UpstreamId& id, TimePoint now) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? UpstreamLoad()
                                   : TotalLoad(found->second, now);
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
  UpdateSendRate(now);
  DecayOutcomes(now);
  EntryLoad load;
  load.entry = self;
  for (const auto& [id, instance] : instances_) {
    if (instance.local_load.running > 0 ||
        instance.local_load.failure_milli > 0) {
      load.upstreams[id] = instance.local_load;
    }
    for (auto it = instance.placed_parts.rbegin();
         it != instance.placed_parts.rend() && it->first >= placed_since;
         ++it) {
      load.placed_parts[id].push_back(it->second);
    }
  }
  return load;
}

EntryLoad Placer::TakeUrgentLoad(const ProcessId& self) {
  EntryLoad load;
  load.entry = self;
  load.partial = true;
  for (const UpstreamId& id : urgent_) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      load.upstreams[id] = found->second.local_load;
    }
  }
  urgent_.clear();
  return load;
}

}  // namespace rattanward::policy
