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

/// @brief Claims remembered at once; further keys are refused as not run.
inline constexpr std::size_t kMaxClaims = 200'000;
/// @brief Bytes of answers kept over all claims; later ones keep no body.
inline constexpr std::size_t kMaxTotalStoredBodyBytes = 32U << 20U;
/// @brief Released attempts remembered for each key; the oldest go first.
inline constexpr std::size_t kMaxReleasedAttempts = 64;

/// @brief Where a claim stands.
enum class ClaimPhase : std::uint8_t {
  /// Its attempt may send, or has sent, the request.
  kRunning,
  /// Its attempt never sent a byte; the key may be claimed anew.
  kReleased,
  /// Its outcome is known.
  kFinished,
  /// Its entry restarted, so it may have run; no other attempt may run it.
  kAbandoned,
};

/// @brief One remembered idempotency key.
struct Claim {
  std::string body_hash;
  ProcessId owner;
  AttemptId attempt;
  ClaimPhase phase = ClaimPhase::kRunning;
  StoredOutcome outcome;
  /// Attempts that must never take the claim, oldest first.
  std::vector<AttemptId> released_attempts;
  Duration window{0};
  /// Log time at which the key is forgotten.
  LogTime expires;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// @brief At-most-once bookkeeping: at most one attempt runs each key.
/// @note Deterministic; claims have no lease, they end by their own attempt
/// or by the declared window in log time.
class ClaimTable {
 public:
  /// @brief Takes the claim, or tells what became of it.
  /// @return ClaimTaken, ClaimRunning, ClaimStored or Refused.
  /// Complexity: logarithmic in the number of claims.
  Outcome Begin(const ClaimBegin& command, LogTime now);

  /// @brief Bars the attempt for good; frees the claim if the attempt held it.
  /// @return Done, or Refused if the attempt has finished the claim.
  Outcome Release(const ClaimRelease& command, LogTime now);

  /// @brief Stores the outcome of the attempt that holds the claim.
  /// @return Done, or Refused if the attempt does not hold it.
  Outcome Finish(const ClaimFinish& command, LogTime now);

  /// @brief Marks every running claim of the owner as may-have-run.
  /// Complexity: linear in the number of claims.
  Outcome Abandon(const ClaimsAbandon& command, LogTime now);

  /// @brief Forgets the claims whose window has passed.
  void Expire(LogTime now);

  /// @brief The claim of this key, or null.
  const Claim* Find(const ClaimKey& key) const;
  std::size_t size() const { return claims_.size(); }

  /// @brief Every claim, for the snapshot.
  const std::map<ClaimKey, Claim>& claims() const { return claims_; }
  /// @brief Replaces the content by what claims() gave.
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
