#include "rattanward/policy/account_limits.h"

#include <algorithm>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

constexpr Duration kRequestPeriod = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// The headroom requested beyond the demand is the demand divided by this for
/// slots, and the starts of the last minute divided by this for starts.
constexpr std::uint32_t kHeadroomDivisor = 4;

std::uint32_t ExcessOver(std::uint32_t value, std::uint32_t bound) {
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
  for (auto& [account, state] : active_accounts_) {
    state.leased_slots = 0;
    state.leased_starts = 0;
    state.lease_start.reset();
    state.pending_sequence = 0;
  }
}

AccountRefusal AccountLimits::TryStart(const ClientAccountId& account,
                                       TimePoint now) {
  const Limit* limit = LimitOf(account);
  if (limit == nullptr) {
    return AccountRefusal::kNone;
  }
  AccountState& state = active_accounts_[account];
  if (!HasFreeSlot(state, *limit, now)) {
    ++state.refused_since_request;
    return AccountRefusal::kInFlight;
  }
  if (!TryTakeStart(&state, *limit, now)) {
    ++state.refused_since_request;
    return AccountRefusal::kRate;
  }
  ++state.in_flight;
  return AccountRefusal::kNone;
}

void AccountLimits::End(const ClientAccountId& account) {
  const auto it = active_accounts_.find(account);
  if (it != active_accounts_.end() && it->second.in_flight > 0) {
    --it->second.in_flight;
  }
}

