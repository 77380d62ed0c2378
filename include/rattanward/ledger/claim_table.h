#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/ledger/commands.h"

namespace rattanward::ledger {

/// @brief Largest number of claims kept; further keys are refused as not run.
inline constexpr std::size_t kMaxClaims = 200'000;
/// @brief Largest total of response bodies kept, in bytes; a response beyond it
/// is stored without its body.
inline constexpr std::size_t kMaxTotalStoredBodyBytes = 32U << 20U;
/// @brief Released attempts kept for each key; the oldest is evicted first.
inline constexpr std::size_t kMaxReleasedAttempts = 64;

/// @brief State of a claim.
enum class ClaimPhase : std::uint8_t {
  /// An attempt holds it, and may send or has sent the request.
  kRunning,
  /// The request did not run; another attempt may take the claim.
  kReleased,
  /// The outcome is stored.
  kFinished,
  /// The owner restarted, so the request may have run. No other attempt may
  /// run it; its own attempt can still finish or release it.
  kAbandoned,
};

/// @brief Record of one idempotency key.
struct Claim {
  std::string body_hash;
  ProcessId owner;
  AttemptId attempt;
  ClaimPhase phase = ClaimPhase::kRunning;
  StoredOutcome outcome;
  /// Attempts that may not take the claim any more, oldest first.
  std::vector<AttemptId> released_attempts;
  Duration window{0};
  /// Log time at which the record is removed.
  LogTime expires;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// @brief Records of idempotency keys, which let at most one attempt run the
/// request of each key.
/// @note Deterministic. Claims have no lease: a paused entry could wake after
/// its lease and still send. A claim ends by its own attempt, or when its
/// window passes in log time.
class ClaimTable {
 public:
  /// @brief Takes the claim for the attempt, unless the key is in use.
  /// @return ClaimTaken; ClaimRunning if another attempt holds the claim;
  /// ClaimStored if it finished or its owner restarted; Refused if the body
  /// differs, the attempt was released, or the table is full.
  /// Complexity: logarithmic in the number of claims.
  Outcome Begin(const ClaimBegin& command, LogTime now);

  /// @brief Bars the attempt from the claim, and frees the claim if the attempt
  /// holds it.
  /// @return Done, or Refused if the attempt has finished the claim or the
  /// table is full.
  /// @note The bar ends when the record expires, or when
  /// `kMaxReleasedAttempts` later releases have evicted it.
  Outcome Release(const ClaimRelease& command, LogTime now);

  /// @brief Stores the outcome of the attempt that holds the claim.
  /// @return Done, or Refused if the attempt does not hold it.
  Outcome Finish(const ClaimFinish& command, LogTime now);

  /// @brief Marks the running claims of a restarted owner as may-have-run.
  /// Complexity: linear in the number of claims.
  Outcome Abandon(const ClaimsAbandon& command, LogTime now);

  /// @brief Removes the claims whose window has passed.
  /// Complexity: logarithmic in the number of claims for each one removed.
  void Expire(LogTime now);

  /// @brief Returns the claim of the key, or null if there is none.
  const Claim* Find(const ClaimKey& key) const;
  std::size_t size() const { return claims_.size(); }

  /// @brief All claims, for a snapshot.
  const std::map<ClaimKey, Claim>& claims() const { return claims_; }
  /// @brief Replaces the content of the table.
  /// @param claims What claims() returned when the snapshot was taken.
  void Restore(std::map<ClaimKey, Claim> claims);

  friend bool operator==(const ClaimTable&, const ClaimTable&) = default;

 private:
  Claim* FindMutable(const ClaimKey& key);
  void ResetExpiry(const ClaimKey& key, Claim& claim, LogTime now);
  void StoreOutcome(Claim& claim, StoredOutcome outcome);

  std::map<ClaimKey, Claim> claims_;
  std::set<std::pair<LogTime, ClaimKey>> by_expiry_;
  std::size_t stored_bytes_ = 0;
};

}  // namespace rattanward::ledger
