#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "rattanward/ledger/state_machine.h"

namespace rattanward::ledger {
namespace {

constexpr Duration kWindow{20};

/// One step of a run: a new command, or an earlier command sent again. The
/// ranges are small, so that commands often collide on a key, attempt or id.
struct Step {
  /// Case of MakeCommand().
  int kind = 0;
  int key = 0;
  int attempt = 0;
  int body = 0;
  int command_id = 0;
  /// How many steps back the resent command is. A new command is made if it is
  /// 0, or above the number of earlier steps.
  int resend = 0;
  /// Change of the leader's clock, in microseconds; it may go back.
  int time_change = 0;
  /// Whether the second state machine is restored from a snapshot afterwards.
  bool snapshot = false;
};

void showValue(const Step& step, std::ostream& out) {
  out << "{kind " << step.kind << " key " << step.key << " attempt "
      << step.attempt << " body " << step.body << " id " << step.command_id
      << " resend " << step.resend << " time change " << step.time_change
      << (step.snapshot ? " snapshot}" : "}");
}

rc::Gen<Step> GenStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange(0, 8)),
      rc::gen::set(&Step::key, rc::gen::inRange(0, 3)),
      rc::gen::set(&Step::attempt, rc::gen::inRange(0, 5)),
      rc::gen::set(&Step::body, rc::gen::inRange(0, 2)),
      rc::gen::set(&Step::command_id, rc::gen::inRange(0, 30)),
      rc::gen::set(&Step::resend, rc::gen::inRange(0, 12)),
      rc::gen::set(&Step::time_change, rc::gen::inRange(-2, 4)),
      rc::gen::set(&Step::snapshot, rc::gen::arbitrary<bool>()));
}

Command MakeCommand(const Step& step, ConfigVersion newest) {
  const ClaimKey key{ClientAccountId("account"),
                     IdempotencyKey("key" + std::to_string(step.key))};
  const AttemptId attempt("a" + std::to_string(step.attempt));
  const CommandId id("c" + std::to_string(step.command_id));
  switch (step.kind) {
    case 0:
      return ConfigApply{id, ConfigVersion{newest.value - (step.body & 1)},
                         "text"};
    case 1:
    case 2:
      return ClaimBegin{key, "body" + std::to_string(step.body), attempt,
                        ProcessId("e" + std::to_string(step.attempt & 1)),
                        kWindow};
    case 3:
      return ClaimRelease{key, attempt, kWindow};
    case 4:
      return ClaimFinish{
          key, attempt, {Verdict::kRan, 200, "t", true, attempt.str()}};
    case 5:
      return ClaimsAbandon{ProcessId("e" + std::to_string(step.body))};
    case 6:
      return FencingTake{id, "r" + std::to_string(step.key), ProcessId("p")};
    default:
      return UpstreamDrain{id, UpstreamId("u"), step.body == 0};
  }
}

/// Simple model of the state machine that checks each outcome against the
/// ledger's guarantees.
class Oracle {
 public:
  /// @param now Log time after the command.
  void Check(const Command& command, const Outcome& outcome, std::int64_t now) {
    RemoveExpired(now);
    std::visit([&](const auto& c) { CheckOutcome(c, outcome, now); }, command);
  }

 private:
  struct ModelClaim {
    AttemptId attempt;
    ProcessId owner;
    bool finished = false;
    bool abandoned = false;
    std::int64_t expires = 0;
  };
  using Attempt = std::pair<ClaimKey, AttemptId>;

  void RemoveExpired(std::int64_t now) {
    std::erase_if(model_claims_,
                  [&](const auto& r) { return r.second.expires <= now; });
    std::erase_if(released_until_,
                  [&](const auto& b) { return b.second <= now; });
  }

  /// Checks that an operator command id always gives its first outcome, and
  /// refuses another command with that id.
  void CheckIdempotent(const CommandId& id, const Command& command,
                       const Outcome& outcome) {
    const auto first =
        first_outcomes_.emplace(id, std::pair(command, outcome)).first;
    if (first->second.first == command) {
      RC_ASSERT(first->second.second == outcome);
    } else {
      RC_ASSERT(std::get<Refused>(outcome).code == ErrorCode::kCommandIdReused);
    }
  }

  void CheckOutcome(const ConfigApply& c, const Outcome& outcome,
                    std::int64_t) {
    const bool resend = first_outcomes_.count(c.command_id) > 0;
    CheckIdempotent(c.command_id, c, outcome);
    if (!resend && c.expected == version_) {
      ++version_.value;
      RC_ASSERT(outcome == Outcome(ConfigCommitted{version_}));
    } else if (!resend) {
      RC_ASSERT(outcome == Outcome(ConfigConflict{version_}));
    }
  }

  void CheckOutcome(const FencingTake& c, const Outcome& outcome,
                    std::int64_t) {
    const bool resend = first_outcomes_.count(c.command_id) > 0;
    CheckIdempotent(c.command_id, c, outcome);
    if (!resend) {
      std::uint64_t& last = last_fencing_numbers_[c.resource];
      RC_ASSERT(std::get<FencingTaken>(outcome).number.value > last);
      last = std::get<FencingTaken>(outcome).number.value;
    }
  }

