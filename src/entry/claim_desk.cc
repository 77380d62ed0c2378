#include "rattanward/entry/claim_desk.h"

#include <asio/post.hpp>
#include <utility>

namespace rattanward::entry {
namespace {

constexpr auto kFlushPeriod = std::chrono::milliseconds(10);
constexpr auto kProposeTimeout = std::chrono::milliseconds(400);
constexpr auto kAbandonRetry = std::chrono::milliseconds(300);

Result<ledger::Outcome> Decoded(const Result<std::string>& answer) {
  if (!answer) {
    return answer.error();
  }
  return ledger::DecodeOutcome(answer.value());
}

Error AlreadyRan(const ledger::StoredOutcome& stored) {
  return MakeError(ErrorCode::kAlreadyRan,
                   stored.verdict == Verdict::kRan
                       ? "the request has run; its answer was not kept"
                       : "an earlier attempt may have run",
                   stored.verdict);
}

SendPermission Permission(const ledger::ClaimDecision& decision) {
  if (const auto* denied = std::get_if<ledger::ClaimDenied>(&decision)) {
    return denied->error;
  }
  if (const auto* answered = std::get_if<ledger::ClaimReplayed>(&decision)) {
    const ledger::StoredOutcome& stored = answered->outcome;
    if (!stored.has_body) {
      return AlreadyRan(stored);
    }
    return WholeAnswer{stored.status, stored.content_type, stored.body};
  }
  return MaySend{};
}

}  // namespace

/// Holds one request's claim from its first attempt to its end.
class ClaimDesk::ClaimGuard : public RunGuard,
                              public std::enable_shared_from_this<ClaimGuard> {
 public:
  ClaimGuard(ClaimDesk& desk, ledger::ClaimRequest claim,
             std::size_t max_stored_bytes)
      : desk_(desk),
        claim_(std::move(claim)),
        max_stored_bytes_(max_stored_bytes) {}

  void BeforeSend(PermissionSink sink) override {
    if (sending_) {
      sink(MaySend{});
      return;
    }
    attempt_ =
        desk_.Begin(claim_, [self = shared_from_this(), sink = std::move(sink)](
                                const ledger::ClaimDecision& decision) {
          sink(self->Taken(decision));
        });
  }

  void Ended(Verdict verdict, const WholeAnswer* answer) override {
    if (!attempt_) {
      return;
    }
    const TimePoint now = EntryCore::Now();
    const ledger::StoredOutcome outcome = Outcome(verdict, answer);
    if (outcome.verdict == Verdict::kNotRun) {
      desk_.holder_.ReleaseNotRun(*attempt_, now);
    } else {
      desk_.holder_.Finish(*attempt_, outcome, now);
    }
    desk_.Flush(now);
  }

 private:
  SendPermission Taken(const ledger::ClaimDecision& decision) {
    SendPermission permission = Permission(decision);
    if (!std::holds_alternative<MaySend>(permission)) {
      attempt_.reset();
      return permission;
    }
    sending_ = desk_.holder_.StartSending(*attempt_, EntryCore::Now());
    if (!sending_) {
      attempt_.reset();
      return MakeError(ErrorCode::kNoQuorum, "the claim came too late");
    }
    return permission;
  }

  ledger::StoredOutcome Outcome(Verdict verdict,
                                const WholeAnswer* answer) const {
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

  ClaimDesk& desk_;
  ledger::ClaimRequest claim_;
  std::size_t max_stored_bytes_;
  std::optional<AttemptId> attempt_;
  bool sending_ = false;
};

ClaimDesk::ClaimDesk(EntryCore& core, adapter::ControlClient& control,
                     ProcessId owner, const std::string& boot)
    : core_(core),
      control_(control),
      owner_(std::move(owner)),
      holder_(owner_, boot),
      timers_(core.context()) {}

void ClaimDesk::Start() {
  AbandonFormerClaims();
  timers_.Every(kFlushPeriod, [this](TimePoint now) { Flush(now); });
}

std::shared_ptr<RunGuard> ClaimDesk::Guard(ledger::ClaimRequest claim,
                                           std::size_t max_stored_bytes) {
  return std::make_shared<ClaimGuard>(*this, std::move(claim),
                                      max_stored_bytes);
}

/// A claim that can't even be asked for is denied in a later turn, when its
/// guard knows that it has no attempt.
std::optional<AttemptId> ClaimDesk::Begin(const ledger::ClaimRequest& claim,
                                          Waiter waiter) {
  const auto id = holder_.Begin(claim, EntryCore::Now());
  if (!id) {
    asio::post(core_.context(),
               [waiter = std::move(waiter),
                denied = ledger::ClaimDenied{id.error()}] { waiter(denied); });
    return std::nullopt;
  }
  waiters_[id.value()] = std::move(waiter);
  asio::post(core_.context(), [this] { Flush(EntryCore::Now()); });
  return id.value();
}

void ClaimDesk::Flush(TimePoint now) {
  Deliver(holder_.Tick(now));
  if (former_abandoned_) {
    for (const ledger::ClaimProposal& proposal : holder_.TakeProposals(now)) {
      control_.ProposeAsync(ledger::Encode(proposal.command), kProposeTimeout,
                            [this, attempt = proposal.attempt](
                                const Result<std::string>& answer) {
                              Deliver(holder_.HandleProposalResult(
                                  attempt, Decoded(answer), EntryCore::Now()));
                            });
    }
  }
}

void ClaimDesk::AbandonFormerClaims() {
  control_.ProposeAsync(
      ledger::Encode(ledger::Command(ledger::ClaimsAbandon{owner_})),
      kProposeTimeout, [this](const Result<std::string>& answer) {
        if (answer) {
          former_abandoned_ = true;
          return;
        }
        timers_.After(kAbandonRetry,
                      [this](TimePoint) { AbandonFormerClaims(); });
      });
}

void ClaimDesk::Deliver(const Decisions& decisions) {
  for (const auto& [attempt, decision] : decisions) {
    const auto it = waiters_.find(attempt);
    if (it != waiters_.end()) {
      const Waiter waiter = std::move(it->second);
      waiters_.erase(it);
      waiter(decision);
    }
  }
}

}  // namespace rattanward::entry
