#include "rattanward/policy/account_limits.h"

#include <algorithm>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

constexpr Duration kAskPeriod = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// One leased place in this many is asked for beyond what is in use.
constexpr std::uint32_t kHeadroomDivisor = 4;

std::uint32_t Above(std::uint32_t value, std::uint32_t bound) {
  return value - std::min(value, bound);
}

}  // namespace

AccountLimits::AccountLimits(std::uint32_t entries)
    : entries_without_group_(std::max(1U, entries)) {}

void AccountLimits::SetAccounts(const std::vector<ClientAccount>& accounts) {
  limits_.clear();
  for (const ClientAccount& account : accounts) {
    if (account.max_in_flight != 0 || account.requests_per_minute != 0) {
      limits_[account.id] = {account.max_in_flight,
                             account.requests_per_minute};
    }
  }
}

void AccountLimits::SetGroup(const EntryGroup& group, TimePoint now) {
  if (group == group_) {
    return;
  }
  group_ = group;
  home_.emplace(now, group.fresh);
  for (auto& [account, active] : active_) {
    active.leased = 0;
    active.leased_starts = 0;
    active.granted_at.reset();
    active.asked_sequence = 0;
  }
}

AccountRefusal AccountLimits::TryStart(const ClientAccountId& account,
                                       TimePoint now) {
  const Limit* limit = LimitOf(account);
  if (limit == nullptr) {
    return AccountRefusal::kNone;
  }
  Active& active = active_[account];
  if (!PlaceFree(active, *limit, now)) {
    ++active.refused;
    return AccountRefusal::kInFlight;
  }
  if (!TakeStart(&active, *limit, now)) {
    ++active.refused;
    return AccountRefusal::kRate;
  }
  ++active.in_flight;
  return AccountRefusal::kNone;
}

void AccountLimits::End(const ClientAccountId& account) {
  const auto it = active_.find(account);
  if (it != active_.end() && it->second.in_flight > 0) {
    --it->second.in_flight;
  }
}

Duration AccountLimits::RetryAfter(const ClientAccountId& account,
                                   TimePoint now) const {
  const auto it = active_.find(account);
  const Limit* limit = LimitOf(account);
  if (it == active_.end() || limit == nullptr ||
      PlaceFree(it->second, *limit, now)) {
    const Duration wait = it == active_.end()
                              ? Duration(0)
                              : it->second.own_starts.UntilNextLeaves(now);
    return std::max(kMinRetryAfter, wait);
  }
  return kMinRetryAfter;
}

std::vector<AddressedRequest> AccountLimits::TakeRequests(TimePoint now) {
  std::vector<AddressedRequest> out;
  if (group_.entries.empty()) {
    return out;
  }
  Expire(now);
  for (auto& [account, active] : active_) {
    const Limit* limit = LimitOf(account);
    if (limit != nullptr && now - active.asked_at >= kAskPeriod) {
      Ask(account, &active, *limit, now, &out);
    }
  }
  return out;
}

void AccountLimits::Expire(TimePoint now) {
  if (home_) {
    home_->Expire(now);
  }
  for (auto it = active_.begin(); it != active_.end();) {
    const bool unlimited =
        it->second.in_flight == 0 && LimitOf(it->first) == nullptr;
    const bool idle = unlimited || IsIdle(&it->second, now);
    it = idle ? active_.erase(it) : std::next(it);
  }
}

bool AccountLimits::IsIdle(Active* active, TimePoint now) const {
  return active->in_flight == 0 && !active->home_holds &&
         (active->refused == 0 || group_.entries.empty()) &&
         active->own_starts.Count(now) == 0;
}

void AccountLimits::Ask(const ClientAccountId& account, Active* active,
                        const Limit& limit, TimePoint now,
                        std::vector<AddressedRequest>* out) {
  const PortionRequest request = MakeRequest(account, active, limit, now);
  active->released = request.held == 0 && request.wanted == 0;
  active->home_holds = active->home_holds || !active->released;
  if (!active->home_holds && request.wanted_starts == 0) {
    return;
  }
  const ProcessId home = HomeOf(account);
  if (home != group_.self) {
    out->push_back({home, request});
  } else if (const auto grant = Answer(request, now)) {
    Granted(*grant);
  }
}

