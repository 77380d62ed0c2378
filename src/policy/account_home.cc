#include "rattanward/policy/account_home.h"

#include <algorithm>

namespace rattanward::policy {

AccountHome::AccountHome(TimePoint started, bool fresh)
    : leases_from_(fresh ? started : started + kReclaimTimeout) {}

PortionGrant AccountHome::Answer(const PortionRequest& request,
                                 const LeasePool& pool, TimePoint now) {
  PortionGrant grant{request.account,
                     request.entry,
                     request.incarnation,
                     request.sequence,
                     0,
                     0};
  Account& account = accounts_[request.account];
  Holder& holder = account.holders[request.entry];
  const bool stale = request.incarnation < holder.incarnation ||
                     (request.incarnation == holder.incarnation &&
                      request.sequence <= holder.sequence);
  if (stale) {
    grant.sequence = 0;
    return grant;
  }
  holder = {request.incarnation, request.sequence, request.held_slots,
            request.wanted_slots, now};
  if (now < leases_from_) {
    grant.slots = request.held_slots;
    return grant;
  }
  grant.slots = SlotsFor(account, holder, pool.slots);
  holder.slots = std::max(holder.slots, grant.slots);
  const std::uint32_t recent_starts = account.starts.Count(now);
  grant.starts = std::min(
      request.wanted_starts,
      pool.starts_per_minute - std::min(pool.starts_per_minute, recent_starts));
  account.starts.Add(grant.starts, now);
  return grant;
}

void AccountHome::Expire(TimePoint now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    std::erase_if(it->second.holders, [now](const auto& item) {
      const Holder& holder = item.second;
      const Duration retention =
          holder.slots == 0 ? kLeaseDuration : kReclaimTimeout;
      return now - holder.last_request_at > retention;
    });
    const bool idle =
        it->second.holders.empty() && it->second.starts.Count(now) == 0;
    it = idle ? accounts_.erase(it) : std::next(it);
  }
}

std::uint32_t AccountHome::SlotsFor(const Account& account,
                                    const Holder& holder, std::uint32_t pool) {
  std::uint32_t leased_slots = 0;
  std::uint32_t wanted_slots = 0;
  std::uint32_t wanting_entries = 0;
  for (const auto& [entry, other] : account.holders) {
    leased_slots += other.slots;
    wanted_slots += other.wanted_slots;
    wanting_entries += other.wanted_slots > 0 ? 1 : 0;
  }
  const std::uint32_t unleased = pool - std::min(pool, leased_slots);
  const std::uint32_t fair_share =
      wanted_slots <= pool ? holder.wanted_slots
                           : std::max(1U, pool / std::max(1U, wanting_entries));
  return std::min({holder.wanted_slots, fair_share, holder.slots + unleased});
}

}  // namespace rattanward::policy
