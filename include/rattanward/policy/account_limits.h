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

/// @brief Enforces the limits of client accounts across all entries.
/// @note About half of a limit is divided evenly among the entries and always
/// usable. The rest is leased by the account's home, an entry chosen by
/// rendezvous hashing. Without a group the whole limit is divided evenly. See
/// docs/design/account-limits.md.
class AccountLimits {
 public:
  /// @param entries Number of entries that share the limits while no group is
  /// set.
  explicit AccountLimits(std::uint32_t entries);

  /// @brief Replaces the declared accounts.
  void SetAccounts(const std::vector<ClientAccount>& accounts);

  /// @brief Sets the group of entries. A changed group drops all leases.
  void SetGroup(const EntryGroup& group, TimePoint now);

  /// @brief Counts a request as in flight if the account's limits allow it.
  /// @return kNone if it was counted or the account has no limits.
  /// Complexity: constant on average.
  AccountRefusal TryStart(const ClientAccountId& account, TimePoint now);

  /// @brief Counts a request as ended.
  void End(const ClientAccountId& account);

  /// @brief Retry-after for a refused request of an account.
  Duration RetryAfter(const ClientAccountId& account, TimePoint now) const;

  /// @brief Portion requests that are due, at most one per second and account.
  /// Complexity: linear in the number of active accounts.
  /// @note Where this entry is the home itself, the request is handled
  /// directly.
  std::vector<AddressedRequest> TakeRequests(TimePoint now);

  /// @brief Drops accounts without a request in flight, a recent start or a
  /// lease.
  /// Complexity: linear in the number of active accounts.
  void Expire(TimePoint now);

  /// @brief Handles a portion request as the home of its account.
  /// @return Nothing if the request is stale, the account has no limits or this
  /// entry is not its home.
  std::optional<PortionGrant> Answer(const PortionRequest& request,
                                     TimePoint now);

  /// @brief Applies a grant. One that answers an older request is ignored.
  void ApplyGrant(const PortionGrant& grant);

  /// @brief Home of an account; empty while no group is set.
  ProcessId HomeOf(const ClientAccountId& account) const;

  /// @brief Number of accounts that state is kept for.
  std::size_t ActiveAccounts() const { return active_accounts_.size(); }

 private:
  /// Declared limits of an account; 0 is unlimited.
  struct Limit {
    std::uint32_t in_flight = 0;
    std::uint32_t per_minute = 0;
  };
  struct AccountState {
    std::uint32_t in_flight = 0;
    /// Slots leased to this entry.
    std::uint32_t leased_slots = 0;
    /// Starts counted against the even share.
    SlidingCount own_starts{kRateWindow};
    /// Granted starts that are left.
    std::uint32_t leased_starts = 0;
    TimePoint leased_starts_until;
    /// Requests refused since the last portion request.
    std::uint32_t refused_since_request = 0;
    /// Sequence of the unanswered portion request; 0 if there is none.
    std::uint64_t pending_sequence = 0;
    TimePoint requested_at;
    /// When the portion request was made that the last grant answers.
    std::optional<TimePoint> lease_start;
    /// Whether the home may still count slots as leased to this entry.
    bool home_may_hold_slots = false;
    /// Whether the last portion request held and wanted no slots.
    bool last_request_released_all = false;
  };

  bool IsIdle(AccountState* state, TimePoint now) const;
  static bool HasLease(const AccountState& state, TimePoint now);
  void RequestPortion(const ClientAccountId& account, AccountState* state,
                      const Limit& limit, TimePoint now,
                      std::vector<AddressedRequest>* out);
  std::uint32_t EntryCount() const;
  /// Part of a limit that each entry may use without a lease.
  std::uint32_t EvenShare(std::uint32_t limit) const;
  /// Part of a limit that remains after all even shares.
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
