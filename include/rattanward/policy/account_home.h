#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/account_portions.h"
#include "rattanward/policy/sliding_count.h"

namespace rattanward::policy {

/// Window over which requests_per_minute is counted.
inline constexpr Duration kRateWindow = std::chrono::minutes(1);
/// Time within which an entry may use granted starts, counted from the moment
/// that it made its request.
inline constexpr Duration kStartGrantLifetime = std::chrono::seconds(5);
/// Validity of a lease, counted from the request that the grant answers. After
/// it, an entry starts no further requests on leased slots.
inline constexpr Duration kLeaseDuration = std::chrono::seconds(5);
/// Time without a request from an entry after which the home reclaims its
/// slots; also the time for which a new home leases nothing. Must exceed
/// kLeaseDuration plus the run time of a request.
inline constexpr Duration kReclaimTimeout = std::chrono::minutes(2);

/// @brief The part of an account's limits that is leased on request rather than
/// divided evenly among the entries.
struct LeasePool {
  /// Slots for requests in flight.
  std::uint32_t slots = 0;
  std::uint32_t starts_per_minute = 0;

  friend bool operator==(const LeasePool&, const LeasePool&) = default;
};

/// @brief Leases portions of account limits to the entries that request them.
/// @note A slot counts as leased until its entry reports it free or is not
/// heard from for kReclaimTimeout. Lost and late messages therefore only make
/// the home lease too little.
class AccountHome {
 public:
  /// @param started When this process became a home. Leases granted before that
  /// are unknown to it, so it leases nothing for kReclaimTimeout unless
  /// `fresh`.
  /// @param fresh Whether no earlier lease can exist.
  AccountHome(TimePoint started, bool fresh);

  /// @brief Handles a portion request of an entry.
  /// @param pool The leasable part of the account's limits.
  /// @return The grant; its sequence is 0 if the request is stale.
  PortionGrant Answer(const PortionRequest& request, const LeasePool& pool,
                      TimePoint now);

  /// @brief Drops entries not heard from, and accounts without a holder or a
  /// recent start.
  void Expire(TimePoint now);

  std::size_t ActiveAccounts() const { return accounts_.size(); }

 private:
  /// Latest request of one entry for one account.
  struct Holder {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Slots that the entry may be using.
    std::uint32_t slots = 0;
    std::uint32_t wanted_slots = 0;
    TimePoint last_request_at;
  };
  struct Account {
    std::map<ProcessId, Holder> holders;
    /// Granted starts. The window covers a start used as late as possible.
    SlidingCount starts{kRateWindow + kStartGrantLifetime};
  };

  /// Slots to lease to a holder: all that it wants if the pool covers the
  /// demand of all holders, else an equal share; never more than are free.
  static std::uint32_t SlotsFor(const Account& account, const Holder& holder,
                                std::uint32_t pool);

  /// Before this time, held slots are only confirmed.
  TimePoint leases_from_;
  std::unordered_map<ClientAccountId, Account> accounts_;
};

}  // namespace rattanward::policy
