#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rattanward/domain/client_account.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/account_home.h"
#include "rattanward/policy/account_portions.h"
#include "rattanward/policy/sliding_count.h"

namespace rattanward::policy {

/// @brief Why an account may not start a request now.
enum class AccountRefusal : std::uint8_t { kNone, kInFlight, kRate };

/// @brief Holds client accounts to their limits over all entries.
/// @note Half of a limit is shared evenly and always usable; the rest is
/// leased by the account's home, which rendezvous hashing names. Without a
/// group the whole limit is shared evenly. docs/design/account-limits.md.
class AccountLimits {
 public:
  /// @param entries Entries that share the limits while no group is set.
  explicit AccountLimits(std::uint32_t entries);

  /// @brief Takes the declared accounts.
  void SetAccounts(const std::vector<ClientAccount>& accounts);

  /// @brief Takes the group of entries; leases of another group are dropped.
  void SetGroup(const EntryGroup& group, TimePoint now);

  /// @brief Counts a request in, if the account's limits allow it.
  /// @return kNone if it was counted in.
  /// Complexity: constant on average.
  AccountRefusal TryStart(const ClientAccountId& account, TimePoint now);

  /// @brief Counts a request out.
  void End(const ClientAccountId& account);

  /// @brief When a refused account should try again.
  Duration RetryAfter(const ClientAccountId& account, TimePoint now) const;

  /// @brief Requests to the homes that are due, at most one a second each.
  /// Complexity: linear in the number of active accounts.
  std::vector<AddressedRequest> TakeRequests(TimePoint now);

  /// @brief Forgets accounts without a request, a recent start or a lease.
  /// Complexity: linear in the number of active accounts.
  void Expire(TimePoint now);

  /// @brief Answers an entry's request as the home of its account.
  /// @return Nothing if the request is stale or the account is unknown.
  std::optional<PortionGrant> Answer(const PortionRequest& request,
                                     TimePoint now);

  /// @brief Takes the home's answer; one to an older request is ignored.
  void ApplyGrant(const PortionGrant& grant);

  /// @brief Home of an account; empty while no group is set.
  ProcessId HomeOf(const ClientAccountId& account) const;

  /// @brief Accounts that state is kept for.
  std::size_t ActiveAccounts() const { return active_accounts_.size(); }

 private:
  struct Limit {
    std::uint32_t in_flight = 0;
    std::uint32_t per_minute = 0;
  };
  struct AccountState {
    std::uint32_t in_flight = 0;
    /// Leased places that are this entry's.
    std::uint32_t leased_slots = 0;
    SlidingCount own_starts{kRateWindow};
    std::uint32_t leased_starts = 0;
    TimePoint leased_starts_until;
    /// Requests refused since the last request to the home.
    std::uint32_t refused_since_request = 0;
    std::uint64_t pending_sequence = 0;
    TimePoint requested_at;
    /// When the request was made that the last grant answers.
    std::optional<TimePoint> lease_start;
    /// The home may count places as ours.
    bool home_may_hold_slots = false;
    /// The last request gave everything back.
    bool last_request_released_all = false;
  };

  bool IsIdle(AccountState* state, TimePoint now) const;
  static bool HasLease(const AccountState& state, TimePoint now);
  void RequestPortion(const ClientAccountId& account, AccountState* state,
                      const Limit& limit, TimePoint now,
                      std::vector<AddressedRequest>* out);
  std::uint32_t EntryCount() const;
  std::uint32_t EvenShare(std::uint32_t limit) const;
  std::uint32_t LeasablePart(std::uint32_t limit) const;
  bool HasFreeSlot(const AccountState& state, const Limit& limit,
                   TimePoint now) const;
  bool TryTakeStart(AccountState* state, const Limit& limit,
                    TimePoint now) const;
  PortionRequest MakeRequest(const ClientAccountId& account,
                             AccountState* state, const Limit& limit,
                             TimePoint now);
  const Limit* LimitOf(const ClientAccountId& account) const;

  std::uint32_t entries_without_group_;
  EntryGroup group_;
  std::optional<AccountHome> home_;
  std::unordered_map<ClientAccountId, Limit> limits_;
  std::unordered_map<ClientAccountId, AccountState> active_accounts_;
  std::uint64_t sequence_ = 0;
};

}  // namespace rattanward::policy
