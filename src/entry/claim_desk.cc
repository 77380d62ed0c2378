#include "rattanward/entry/claim_desk.h"

#include <asio/post.hpp>
#include <utility>

#include "rattanward/policy/stop_error.h"

namespace rattanward::entry {
namespace {

constexpr auto kFlushPeriod = std::chrono::milliseconds(10);
constexpr auto kProposeTimeout = std::chrono::milliseconds(400);
constexpr auto kAbandonRetryDelay = std::chrono::milliseconds(300);

Result<ledger::Outcome> DecodeProposalResult(
    const Result<std::string>& answer) {
  if (!answer) {
    return answer.error();
  }
  return ledger::DecodeOutcome(answer.value());
}

Error AlreadyRanError(const ledger::StoredOutcome& stored) {
  return MakeError(ErrorCode::kAlreadyRan,
                   stored.verdict == Verdict::kRan
                       ? "a request with this idempotency key has run, but its "
                         "response was not stored"
                       : "a request with this idempotency key may have run",
                   stored.verdict);
}

SendPermission ToPermission(const ledger::ClaimDecision& decision) {
  if (const auto* denied = std::get_if<ledger::ClaimDenied>(&decision)) {
    return denied->error;
  }
  if (const auto* replayed = std::get_if<ledger::ClaimReplayed>(&decision)) {
    const ledger::StoredOutcome& stored = replayed->outcome;
    if (!stored.has_body) {
      return AlreadyRanError(stored);
    }
    return BufferedResponse{stored.status, stored.content_type, stored.body};
  }
  return MaySend{};
}

}  // namespace

/// Holds the claim of one request from its first attempt until it ends.
class ClaimCoordinator::ClaimGuard
    : public RunGuard,
      public std::enable_shared_from_this<ClaimGuard> {
 public:
  ClaimGuard(ClaimCoordinator& coordinator, ledger::ClaimRequest claim,
             std::size_t max_stored_bytes)
      : coordinator_(coordinator),
        claim_(std::move(claim)),
        max_stored_bytes_(max_stored_bytes) {}

  void BeforeSend(PermissionSink sink) override {
    if (sending_) {
      sink(MaySend{});
      return;
    }
    decided_ = false;
    attempt_ = coordinator_.Begin(
        claim_, [self = shared_from_this(), sink = std::move(sink)](
                    const ledger::ClaimDecision& decision) {
          sink(self->HandleDecision(decision));
        });
  }

  void Ended(Verdict verdict, const BufferedResponse* answer) override {
    if (!attempt_) {
      return;
    }
    if (!decided_) {
      // Nothing was sent; HandleDecision() frees the claim.
      ended_ = true;
      return;
    }
    const TimePoint now = EntryCore::Now();
    const ledger::StoredOutcome outcome = Outcome(verdict, answer);
    if (outcome.verdict == Verdict::kNotRun) {
      coordinator_.holder_.ReleaseNotRun(*attempt_, now);
    } else {
      coordinator_.holder_.Finish(*attempt_, outcome, now);
    }
    coordinator_.Flush(now);
  }

 private:
  SendPermission HandleDecision(const ledger::ClaimDecision& decision) {
    decided_ = true;
    SendPermission permission = ToPermission(decision);
    if (!std::holds_alternative<MaySend>(permission)) {
      attempt_.reset();
      return permission;
    }
    if (ended_) {
      coordinator_.holder_.ReleaseUnsent(*attempt_, EntryCore::Now());
      attempt_.reset();
      return policy::StopError(Verdict::kNotRun);
    }
    sending_ = coordinator_.holder_.StartSending(*attempt_, EntryCore::Now());
    if (!sending_) {
      attempt_.reset();
      return MakeError(
          ErrorCode::kNoQuorum,
          "the claim was granted too late in its window, so the request was "
          "not sent");
    }
    return permission;
  }

  ledger::StoredOutcome Outcome(Verdict verdict,
                                const BufferedResponse* answer) const {
    ledger::StoredOutcome outcome;
    outcome.verdict = verdict;
    if (answer != nullptr) {
      outcome.status = static_cast<std::uint16_t>(answer->status);
      outcome.content_type = answer->content_type;
      outcome.has_body = answer->body.size() <= max_stored_bytes_;
      outcome.body = outcome.has_body ? answer->body : std::string();
    }
    return outcome;
  }

  ClaimCoordinator& coordinator_;
  ledger::ClaimRequest claim_;
  std::size_t max_stored_bytes_;
  std::optional<AttemptId> attempt_;
  bool sending_ = false;
  /// The ledger has decided on the claim.
  bool decided_ = false;
  /// The request ended before that.
  bool ended_ = false;
};

ClaimCoordinator::ClaimCoordinator(EntryCore& core,
                                   adapter::ControlClient& control,
                                   ProcessId owner, const std::string& boot_id)
    : core_(core),
      control_(control),
      owner_(std::move(owner)),
      holder_(owner_, boot_id),
      timers_(core.context()) {}

void ClaimCoordinator::Start() {
  AbandonPriorClaims();
  timers_.Every(kFlushPeriod, [this](TimePoint now) { Flush(now); });
}

std::shared_ptr<RunGuard> ClaimCoordinator::MakeGuard(
    ledger::ClaimRequest claim, std::size_t max_stored_bytes) {
  return std::make_shared<ClaimGuard>(*this, std::move(claim),
                                      max_stored_bytes);
}

/// If the claim holder rejects the claim at once, the denial is posted to the
/// event loop, so that the guard has stored the empty attempt id before the
/// callback runs.
std::optional<AttemptId> ClaimCoordinator::Begin(
    const ledger::ClaimRequest& claim, DecisionCallback callback) {
  const auto id = holder_.Begin(claim, EntryCore::Now());
  if (!id) {
    asio::post(core_.context(), [callback = std::move(callback),
                                 denied = ledger::ClaimDenied{id.error()}] {
      callback(denied);
    });
    return std::nullopt;
  }
  pending_callbacks_[id.value()] = std::move(callback);
  asio::post(core_.context(), [this] { Flush(EntryCore::Now()); });
  return id.value();
}

void ClaimCoordinator::Flush(TimePoint now) {
  DeliverDecisions(holder_.Tick(now));
  if (prior_claims_abandoned_) {
    for (const ledger::ClaimProposal& proposal : holder_.TakeProposals(now)) {
      control_.ProposeAsync(
          ledger::Encode(proposal.command), kProposeTimeout,
          [this,
           attempt = proposal.attempt](const Result<std::string>& answer) {
            DeliverDecisions(holder_.HandleProposalResult(
                attempt, DecodeProposalResult(answer), EntryCore::Now()));
          });
    }
  }
}

void ClaimCoordinator::AbandonPriorClaims() {
  control_.ProposeAsync(
      ledger::Encode(ledger::Command(ledger::ClaimsAbandon{owner_})),
      kProposeTimeout, [this](const Result<std::string>& answer) {
        if (answer) {
          prior_claims_abandoned_ = true;
          return;
        }
        timers_.After(kAbandonRetryDelay,
                      [this](TimePoint) { AbandonPriorClaims(); });
      });
}

void ClaimCoordinator::DeliverDecisions(const Decisions& decisions) {
  for (const auto& [attempt, decision] : decisions) {
    const auto it = pending_callbacks_.find(attempt);
    if (it != pending_callbacks_.end()) {
      const DecisionCallback callback = std::move(it->second);
      pending_callbacks_.erase(it);
      callback(decision);
    }
  }
}

}  // namespace rattanward::entry
