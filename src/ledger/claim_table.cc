#include "rattanward/ledger/claim_table.h"

#include <algorithm>

namespace rattanward::ledger {
namespace {

bool IsReleased(const Claim& claim, const AttemptId& attempt) {
  return std::find(claim.released_attempts.begin(),
                   claim.released_attempts.end(),
                   attempt) != claim.released_attempts.end();
}

void AddReleased(Claim& claim, const AttemptId& attempt) {
  if (IsReleased(claim, attempt)) {
    return;
  }
  if (claim.released_attempts.size() == kMaxReleasedAttempts) {
    claim.released_attempts.erase(claim.released_attempts.begin());
  }
  claim.released_attempts.push_back(attempt);
}

Outcome OutcomeForHeldClaim(const Claim& claim, const ClaimBegin& command) {
  if (claim.body_hash != command.body_hash) {
    return Refused{
        ErrorCode::kIdempotencyKeyReused,
        "the idempotency key was already used with another request body"};
  }
  if (claim.phase != ClaimPhase::kRunning) {
    return ClaimStored{claim.outcome};
  }
  if (claim.attempt == command.attempt) {
    return ClaimTaken{claim.attempt};
  }
  return ClaimRunning{claim.owner};
}

}  // namespace

Outcome ClaimTable::Begin(const ClaimBegin& command, LogTime now) {
  Claim* claim = FindMutable(command.claim);
  if (claim == nullptr && claims_.size() >= kMaxClaims) {
    return Refused{ErrorCode::kTooManyOpenRequests,
                   "the ledger has reached its limit of idempotency keys"};
  }
  if (claim != nullptr && IsReleased(*claim, command.attempt)) {
    return Refused{ErrorCode::kCommandIdReused,
                   "the attempt was released and may not take the claim"};
  }
  if (claim != nullptr && claim->phase != ClaimPhase::kReleased) {
    return OutcomeForHeldClaim(*claim, command);
  }
  if (claim == nullptr) {
    claim = &claims_[command.claim];
  }
  claim->body_hash = command.body_hash;
  claim->owner = command.owner;
  claim->attempt = command.attempt;
  claim->phase = ClaimPhase::kRunning;
  claim->window = command.window;
  ResetExpiry(command.claim, *claim, now);
  return ClaimTaken{command.attempt};
}

Outcome ClaimTable::Release(const ClaimRelease& command, LogTime now) {
  Claim* claim = FindMutable(command.claim);
  if (claim == nullptr) {
    // The attempt's claim may be committed after this release. The record bars
    // the attempt, so that it can't take the key then.
    if (claims_.size() >= kMaxClaims) {
      return Refused{ErrorCode::kTooManyOpenRequests,
                     "the ledger has reached its limit of idempotency keys"};
    }
    claim = &claims_[command.claim];
    claim->phase = ClaimPhase::kReleased;
    claim->window = command.window;
  }
  const bool holds = claim->attempt == command.attempt;
  if (holds && claim->phase == ClaimPhase::kFinished) {
    return Refused{ErrorCode::kOutcomeUnknown,
                   "the claim can't be released: the attempt has finished it"};
  }
  if (holds) {
    claim->phase = ClaimPhase::kReleased;
    claim->outcome = StoredOutcome();
  }
  AddReleased(*claim, command.attempt);
  ResetExpiry(command.claim, *claim, now);
  return Done{};
}

Outcome ClaimTable::Finish(const ClaimFinish& command, LogTime now) {
  Claim* claim = FindMutable(command.claim);
  if (claim == nullptr || claim->phase == ClaimPhase::kReleased ||
      claim->attempt != command.attempt) {
    return Refused{ErrorCode::kOutcomeUnknown,
                   "the claim can't be finished: the attempt does not hold it"};
  }
  if (claim->phase == ClaimPhase::kFinished) {
    return Done{};
  }
  claim->phase = ClaimPhase::kFinished;
  StoreOutcome(*claim, command.outcome);
  ResetExpiry(command.claim, *claim, now);
  return Done{};
}

Outcome ClaimTable::Abandon(const ClaimsAbandon& command, LogTime now) {
  for (auto& [key, claim] : claims_) {
    if (claim.phase == ClaimPhase::kRunning && claim.owner == command.owner) {
      claim.phase = ClaimPhase::kAbandoned;
      claim.outcome = StoredOutcome();
      claim.outcome.verdict = Verdict::kMayHaveRun;
      ResetExpiry(key, claim, now);
    }
  }
  return Done{};
}

void ClaimTable::Expire(LogTime now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const ClaimKey key = by_expiry_.begin()->second;
    by_expiry_.erase(by_expiry_.begin());
    const auto it = claims_.find(key);
    stored_bytes_ -= it->second.outcome.body.size();
    claims_.erase(it);
  }
}

const Claim* ClaimTable::Find(const ClaimKey& key) const {
  const auto it = claims_.find(key);
  return it == claims_.end() ? nullptr : &it->second;
}

void ClaimTable::Restore(std::map<ClaimKey, Claim> claims) {
  claims_ = std::move(claims);
  by_expiry_.clear();
  stored_bytes_ = 0;
  for (const auto& [key, claim] : claims_) {
    by_expiry_.insert({claim.expires, key});
    stored_bytes_ += claim.outcome.body.size();
  }
}

Claim* ClaimTable::FindMutable(const ClaimKey& key) {
  const auto it = claims_.find(key);
  return it == claims_.end() ? nullptr : &it->second;
}

void ClaimTable::ResetExpiry(const ClaimKey& key, Claim& claim, LogTime now) {
  by_expiry_.erase({claim.expires, key});
  const auto window = static_cast<std::uint64_t>(claim.window.count());
  claim.expires = LogTime{now.value + window};
  by_expiry_.insert({claim.expires, key});
}

void ClaimTable::StoreOutcome(Claim& claim, StoredOutcome outcome) {
  if (!outcome.has_body ||
      stored_bytes_ + outcome.body.size() > kMaxTotalStoredBodyBytes) {
    outcome.has_body = false;
    outcome.body.clear();
  }
  stored_bytes_ += outcome.body.size();
  claim.outcome = std::move(outcome);
}

}  // namespace rattanward::ledger