std::optional<PortionGrant> AccountLimits::Answer(const PortionRequest& request,
                                                  TimePoint now) {
  const Limit* limit = LimitOf(request.account);
  if (limit == nullptr || !home_ || HomeOf(request.account) != group_.self) {
    return std::nullopt;
  }
  const Pool pool{Pooled(limit->in_flight), Pooled(limit->per_minute)};
  const PortionGrant grant = home_->Answer(request, pool, now);
  return grant.sequence == 0 ? std::nullopt : std::optional(grant);
}

void AccountLimits::Granted(const PortionGrant& grant) {
  const auto it = active_.find(grant.account);
  if (it == active_.end() || grant.entry != group_.self ||
      grant.incarnation != group_.incarnation ||
      grant.sequence != it->second.asked_sequence) {
    return;
  }
  Active& active = it->second;
  active.asked_sequence = 0;
  active.leased = grant.places;
  active.leased_starts = grant.starts;
  active.starts_until = active.asked_at + kStartLife;
  active.granted_at = active.asked_at;
  active.home_holds = active.home_holds && !active.released;
}

ProcessId AccountLimits::HomeOf(const ClientAccountId& account) const {
  const std::uint64_t key = StableHash(account.str());
  const auto best =
      std::max_element(group_.entries.begin(), group_.entries.end(),
                       [key](const ProcessId& a, const ProcessId& b) {
                         return RendezvousWeight(key, StableHash(a.str())) <
                                RendezvousWeight(key, StableHash(b.str()));
                       });
  return best == group_.entries.end() ? ProcessId() : *best;
}

std::uint32_t AccountLimits::Entries() const {
  return group_.entries.empty()
             ? entries_without_group_
             : static_cast<std::uint32_t>(group_.entries.size());
}

std::uint32_t AccountLimits::Share(std::uint32_t limit) const {
  const std::uint32_t entries = Entries();
  if (group_.entries.empty()) {
    return limit / entries;
  }
  return limit < entries ? 0 : std::max(1U, limit / 2 / entries);
}

std::uint32_t AccountLimits::Pooled(std::uint32_t limit) const {
  return limit - Share(limit) * Entries();
}

bool AccountLimits::Leased(const Active& active, TimePoint now) {
  return active.granted_at && now - *active.granted_at < kLease;
}

bool AccountLimits::PlaceFree(const Active& active, const Limit& limit,
                              TimePoint now) const {
  if (limit.in_flight == 0) {
    return true;
  }
  return active.in_flight <
         Share(limit.in_flight) + (Leased(active, now) ? active.leased : 0);
}

bool AccountLimits::TakeStart(Active* active, const Limit& limit,
                              TimePoint now) const {
  if (limit.per_minute == 0) {
    return true;
  }
  if (active->own_starts.Count(now) < Share(limit.per_minute)) {
    active->own_starts.Add(1, now);
    return true;
  }
  if (active->leased_starts == 0 || now >= active->starts_until) {
    return false;
  }
  --active->leased_starts;
  return true;
}

PortionRequest AccountLimits::MakeRequest(const ClientAccountId& account,
                                          Active* active, const Limit& limit,
                                          TimePoint now) {
  const std::uint32_t share = Share(limit.in_flight);
  const std::uint32_t demand = active->in_flight + active->refused;
  const std::uint32_t used = Above(active->in_flight, share);
  std::uint32_t wanted = Above(demand + demand / kHeadroomDivisor, share);
  wanted = limit.in_flight == 0 ? 0 : wanted;
  // After the lease the home may have taken back what is not in use.
  const std::uint32_t kept = Leased(*active, now) ? active->leased : 0;
  active->leased = std::max(used, std::min(kept, wanted));
  active->asked_sequence = ++sequence_;
  active->asked_at = now;
  active->leased_starts = 0;
  const std::uint32_t starts =
      limit.per_minute == 0
          ? 0
          : Above(
                demand + active->own_starts.Count(now) / kHeadroomDivisor,
                Above(Share(limit.per_minute), active->own_starts.Count(now)));
  active->refused = 0;
  return {account, group_.self, group_.incarnation, sequence_, active->leased,
          wanted,  starts};
}

const AccountLimits::Limit* AccountLimits::LimitOf(
    const ClientAccountId& account) const {
  const auto it = limits_.find(account);
  return it == limits_.end() ? nullptr : &it->second;
}

}  // namespace rattanward::policy
