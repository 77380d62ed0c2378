#include "rattanward/ledger/claim_holder.h"

namespace rattanward::ledger {

ClaimHolder::ClaimHolder(ProcessId owner, const std::string& boot,
                         ClaimHolderOptions options)
    : owner_(std::move(owner)),
      prefix_(owner_.str() + "/" + boot + "/"),
      options_(options) {}

Result<AttemptId> ClaimHolder::Begin(const ClaimRequest& request,
                                     TimePoint now) {
  if (attempts_.size() >= options_.max_open) {
    return RetryError(ErrorCode::kTooManyOpenRequests,
                      "too many claims are open at this entry");
  }
  const AttemptId id(prefix_ + std::to_string(next_++));
  Attempt attempt;
  attempt.request = request;
  attempt.begun = now;
  attempt.next_send = now;
  attempts_.emplace(id, std::move(attempt));
  return id;
}

Command ClaimHolder::CommandFor(const AttemptId& id,
                                const Attempt& attempt) const {
  const ClaimRequest& request = attempt.request;
  switch (attempt.phase) {
    case Phase::kReleasing:
      return ClaimRelease{request.claim, id, request.window};
    case Phase::kFinishing:
      return ClaimFinish{request.claim, id, attempt.outcome};
    default:
      return ClaimBegin{request.claim, request.body_hash, id, owner_,
                        request.window};
  }
}

std::vector<ClaimProposal> ClaimHolder::TakeProposals(TimePoint now) {
  std::vector<ClaimProposal> due;
  for (auto& [id, attempt] : attempts_) {
    const bool idle =
        attempt.phase == Phase::kGranted || attempt.phase == Phase::kSent;
    if (idle || now < attempt.next_send) {
      continue;
    }
    attempt.next_send = now + options_.resend_after;
    attempt.unsure_sends += attempt.phase == Phase::kClaiming ? 1 : 0;
    due.push_back({id, CommandFor(id, attempt)});
  }
  return due;
}

std::vector<std::pair<AttemptId, ClaimDecision>> ClaimHolder::Answer(
    const AttemptId& id, const Result<Outcome>& answer, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) {
    return {};
  }
  Attempt& attempt = it->second;
  if (attempt.phase == Phase::kClaiming) {
    if (answer) {
      return {{id, Decide(it, answer.value(), now)}};
    }
    const Error& error = answer.error();
    const bool never_logged = error.verdict == Verdict::kNotRun &&
                              error.code != ErrorCode::kOutcomeUnknown;
    if (never_logged && attempt.unsure_sends > 0) {
      --attempt.unsure_sends;
    }
    if (error.code == ErrorCode::kNoQuorum) {
      return {{id, Deny(it, error, now)}};
    }
    return {};
  }
  // Late answers to the claim itself are told apart by their kind.
  const bool confirmed =
      answer && (std::holds_alternative<Done>(answer.value()) ||
                 std::holds_alternative<Refused>(answer.value()));
  const bool waits =
      attempt.phase == Phase::kReleasing || attempt.phase == Phase::kFinishing;
  if (confirmed && waits) {
    attempts_.erase(it);
  }
  return {};
}

ClaimDecision ClaimHolder::Decide(Attempts::iterator it, const Outcome& outcome,
                                  TimePoint now) {
  if (std::holds_alternative<ClaimTaken>(outcome)) {
    it->second.phase = Phase::kGranted;
    return ClaimGranted{};
  }
  if (const auto* stored = std::get_if<ClaimStored>(&outcome)) {
    attempts_.erase(it);
    return ClaimAnswered{stored->outcome};
  }
  Error error = RetryError(ErrorCode::kAlreadyRunning,
                           "the same idempotency key is running");
  if (const auto* refused = std::get_if<Refused>(&outcome)) {
    error = MakeError(refused->code, refused->message);
  }
  // An earlier sending of this claim may still arrive and then take it.
  return Deny(it, error, now);
}

ClaimDecision ClaimHolder::Deny(Attempts::iterator it, const Error& error,
                                TimePoint now) {
  Error told = error;
  told.verdict = Verdict::kNotRun;
  if (error.code == ErrorCode::kNoQuorum) {
    told.retry_after = options_.retry_after;
  }
  if (it->second.unsure_sends == 0) {
    attempts_.erase(it);
  } else {
    Release(it->second, now);
  }
  return ClaimDenied{told};
}

void ClaimHolder::Release(Attempt& attempt, TimePoint now) {
  attempt.phase = Phase::kReleasing;
  attempt.next_send = now;
}

std::vector<std::pair<AttemptId, ClaimDecision>> ClaimHolder::Tick(
    TimePoint now) {
  std::vector<std::pair<AttemptId, ClaimDecision>> decisions;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    const auto current = it++;
    if (current->second.phase == Phase::kClaiming &&
        now - current->second.begun >= options_.claim_timeout) {
      const AttemptId id = current->first;
      decisions.emplace_back(
          id, Deny(current,
                   RetryError(ErrorCode::kNoQuorum,
                              "the claim was not confirmed in time"),
                   now));
    }
  }
  return decisions;
}

bool ClaimHolder::StartSending(const AttemptId& id, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.phase != Phase::kGranted) {
    return false;
  }
  Attempt& attempt = it->second;
  // Half of the window, as clocks run at different rates.
  if (now - attempt.begun >= attempt.request.window / 2) {
    Release(attempt, now);
    return false;
  }
  attempt.phase = Phase::kSent;
  return true;
}

void ClaimHolder::Abandon(const AttemptId& id, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && it->second.phase == Phase::kGranted) {
    Release(it->second, now);
  }
}

void ClaimHolder::NeverRan(const AttemptId& id, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && (it->second.phase == Phase::kGranted ||
                                it->second.phase == Phase::kSent)) {
    Release(it->second, now);
  }
}

void ClaimHolder::Finish(const AttemptId& id, StoredOutcome outcome,
                         TimePoint now) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && it->second.phase == Phase::kSent) {
    it->second.phase = Phase::kFinishing;
    it->second.outcome = std::move(outcome);
    it->second.next_send = now;
  }
}

Error ClaimHolder::RetryError(ErrorCode code,
                              const std::string& message) const {
  Error error = MakeError(code, message);
  error.retry_after = options_.retry_after;
  return error;
}

}  // namespace rattanward::ledger
