#include "rattanward/ledger/claim_holder.h"

namespace rattanward::ledger {

ClaimHolder::ClaimHolder(ProcessId owner, const std::string& incarnation,
                         ClaimHolderOptions options)
    : owner_(std::move(owner)),
      attempt_id_prefix_(owner_.str() + "/" + incarnation + "/"),
      options_(options) {}

Result<AttemptId> ClaimHolder::Begin(const ClaimRequest& request,
                                     TimePoint now) {
  if (attempts_.size() >= options_.max_open_attempts) {
    return RetryableError(ErrorCode::kTooManyOpenRequests,
                          "the entry has reached its limit of open claims");
  }
  const AttemptId id(attempt_id_prefix_ +
                     std::to_string(next_attempt_number_++));
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
    const bool nothing_to_send =
        attempt.phase == Phase::kGranted || attempt.phase == Phase::kSent;
    if (nothing_to_send || now < attempt.next_send) {
      continue;
    }
    attempt.next_send = now + options_.resend_interval;
    attempt.possibly_logged_sends += attempt.phase == Phase::kClaiming ? 1 : 0;
    due.push_back({id, CommandFor(id, attempt)});
  }
  return due;
}

std::vector<std::pair<AttemptId, ClaimDecision>>
ClaimHolder::HandleProposalResult(const AttemptId& id,
                                  const Result<Outcome>& result,
                                  TimePoint now) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) {
    return {};
  }
  Attempt& attempt = it->second;
  if (attempt.phase == Phase::kClaiming) {
    if (result) {
      return {{id, Decide(it, result.value(), now)}};
    }
    const Error& error = result.error();
    const bool never_logged = error.verdict == Verdict::kNotRun &&
                              error.code != ErrorCode::kOutcomeUnknown;
    if (never_logged && attempt.possibly_logged_sends > 0) {
      --attempt.possibly_logged_sends;
    }
    if (error.code == ErrorCode::kNoQuorum) {
      return {{id, Deny(it, error, now)}};
    }
    return {};
  }
  // Done and Refused confirm a release or finish. The other types are late
  // results of the claim itself.
  const bool confirmed =
      result && (std::holds_alternative<Done>(result.value()) ||
                 std::holds_alternative<Refused>(result.value()));
  const bool awaiting_confirmation =
      attempt.phase == Phase::kReleasing || attempt.phase == Phase::kFinishing;
  if (confirmed && awaiting_confirmation) {
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
    return ClaimReplayed{stored->outcome};
  }
  Error error = RetryableError(
      ErrorCode::kAlreadyRunning,
      "another request with the same idempotency key is running");
  if (const auto* refused = std::get_if<Refused>(&outcome)) {
    error = MakeError(refused->code, refused->message);
  }
  // An earlier proposal of this claim may still be committed and take the key,
  // so Deny() releases the attempt if one is outstanding.
  return Deny(it, error, now);
}

ClaimDecision ClaimHolder::Deny(Attempts::iterator it, const Error& error,
                                TimePoint now) {
  Error reported = error;
  reported.verdict = Verdict::kNotRun;
  if (error.code == ErrorCode::kNoQuorum) {
    reported.retry_after = options_.retry_after;
  }
  if (it->second.possibly_logged_sends == 0) {
    attempts_.erase(it);
  } else {
    ScheduleRelease(it->second, now);
  }
  return ClaimDenied{reported};
}

void ClaimHolder::ScheduleRelease(Attempt& attempt, TimePoint now) {
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
                   RetryableError(
                       ErrorCode::kNoQuorum,
                       "the claim was not confirmed within the claim timeout"),
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
  // The window is counted in log time, which may run faster than this clock.
  // Half of the window leaves a margin for that.
  if (now - attempt.begun >= attempt.request.window / 2) {
    ScheduleRelease(attempt, now);
    return false;
  }
  attempt.phase = Phase::kSent;
  return true;
}

void ClaimHolder::ReleaseUnsent(const AttemptId& id, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && it->second.phase == Phase::kGranted) {
    ScheduleRelease(it->second, now);
  }
}

void ClaimHolder::ReleaseNotRun(const AttemptId& id, TimePoint now) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && (it->second.phase == Phase::kGranted ||
                                it->second.phase == Phase::kSent)) {
    ScheduleRelease(it->second, now);
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

Error ClaimHolder::RetryableError(ErrorCode code,
                                  const std::string& message) const {
  Error error = MakeError(code, message);
  error.retry_after = options_.retry_after;
  return error;
}

}  // namespace rattanward::ledger
