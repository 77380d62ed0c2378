#include "rattanward/policy/chooser.h"

#include <algorithm>
#include <utility>

#include "rattanward/policy/rendezvous.h"
#include "rattanward/policy/trunk_reservation.h"

namespace rattanward::policy {
namespace {

constexpr std::uint64_t kWholePermille = 1000;
/// Load of the own domain's candidate from which other failure domains are
/// considered.
constexpr std::uint64_t kSpilloverLoadPermille = 800;
/// Difference by which an upstream in another failure domain must be less
/// loaded to be preferred.
constexpr std::uint64_t kSpilloverMarginPermille = 200;
/// Maximum load, relative to the average, at which an upstream is still chosen
/// for prefix affinity.
constexpr std::uint64_t kAffinityMaxLoadPermille = 1250;

std::uint64_t LoadPermille(const UpstreamState& upstream) {
  return kWholePermille * upstream.Load() /
         std::max(1U, upstream.announcement.capacity);
}

bool PassesProbation(const UpstreamState& upstream, const ChoiceQuery& query) {
  const ProbationState& state = upstream.probation;
  switch (state.phase) {
    case ProbationState::Phase::kHealthy:
      return true;
    case ProbationState::Phase::kBanned:
      return false;
    case ProbationState::Phase::kProbing:
      // The top tier is used for probing only if no lower-tier request has
      // probed the upstream for another ban duration after the ban.
      return upstream.running.empty() &&
             (query.tier.value > 0 ||
              query.now >= state.banned_until + state.ban_duration);
  }
  return false;
}

bool Usable(const UpstreamState& upstream, const ChoiceQuery& query) {
  const auto running = static_cast<std::uint32_t>(upstream.running.size());
  constexpr double kReturnsFirst = 1;
  return upstream.AcceptsNewWork() && query.now >= upstream.avoid_until &&
         upstream.backoff.Allows(running, upstream.announcement.capacity,
                                 kReturnsFirst, query.now) &&
         (!upstream.limit || upstream.share.Allows(query.now)) &&
         std::find(query.tried.begin(), query.tried.end(),
                   upstream.announcement.instance) == query.tried.end();
}

bool AnyNotBanned(const UpstreamTable::List& list, const ChoiceQuery& query) {
  return std::any_of(list.begin(), list.end(), [&](const UpstreamState* u) {
    return Usable(*u, query) &&
           u->probation.phase != ProbationState::Phase::kBanned;
  });
}

UpstreamState* ChooseByPrefix(const UpstreamTable::List& list,
                              std::uint64_t prefix) {
  std::uint64_t total = 0;
  for (const UpstreamState* upstream : list) {
    total += LoadPermille(*upstream);
  }
  const std::uint64_t bound =
      kAffinityMaxLoadPermille * total / (kWholePermille * list.size());
  UpstreamState* best = nullptr;
  std::uint64_t best_weight = 0;
  for (UpstreamState* upstream : list) {
    const std::uint64_t weight = RendezvousWeight(prefix, upstream->id_hash);
    if (LoadPermille(*upstream) <= bound &&
        (best == nullptr || weight > best_weight)) {
      best = upstream;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

bool CanStartOn(const UpstreamState& upstream, const ChoiceQuery& query) {
  const std::uint32_t capacity = upstream.announcement.capacity;
  const bool passes_probation =
      query.ignore_probation || PassesProbation(upstream, query);
  if (!passes_probation || !Usable(upstream, query) ||
      upstream.running.size() >= capacity ||
      (query.allowed && !query.allowed(upstream))) {
    return false;
  }
  const std::uint32_t limit =
      query.floor_due ? capacity : TrunkLimit(capacity, query.tier);
  // Load reports lag, so the load of other entries does not hold back the top
  // tier. The upstream serves it first among its own waiting requests.
  const bool may_exceed =
      query.tier.value == 0 || (upstream.running.empty() && query.floor_due);
  return upstream.Load() < limit || may_exceed;
}

std::uint32_t SlotsFor(const UpstreamState& upstream, Tier tier) {
  if (!upstream.AcceptsNewWork()) {
    return 0;
  }
  const std::uint32_t limit = TrunkLimit(upstream.announcement.capacity, tier);
  return std::max(static_cast<std::uint32_t>(upstream.running.size()),
                  limit - std::min(limit, upstream.OtherLoad()));
}

Chooser::Chooser(FailureDomain own_domain, std::uint64_t seed)
    : own_domain_(std::move(own_domain)), random_(seed) {}

UpstreamState* Chooser::Choose(const UpstreamTable::List& list,
                               const ChoiceQuery& query) {
  CollectCandidates(list, query);
  // If every usable upstream is banned, probation is ignored so that requests
  // are still served.
  if (same_domain_.empty() && other_domains_.empty() &&
      !AnyNotBanned(list, query)) {
    ChoiceQuery any = query;
    any.ignore_probation = true;
    CollectCandidates(list, any);
  }
  if (same_domain_.empty()) {
    return PickOfTwo(other_domains_);
  }
  UpstreamState* choice =
      query.prefix == 0 ? nullptr : ChooseByPrefix(same_domain_, query.prefix);
  if (choice == nullptr) {
    choice = PickOfTwo(same_domain_);
  }
  if (other_domains_.empty() ||
      LoadPermille(*choice) < kSpilloverLoadPermille) {
    return choice;
  }
  UpstreamState* spillover = PickOfTwo(other_domains_);
  const bool less_loaded =
      LoadPermille(*spillover) + kSpilloverMarginPermille <=
      LoadPermille(*choice);
  return less_loaded ? spillover : choice;
}

void Chooser::CollectCandidates(const UpstreamTable::List& list,
                                const ChoiceQuery& query) {
  same_domain_.clear();
  other_domains_.clear();
  for (UpstreamState* upstream : list) {
    if (CanStartOn(*upstream, query)) {
      const bool is_same_domain =
          upstream->announcement.failure_domain == own_domain_;
      (is_same_domain ? same_domain_ : other_domains_).push_back(upstream);
    }
  }
}

UpstreamState* Chooser::PickOfTwo(const UpstreamTable::List& list) {
  if (list.empty()) {
    return nullptr;
  }
  const std::size_t index = random_() % list.size();
  UpstreamState* first = list[index];
  if (list.size() == 1) {
    return first;
  }
  const std::size_t step = 1 + random_() % (list.size() - 1);
  UpstreamState* second = list[(index + step) % list.size()];
  return LoadPermille(*second) < LoadPermille(*first) ? second : first;
}

}  // namespace rattanward::policy
