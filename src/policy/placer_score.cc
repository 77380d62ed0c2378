#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

#include "rattanward/policy/placer.h"
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
/// Requests beyond its slots that an upstream of a plain service may receive.
constexpr std::uint32_t kMaxServiceBacklog = 1;
/// Successes added to those of each upstream, so that a single failure changes
/// the rate little.
constexpr double kPriorSuccessMilli = 2 * UpstreamLoad::kMilliPerOutcome;

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
  return ReadingRate::kInitialTokensPerMs * target.count();
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

std::vector<std::uint64_t> SharedParts(const std::vector<PromptPart>& prompt) {
  std::vector<std::uint64_t> parts;
  parts.reserve(prompt.size());
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    parts.push_back(prompt[i].id);
  }
  return parts;
}

/// Place of an upstream in the rendezvous order of a key: 0 for the first
/// choice, up to 1 for the last. A faster engine is preferred for more keys.
double Placer::RendezvousRank(std::uint64_t key, const Instance& instance) {
  const std::uint64_t weight = RendezvousWeight(key, instance.hash);
  const double share =
      static_cast<double>(weight) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return 1.0 -
         (instance.speed == 1 ? share : std::pow(share, 1 / instance.speed));
}

/// Tokens that an engine of the usual speed reads in the same time.
double Placer::ReadingTokens(const Instance& instance, double tokens) {
  return tokens / instance.speed;
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
                    std::uint64_t request_tokens, TimePoint now) const {
  if (service.limits_rejections &&
      ExceedsRoom(instance, service, request_tokens, now)) {
    return true;
  }
  const UpstreamLoad total = TotalLoad(instance, now);
  if (options_.limits_memory && ExceedsMemory(total, service, request_tokens)) {
    return true;
  }
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
  const double pending = ReadingTokens(
      instance,
      static_cast<double>(TotalLoad(instance, now).pending_prefill_tokens));
  return pending > static_cast<double>(options_.long_prompt_backlog_tokens) +
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
         RendezvousRank(key, instance) / slots;
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
  const double to_read = ReadingTokens(
      instance, static_cast<double>(total.pending_prefill_tokens) + uncached);
  double score =
      to_read +
      ReadingTokens(instance, kTokensPerRunningRequest * total.running) +
      options_.failure_weight_tokens * FailureRate(total);
  score += options_.late_weight *
           std::max(0.0, to_read - TokensWithinTarget(request));
  if (crosses_domain) {
    score +=
        kTokensPerDomainHop + kTokensPerCrossingToken * request.prompt_tokens;
  }
  if (cached_somewhere) {
    score += (options_.recompute_weight - 1) *
                 ReadingTokens(instance, shared_uncached) +
             options_.unreported_weight * UnreportedTokens(engines) *
                 std::min(1.0, own_tokens / options_.long_prompt_tokens) *
                 RendezvousRank(UniqueKey(request), instance);
  } else {
    score += kTokensPerRendezvousRank * static_cast<double>(engines) *
                 RendezvousRank(key, instance) +
             kCachedTokenWeight * static_cast<double>(instance.cached_tokens);
  }
  return score;
}

/// Prompt tokens that all entries send to one engine, on average, within two
/// periods of the load reports, if all send as much as this entry.
double Placer::UnreportedTokens(std::size_t engines) const {
  constexpr double kPeriods = 2;
  const std::chrono::duration<double, std::milli> period = report_period_;
  return kPeriods * period.count() * sent_tokens_per_ms_ *
         static_cast<double>(entries_) / static_cast<double>(engines);
}

/// Returns for each failure domain how many engines are kept for streams with
/// tight pauses, by the number of these that run there.
std::vector<std::size_t> Placer::DedicatedEngines(const Service& service,
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
double Placer::SeparationScore(const Instance& instance,
                               const PlacementRequest& request,
                               std::size_t dedicated_engines,
                               TimePoint now) const {
  const bool dedicated = instance.position < dedicated_engines;
  const UpstreamLoad total = TotalLoad(instance, now);
  const std::uint32_t uncached = UncachedTokens(instance, request);
  const double disturbance = Disturbance(uncached);
  const auto pending = static_cast<double>(total.pending_prefill_tokens);
  if (request.tight_pauses && disturbance < 1) {
    return options_.separation_weight *
           (Disturbance(ReadingTokens(instance, pending)) +
            (dedicated ? 0.0 : 1.0));
  }
  const double with_pending =
      Disturbance(ReadingTokens(instance, pending + uncached));
  return options_.tight_stream_weight * total.tight_streams * with_pending +
         (dedicated ? options_.separation_weight * disturbance : 0.0);
}

/// How much reading so many tokens delays the events of the streams beside:
/// from 0, not at all, to 1 for a long prompt.
double Placer::Disturbance(double tokens) const {
  const double excess = tokens - options_.undisturbing_tokens;
  return std::clamp(
      excess / (options_.long_prompt_tokens - options_.undisturbing_tokens),
      0.0, 1.0);
}

}  // namespace rattanward::policy