  void CheckOutcome(const UpstreamDrain& c, const Outcome& outcome,
                    std::int64_t) {
    CheckIdempotent(c.command_id, c, outcome);
  }

  /// Checks that at most one attempt may run a key until its window has passed.
  void CheckOutcome(const ClaimBegin& c, const Outcome& outcome,
                    std::int64_t now) {
    const auto model = model_claims_.find(c.claim);
    const bool taken = std::holds_alternative<ClaimTaken>(outcome);
    if (model != model_claims_.end()) {
      RC_ASSERT(!taken ||
                (model->second.attempt == c.attempt &&
                 !model->second.finished && !model->second.abandoned));
      return;
    }
    const Attempt attempt{c.claim, c.attempt};
    RC_ASSERT(!taken || released_until_.count(attempt) == 0);
    RC_ASSERT(taken || ever_released_.count(attempt) > 0);
    if (taken) {
      model_claims_[c.claim] = {c.attempt, c.owner, false, false,
                                now + kWindow.count()};
    }
  }

  void CheckOutcome(const ClaimRelease& c, const Outcome& outcome,
                    std::int64_t now) {
    const auto model = model_claims_.find(c.claim);
    const bool holds =
        model != model_claims_.end() && model->second.attempt == c.attempt;
    const bool done = std::holds_alternative<Done>(outcome);
    RC_ASSERT(done == !(holds && model->second.finished));
    if (!done) {
      return;
    }
    released_until_[{c.claim, c.attempt}] = now + kWindow.count();
    ever_released_.insert({c.claim, c.attempt});
    if (holds) {
      model_claims_.erase(model);
    } else if (model != model_claims_.end()) {
      model->second.expires = now + kWindow.count();
    }
  }

  void CheckOutcome(const ClaimFinish& c, const Outcome& outcome,
                    std::int64_t now) {
    const auto model = model_claims_.find(c.claim);
    const bool holds =
        model != model_claims_.end() && model->second.attempt == c.attempt;
    RC_ASSERT(std::holds_alternative<Done>(outcome) == holds);
    if (holds && !model->second.finished) {
      model->second.finished = true;
      model->second.expires = now + kWindow.count();
    }
  }

  void CheckOutcome(const ClaimsAbandon& c, const Outcome&, std::int64_t now) {
    for (auto& [key, model] : model_claims_) {
      if (model.owner == c.owner && !model.finished && !model.abandoned) {
        model.abandoned = true;
        model.expires = now + kWindow.count();
      }
    }
  }

  template <class T>
  void CheckOutcome(const T&, const Outcome&, std::int64_t) {}

  ConfigVersion version_;
  std::map<CommandId, std::pair<Command, Outcome>> first_outcomes_;
  std::map<std::string, std::uint64_t> last_fencing_numbers_;
  std::map<ClaimKey, ModelClaim> model_claims_;
  /// Released attempts, and the log time until which they must be barred.
  std::map<Attempt, std::int64_t> released_until_;
  /// The ledger may bar an attempt longer than that: later commands for its
  /// key extend the whole record.
  std::set<Attempt> ever_released_;
};

/// Applies the steps to two state machines, one of which is replaced by a
/// restored snapshot at random steps, and checks that both stay equal.
void CheckSteps(const std::vector<Step>& steps) {
  StateMachine direct;
  StateMachine restored;
  Oracle oracle;
  std::vector<Command> sent;
  std::int64_t leader_time = 1'000'000;
  std::int64_t log_time = 0;
  for (const Step& step : steps) {
    const bool resend = step.resend > 0 && step.resend <= std::ssize(sent);
    sent.push_back(resend ? sent[sent.size() - step.resend]
                          : MakeCommand(step, direct.config_version()));
    leader_time += step.time_change;
    log_time = std::max(log_time, leader_time);
    const StampedCommand stamped{
        LogTime{static_cast<std::uint64_t>(leader_time)}, sent.back()};
    const Outcome outcome = direct.Apply(stamped);
    RC_ASSERT(restored.Apply(stamped) == outcome);
    oracle.Check(sent.back(), outcome, log_time);
    if (step.snapshot) {
      restored = StateMachine::Restore(restored.Snapshot()).value();
    }
    RC_ASSERT(restored == direct);
  }
}

}  // namespace

TEST_CASE("ledger outcomes match the oracle for random commands and resends") {
  CHECK(rc::check("the oracle accepts each outcome", [] {
    CheckSteps(*rc::gen::container<std::vector<Step>>(GenStep()));
  }));
}

TEST_CASE("ledger outcomes match the oracle over long runs") {
  constexpr std::size_t kSteps = 150;
  CHECK(rc::check("the oracle accepts each outcome", [] {
    CheckSteps(*rc::gen::container<std::vector<Step>>(kSteps, GenStep()));
  }));
}

}  // namespace rattanward::ledger
