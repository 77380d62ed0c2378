#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/ledger/commands.h"

namespace rattanward::ledger {

/// @brief The claim that a request needs before it may be sent upstream.
struct ClaimRequest {
  ClaimKey claim;
  std::string body_hash;
  /// How long the ledger keeps the key after its last change, in log time.
  Duration window{0};

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// @brief The attempt holds the claim.
/// @note StartSending() must still allow it before the first byte goes out.
struct ClaimGranted {
  friend bool operator==(const ClaimGranted&, const ClaimGranted&) = default;
};

/// @brief The key was used before; the caller gets the stored outcome.
struct ClaimReplayed {
  StoredOutcome outcome;

  friend bool operator==(const ClaimReplayed&, const ClaimReplayed&) = default;
};

/// @brief The claim was denied; the caller gets the error and this attempt is
/// never sent.
struct ClaimDenied {
  Error error;

  friend bool operator==(const ClaimDenied&, const ClaimDenied&) = default;
};

using ClaimDecision = std::variant<ClaimGranted, ClaimReplayed, ClaimDenied>;

/// @brief A command that the entry must propose to the ledger now.
struct ClaimProposal {
  AttemptId attempt;
  Command command;

  friend bool operator==(const ClaimProposal&, const ClaimProposal&) = default;
};

/// @brief Timeouts and limits of a ClaimHolder.
struct ClaimHolderOptions {
  /// Time to wait for a claim's outcome before the attempt is denied.
  Duration claim_timeout{std::chrono::milliseconds(1500)};
  /// Time after which an unconfirmed command is sent again.
  Duration resend_interval{std::chrono::milliseconds(400)};
  /// Retry-After value for denied callers.
  Duration retry_after{std::chrono::seconds(1)};
  /// Largest number of open attempts.
  std::size_t max_open_attempts = 4096;

  friend bool operator==(const ClaimHolderOptions&,
                         const ClaimHolderOptions&) = default;
};

/// @brief Decides at one entry which attempts may be sent upstream, so that
/// each idempotency key runs at most once.
/// @note Does no I/O and reads no clock. Each attempt gets exactly one
/// decision, from HandleProposalResult() or Tick().
/// @note The claim of a denied attempt may have been committed without the
/// entry learning of it. The holder therefore proposes the release of such an
/// attempt until the ledger confirms it. The claim of a sent attempt is
/// released only if the attempt is known not to have run.
class ClaimHolder {
 public:
  /// @param owner This process.
  /// @param incarnation Differs at each start of the process, so that attempt
  /// ids are not reused after a restart.
  ClaimHolder(ProcessId owner, const std::string& incarnation,
              ClaimHolderOptions options = {});

  /// @brief Opens an attempt, whose claim TakeProposals() then returns.
  /// @return The id of the new attempt.
  /// Errors: kTooManyOpenRequests if `max_open_attempts` are open.
  Result<AttemptId> Begin(const ClaimRequest& request, TimePoint now);

  /// @brief Returns the commands to propose now: new ones and those that were
  /// not confirmed within the resend interval.
  std::vector<ClaimProposal> TakeProposals(TimePoint now);

  /// @brief Handles the result of one proposal.
  /// @param attempt The attempt that the proposal belongs to.
  /// @param result The ledger's outcome, or the error if there is none. An
  /// error with the verdict not-run, other than kOutcomeUnknown, means that
  /// the command did not reach the log and never will.
  /// @return The attempt's decision, if this result led to it; else empty.
  std::vector<std::pair<AttemptId, ClaimDecision>> HandleProposalResult(
      const AttemptId& attempt, const Result<Outcome>& result, TimePoint now);

  /// @brief Denies the attempts that got no decision within the claim timeout.
  /// @return The decisions that were made.
  std::vector<std::pair<AttemptId, ClaimDecision>> Tick(TimePoint now);

  /// @brief Marks a granted attempt as sent; call it right before the first
  /// byte goes upstream.
  /// @return Whether the attempt may be sent: true at most once for each
  /// attempt. It is false, and the claim is released, if the attempt is so old
  /// that the ledger may have dropped the key.
  bool StartSending(const AttemptId& attempt, TimePoint now);

  /// @brief Releases the claim of a granted attempt that was not sent.
  /// @note Does nothing once StartSending() has returned true.
  void ReleaseUnsent(const AttemptId& attempt, TimePoint now);

  /// @brief Releases the claim of an attempt that is known not to have run.
  /// @note That is so if it was not sent, if no connection was made, or if the
  /// upstream's declared contract says that its refusal means not run.
  void ReleaseNotRun(const AttemptId& attempt, TimePoint now);

  /// @brief Records how a sent attempt ended and proposes to store it.
  void Finish(const AttemptId& attempt, StoredOutcome outcome, TimePoint now);

  /// @brief Number of attempts that are undecided, running, or not yet
  /// confirmed by the ledger as released or finished.
  std::size_t open() const { return attempts_.size(); }

 private:
  enum class Phase : std::uint8_t {
    kClaiming,
    kGranted,
    kSent,
    kReleasing,
    kFinishing
  };
  struct Attempt {
    ClaimRequest request;
    Phase phase = Phase::kClaiming;
    TimePoint begun;
    TimePoint next_send;
    /// Proposals of the claim that may have reached the log.
    std::uint32_t possibly_logged_sends = 0;
    StoredOutcome outcome;
  };
  using Attempts = std::map<AttemptId, Attempt>;

  Command CommandFor(const AttemptId& id, const Attempt& attempt) const;
  ClaimDecision Decide(Attempts::iterator it, const Outcome& outcome,
                       TimePoint now);
  ClaimDecision Deny(Attempts::iterator it, const Error& error, TimePoint now);
  void ScheduleRelease(Attempt& attempt, TimePoint now);
  Error RetryableError(ErrorCode code, const std::string& message) const;

  ProcessId owner_;
  std::string attempt_id_prefix_;
  ClaimHolderOptions options_;
  std::uint64_t next_attempt_number_ = 1;
  Attempts attempts_;
};

}  // namespace rattanward::ledger
