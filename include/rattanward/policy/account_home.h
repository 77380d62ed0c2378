#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/account_portions.h"
#include "rattanward/policy/sliding_count.h"

namespace rattanward::policy {

/// Window of requests_per_minute.
inline constexpr Duration kRateWindow = std::chrono::minutes(1);
/// Time in which an entry may spend granted starts, from its request on.
inline constexpr Duration kStartGrantLifetime = std::chrono::seconds(5);
/// Time without a grant after which an entry starts nothing on leased places.
inline constexpr Duration kLeaseDuration = std::chrono::seconds(5);
/// Time without news after which a home takes an entry's places back, and for
/// which a new home leases nothing: longer than kLeaseDuration and a request's
/// run.
inline constexpr Duration kReclaimTimeout = std::chrono::minutes(2);

/// @brief What of an account's limits is leased rather than shared evenly.
struct LeasePool {
  std::uint32_t slots = 0;
  std::uint32_t starts_per_minute = 0;

  friend bool operator==(const LeasePool&, const LeasePool&) = default;
};

/// @brief Leases portions of accounts' limits to the entries that ask.
/// @note A place counts as an entry's until that entry says that it is free,
/// so lost and late messages only make the home lease too little.
class AccountHome {
 public:
  /// @param started When this process became a home: it knows nothing of
  /// older leases and hands nothing out for kReclaimTimeout, unless nothing was
  /// leased before.
  /// @param fresh Whether nothing can have been leased before.
  AccountHome(TimePoint started, bool fresh);

  /// @brief Answers a request.
  /// @param request The entry's request.
  /// @param pool What of the account's limits is leased.
  /// @param now The current moment.
  PortionGrant Answer(const PortionRequest& request, const LeasePool& pool,
                      TimePoint now);

  /// @brief Forgets accounts that nobody holds a portion of.
  void Expire(TimePoint now);

  std::size_t ActiveAccounts() const { return accounts_.size(); }

 private:
  struct Holder {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    std::uint32_t wanted_slots = 0;
    TimePoint last_request_at;
  };
  struct Account {
    std::map<ProcessId, Holder> holders;
    SlidingCount starts{kRateWindow + kStartGrantLifetime};
  };

  static std::uint32_t SlotsFor(const Account& account, const Holder& holder,
                                std::uint32_t pool);

  TimePoint leases_from_;
  std::unordered_map<ClientAccountId, Account> accounts_;
};

}  // namespace rattanward::policy