Duration AccountLimits::RetryAfter(const ClientAccountId& account,
                                   TimePoint now) const {
  const auto it = active_accounts_.find(account);
  const Limit* limit = LimitOf(account);
  if (it == active_accounts_.end() || limit == nullptr ||
      HasFreeSlot(it->second, *limit, now)) {
    // With a free slot, the request was refused by its rate.
    const Duration wait = it == active_accounts_.end()
                              ? Duration(0)
                              : it->second.own_starts.UntilNextExpiry(now);
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
  for (auto& [account, state] : active_accounts_) {
    const Limit* limit = LimitOf(account);
    if (limit != nullptr && now - state.requested_at >= kRequestPeriod) {
      RequestPortion(account, &state, *limit, now, &out);
    }
  }
  return out;
}

void AccountLimits::Expire(TimePoint now) {
  if (home_) {
    home_->Expire(now);
  }
  for (auto it = active_accounts_.begin(); it != active_accounts_.end();) {
    const bool unlimited =
        it->second.in_flight == 0 && LimitOf(it->first) == nullptr;
    const bool idle = unlimited || IsIdle(&it->second, now);
    it = idle ? active_accounts_.erase(it) : std::next(it);
  }
}

bool AccountLimits::IsIdle(AccountState* state, TimePoint now) const {
  return state->in_flight == 0 && !state->home_may_hold_slots &&
         (state->refused_since_request == 0 || group_.entries.empty()) &&
         state->own_starts.Count(now) == 0;
}

void AccountLimits::RequestPortion(const ClientAccountId& account,
                                   AccountState* state, const Limit& limit,
                                   TimePoint now,
                                   std::vector<AddressedRequest>* out) {
  const PortionRequest request = MakeRequest(account, state, limit, now);
  state->last_request_released_all =
      request.held_slots == 0 && request.wanted_slots == 0;
  state->home_may_hold_slots =
      state->home_may_hold_slots || !state->last_request_released_all;
  if (!state->home_may_hold_slots && request.wanted_starts == 0) {
    return;
  }
  const ProcessId home = HomeOf(account);
  if (home != group_.self) {
    out->push_back({home, request});
  } else if (const auto grant = Answer(request, now)) {
    ApplyGrant(*grant);
  }
}

std::optional<PortionGrant> AccountLimits::Answer(const PortionRequest& request,
                                                  TimePoint now) {
  const Limit* limit = LimitOf(request.account);
  if (limit == nullptr || !home_ || HomeOf(request.account) != group_.self) {
    return std::nullopt;
  }
  const LeasePool pool{LeasablePart(limit->in_flight),
                       LeasablePart(limit->per_minute)};
  const PortionGrant grant = home_->Answer(request, pool, now);
  return grant.sequence == 0 ? std::nullopt : std::optional(grant);
}

void AccountLimits::ApplyGrant(const PortionGrant& grant) {
  const auto it = active_accounts_.find(grant.account);
  if (it == active_accounts_.end() || grant.entry != group_.self ||
      grant.incarnation != group_.incarnation ||
      grant.sequence != it->second.pending_sequence) {
    return;
  }
  AccountState& state = it->second;
  state.pending_sequence = 0;
  state.leased_slots = grant.slots;
  state.leased_starts = grant.starts;
  state.leased_starts_until = state.requested_at + kStartGrantLifetime;
  state.lease_start = state.requested_at;
  state.home_may_hold_slots =
      state.home_may_hold_slots && !state.last_request_released_all;
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

std::uint32_t AccountLimits::EntryCount() const {
  return group_.entries.empty()
             ? entries_without_group_
             : static_cast<std::uint32_t>(group_.entries.size());
}

std::uint32_t AccountLimits::EvenShare(std::uint32_t limit) const {
  const std::uint32_t entries = EntryCount();
  if (group_.entries.empty()) {
    return limit / entries;
  }
  return limit < entries ? 0 : std::max(1U, limit / 2 / entries);
}

std::uint32_t AccountLimits::LeasablePart(std::uint32_t limit) const {
  return limit - EvenShare(limit) * EntryCount();
}

bool AccountLimits::HasLease(const AccountState& state, TimePoint now) {
  return state.lease_start && now - *state.lease_start < kLeaseDuration;
}

bool AccountLimits::HasFreeSlot(const AccountState& state, const Limit& limit,
                                TimePoint now) const {
  if (limit.in_flight == 0) {
    return true;
  }
  return state.in_flight < EvenShare(limit.in_flight) +
                               (HasLease(state, now) ? state.leased_slots : 0);
}

bool AccountLimits::TryTakeStart(AccountState* state, const Limit& limit,
                                 TimePoint now) const {
  if (limit.per_minute == 0) {
    return true;
  }
  if (state->own_starts.Count(now) < EvenShare(limit.per_minute)) {
    state->own_starts.Add(1, now);
    return true;
  }
  if (state->leased_starts == 0 || now >= state->leased_starts_until) {
    return false;
  }
  --state->leased_starts;
  return true;
}

PortionRequest AccountLimits::MakeRequest(const ClientAccountId& account,
                                          AccountState* state,
                                          const Limit& limit, TimePoint now) {
  const std::uint32_t share = EvenShare(limit.in_flight);
  const std::uint32_t demand = state->in_flight + state->refused_since_request;
  const std::uint32_t used_leased_slots = ExcessOver(state->in_flight, share);
  std::uint32_t wanted_slots =
      ExcessOver(demand + demand / kHeadroomDivisor, share);
  wanted_slots = limit.in_flight == 0 ? 0 : wanted_slots;
  // Once the lease has expired, the home may have reclaimed unused slots.
  const std::uint32_t still_leased =
      HasLease(*state, now) ? state->leased_slots : 0;
  state->leased_slots =
      std::max(used_leased_slots, std::min(still_leased, wanted_slots));
  state->pending_sequence = ++sequence_;
  state->requested_at = now;
  state->leased_starts = 0;
  const std::uint32_t starts =
      limit.per_minute == 0
          ? 0
          : ExcessOver(demand + state->own_starts.Count(now) / kHeadroomDivisor,
                       ExcessOver(EvenShare(limit.per_minute),
                                  state->own_starts.Count(now)));
  state->refused_since_request = 0;
  return {account,   group_.self,         group_.incarnation,
          sequence_, state->leased_slots, wanted_slots,
          starts};
}

const AccountLimits::Limit* AccountLimits::LimitOf(
    const ClientAccountId& account) const {
  const auto it = limits_.find(account);
  return it == limits_.end() ? nullptr : &it->second;
}

}  // namespace rattanward::policy
