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
  if (const auto* answered = std::get_if<ledger::ClaimAnswered>(&decision)) {
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
class ClaimDesk::ClaimGuard : public RunGuard {
 public:
  ClaimGuard(ClaimDesk& desk, ledger::ClaimRequest claim,
             std::size_t max_stored_bytes)
      : desk_(desk),
        claim_(std::move(claim)),
        max_stored_bytes_(max_stored_bytes) {}

  SendPermission BeforeSend() override {
    if (sending_) {
      return MaySend{};
    }
    const auto waiter = std::make_shared<Waiter>();
    attempt_ = std::make_shared<AttemptId>();
    asio::post(desk_.core_.context(),
               [&desk = desk_, claim = claim_, waiter, attempt = attempt_] {
                 desk.Begin(claim, waiter, attempt);
               });
    SendPermission permission = Permission(waiter->get_future().get());
    if (!std::holds_alternative<MaySend>(permission)) {
      attempt_.reset();
      return permission;
    }
    sending_ = StartSending();
    if (sending_) {
      return permission;
    }
    attempt_.reset();
    return MakeError(ErrorCode::kNoQuorum, "the claim came too late");
  }

  void Ended(Verdict verdict, const WholeAnswer* answer) override {
    if (!attempt_) {
      return;
    }
    asio::post(desk_.core_.context(), [&desk = desk_, attempt = attempt_,
                                       outcome = Outcome(verdict, answer)] {
      if (outcome.verdict == Verdict::kNotRun) {
        desk.holder_.NeverRan(*attempt, EntryCore::Now());
      } else {
        desk.holder_.Finish(*attempt, outcome, EntryCore::Now());
      }
      desk.Flush(EntryCore::Now());
    });
  }

 private:
  bool StartSending() {
    std::promise<bool> started;
    auto answer = started.get_future();
    asio::post(desk_.core_.context(), [&] {
      started.set_value(
          desk_.holder_.StartSending(*attempt_, EntryCore::Now()));
    });
    return answer.get();
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
  std::shared_ptr<AttemptId> attempt_;
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

void ClaimDesk::Begin(const ledger::ClaimRequest& claim,
                      std::shared_ptr<Waiter> waiter,
                      const std::shared_ptr<AttemptId>& attempt) {
  const auto id = holder_.Begin(claim, EntryCore::Now());
  if (!id) {
    waiter->set_value(ledger::ClaimDenied{id.error()});
    return;
  }
  *attempt = id.value();
  waiters_[id.value()] = std::move(waiter);
  Flush(EntryCore::Now());
}

void ClaimDesk::Flush(TimePoint now) {
  Deliver(holder_.Tick(now));
  if (former_abandoned_) {
    for (const ledger::ClaimProposal& proposal : holder_.TakeProposals(now)) {
      control_.ProposeAsync(
          ledger::Encode(proposal.command), kProposeTimeout,
          [this,
           attempt = proposal.attempt](const Result<std::string>& answer) {
            Deliver(holder_.Answer(attempt, Decoded(answer), EntryCore::Now()));
            open_ = holder_.open();
          });
    }
  }
  open_ = holder_.open();
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
      it->second->set_value(decision);
      waiters_.erase(it);
    }
  }
}

}  // namespace rattanward::entry
