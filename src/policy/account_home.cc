#include "rattanward/policy/account_home.h"

#include <algorithm>

namespace rattanward::policy {

AccountHome::AccountHome(TimePoint started, bool fresh)
    : leases_from_(fresh ? started : started + kReclaim) {}

PortionGrant AccountHome::Answer(const PortionRequest& request,
                                 const Pool& pool, TimePoint now) {
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
  holder = {request.incarnation, request.sequence, request.held, request.wanted,
            now};
  if (now < leases_from_) {
    grant.places = request.held;
    return grant;
  }
  grant.places = PlacesFor(account, holder, pool.places);
  holder.places = std::max(holder.places, grant.places);
  const std::uint32_t spent = account.starts.Count(now);
  grant.starts = std::min(
      request.wanted_starts,
      pool.starts_per_minute - std::min(pool.starts_per_minute, spent));
  account.starts.Add(grant.starts, now);
  return grant;
}

void AccountHome::Expire(TimePoint now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    std::erase_if(it->second.holders, [now](const auto& item) {
      const Holder& holder = item.second;
      const Duration kept = holder.places == 0 ? kLease : kReclaim;
      return now - holder.heard > kept;
    });
    const bool idle =
        it->second.holders.empty() && it->second.starts.Count(now) == 0;
    it = idle ? accounts_.erase(it) : std::next(it);
  }
}

std::uint32_t AccountHome::PlacesFor(const Account& account,
                                     const Holder& holder, std::uint32_t pool) {
  std::uint32_t leased = 0;
  std::uint32_t wanted = 0;
  std::uint32_t wanting = 0;
  for (const auto& [entry, other] : account.holders) {
    leased += other.places;
    wanted += other.wanted;
    wanting += other.wanted > 0 ? 1 : 0;
  }
  const std::uint32_t spare = pool - std::min(pool, leased);
  const std::uint32_t fair = wanted <= pool
                                 ? holder.wanted
                                 : std::max(1U, pool / std::max(1U, wanting));
  return std::min({holder.wanted, fair, holder.places + spare});
}

}  // namespace rattanward::policy
