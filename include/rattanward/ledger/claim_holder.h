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

/// @brief What a caller's request needs claimed.
struct ClaimRequest {
  ClaimKey claim;
  std::string body_hash;
  /// How long the key is remembered, in log time.
  Duration window{0};

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// @brief The attempt holds the claim; ask StartSending() before it is sent.
struct ClaimGranted {
  friend bool operator==(const ClaimGranted&, const ClaimGranted&) = default;
};

/// @brief The caller gets this stored outcome.
struct ClaimReplayed {
  StoredOutcome outcome;

  friend bool operator==(const ClaimReplayed&, const ClaimReplayed&) = default;
};

/// @brief The caller gets this error; this attempt will never run.
struct ClaimDenied {
  Error error;

  friend bool operator==(const ClaimDenied&, const ClaimDenied&) = default;
};

using ClaimDecision = std::variant<ClaimGranted, ClaimReplayed, ClaimDenied>;

/// @brief A command that the entry is to propose now.
struct ClaimProposal {
  AttemptId attempt;
  Command command;

  friend bool operator==(const ClaimProposal&, const ClaimProposal&) = default;
};

/// @brief Timing of a claim holder.
struct ClaimHolderOptions {
  /// Longest wait for a claim before the caller is told not run.
  Duration claim_timeout{std::chrono::milliseconds(1500)};
  /// Time between two sendings of one command.
  Duration resend_interval{std::chrono::milliseconds(400)};
  /// What a denied caller is told to wait.
  Duration retry_after{std::chrono::seconds(1)};
  /// Attempts that may be open at once.
  std::size_t max_open_attempts = 4096;

  friend bool operator==(const ClaimHolderOptions&,
                         const ClaimHolderOptions&) = default;
};

/// @brief One entry's side of at most once: which attempts may be sent.
/// @note Pure. Each attempt gets exactly one decision, from Answer() or
/// Tick(). An attempt that was denied is released until that is confirmed, so
/// a claim whose commit was not heard of is freed; one that was sent never is.
class ClaimHolder {
 public:
  /// @param owner This process.
  /// @param boot Differs at each start of the process.
  ClaimHolder(ProcessId owner, const std::string& incarnation,
              ClaimHolderOptions options = {});

  /// @brief Opens an attempt; TakeProposals() then gives its claim.
  /// Errors: kTooManyOpenRequests.
  Result<AttemptId> Begin(const ClaimRequest& request, TimePoint now);

  /// @brief Commands that are due, the first sendings and the resends.
  std::vector<ClaimProposal> TakeProposals(TimePoint now);

  /// @brief Takes the answer to one proposal.
  /// @param attempt The attempt of the proposal.
  /// @param answer The ledger's outcome, or why there is none; the verdict
  /// not-run means that the command surely never reached the log.
  /// @return The attempt's decision, if this made it.
  std::vector<std::pair<AttemptId, ClaimDecision>> HandleProposalResult(
      const AttemptId& attempt, const Result<Outcome>& result, TimePoint now);

  /// @brief Denies the attempts whose claim was not answered in time.
  std::vector<std::pair<AttemptId, ClaimDecision>> Tick(TimePoint now);

  /// @brief To be asked right before the first byte goes upstream.
  /// @return True once, for a granted attempt whose claim is surely still
  /// remembered; else it must not be sent, and is released.
  bool StartSending(const AttemptId& attempt, TimePoint now);

  /// @brief Gives up a granted attempt that was never sent; ignored after
  /// StartSending().
  void ReleaseUnsent(const AttemptId& attempt, TimePoint now);

  /// @brief Frees the claim of an attempt of which it is sure that it never
  /// ran: not sent, no connection, or a refusal that is declared as not run.
  void ReleaseNotRun(const AttemptId& attempt, TimePoint now);

  /// @brief Stores how a sent attempt ended.
  void Finish(const AttemptId& attempt, StoredOutcome outcome, TimePoint now);

  /// @brief Attempts with something left to do; 0 once all is flushed.
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
    /// Sendings of the claim that may have reached the log.
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
