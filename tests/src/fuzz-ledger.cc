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

/// One step: a command made of small numbers, or an earlier one sent again.
struct Step {
  int kind = 0;
  int key = 0;
  int attempt = 0;
  int body = 0;
  int command_id = 0;
  int resend = 0;
  int elapsed = 0;
  bool snapshot = false;
};

void showValue(const Step& step, std::ostream& out) {
  out << "{kind " << step.kind << " key " << step.key << " attempt "
      << step.attempt << " body " << step.body << " id " << step.command_id
      << " resend " << step.resend << " elapsed " << step.elapsed
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
      rc::gen::set(&Step::elapsed, rc::gen::inRange(-2, 4)),
      rc::gen::set(&Step::snapshot, rc::gen::arbitrary<bool>()));
}

Command Make(const Step& step, ConfigVersion newest) {
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

/// What the ledger promises, kept as plainly as possible.
class Oracle {
 public:
  void Check(const Command& command, const Outcome& outcome, std::int64_t now) {
    Forget(now);
    std::visit([&](const auto& c) { CheckOne(c, outcome, now); }, command);
  }

 private:
  struct Run {
    AttemptId attempt;
    ProcessId owner;
    bool finished = false;
    bool abandoned = false;
    std::int64_t expires = 0;
  };
  using Attempt = std::pair<ClaimKey, AttemptId>;

  void Forget(std::int64_t now) {
    std::erase_if(runs_,
                  [&](const auto& r) { return r.second.expires <= now; });
    std::erase_if(barred_, [&](const auto& b) { return b.second <= now; });
  }

  /// An operator command has one outcome for ever.
  void CheckOnce(const CommandId& id, const Command& command,
                 const Outcome& outcome) {
    const auto first = first_.emplace(id, std::pair(command, outcome)).first;
    if (first->second.first == command) {
      RC_ASSERT(first->second.second == outcome);
    } else {
      RC_ASSERT(std::get<Refused>(outcome).code == ErrorCode::kCommandIdReused);
    }
  }

  void CheckOne(const ConfigApply& c, const Outcome& outcome, std::int64_t) {
    const bool resend = first_.count(c.command_id) > 0;
    CheckOnce(c.command_id, c, outcome);
    if (!resend && c.expected == version_) {
      ++version_.value;
      RC_ASSERT(outcome == Outcome(ConfigCommitted{version_}));
    } else if (!resend) {
      RC_ASSERT(outcome == Outcome(ConfigConflict{version_}));
    }
  }

  void CheckOne(const FencingTake& c, const Outcome& outcome, std::int64_t) {
    const bool resend = first_.count(c.command_id) > 0;
    CheckOnce(c.command_id, c, outcome);
    if (!resend) {
      std::uint64_t& last = fencing_[c.resource];
      RC_ASSERT(std::get<FencingTaken>(outcome).number.value > last);
      last = std::get<FencingTaken>(outcome).number.value;
    }
  }

  void CheckOne(const UpstreamDrain& c, const Outcome& outcome, std::int64_t) {
    CheckOnce(c.command_id, c, outcome);
  }

  /// While a key is remembered, one attempt at most may run it.
  void CheckOne(const ClaimBegin& c, const Outcome& outcome, std::int64_t now) {
    const auto run = runs_.find(c.claim);
    const bool taken = std::holds_alternative<ClaimTaken>(outcome);
    if (run != runs_.end()) {
      RC_ASSERT(!taken || (run->second.attempt == c.attempt &&
                           !run->second.finished && !run->second.abandoned));
      return;
    }
    const Attempt attempt{c.claim, c.attempt};
    RC_ASSERT(!taken || barred_.count(attempt) == 0);
    RC_ASSERT(taken || ever_barred_.count(attempt) > 0);
    if (taken) {
      runs_[c.claim] = {c.attempt, c.owner, false, false,
                        now + kWindow.count()};
    }
  }

  void CheckOne(const ClaimRelease& c, const Outcome& outcome,
                std::int64_t now) {
    const auto run = runs_.find(c.claim);
    const bool holds = run != runs_.end() && run->second.attempt == c.attempt;
    const bool done = std::holds_alternative<Done>(outcome);
    RC_ASSERT(done == !(holds && run->second.finished));
    if (!done) {
      return;
    }
    barred_[{c.claim, c.attempt}] = now + kWindow.count();
    ever_barred_.insert({c.claim, c.attempt});
    if (holds) {
      runs_.erase(run);
    } else if (run != runs_.end()) {
      run->second.expires = now + kWindow.count();
    }
  }

  void CheckOne(const ClaimFinish& c, const Outcome& outcome,
                std::int64_t now) {
    const auto run = runs_.find(c.claim);
    const bool holds = run != runs_.end() && run->second.attempt == c.attempt;
    RC_ASSERT(std::holds_alternative<Done>(outcome) == holds);
    if (holds && !run->second.finished) {
      run->second.finished = true;
      run->second.expires = now + kWindow.count();
    }
  }

  void CheckOne(const ClaimsAbandon& c, const Outcome&, std::int64_t now) {
    for (auto& [key, run] : runs_) {
      if (run.owner == c.owner && !run.finished && !run.abandoned) {
        run.abandoned = true;
        run.expires = now + kWindow.count();
      }
    }
  }

  template <class T>
  void CheckOne(const T&, const Outcome&, std::int64_t) {}

  ConfigVersion version_;
  std::map<CommandId, std::pair<Command, Outcome>> first_;
  std::map<std::string, std::uint64_t> fencing_;
  std::map<ClaimKey, Run> runs_;
  std::map<Attempt, std::int64_t> barred_;
  std::set<Attempt> ever_barred_;
};

/// Runs the steps on one machine, and on one that is rebuilt at any place.
void CheckSteps(const std::vector<Step>& steps) {
  StateMachine direct;
  StateMachine rebuilt;
  Oracle oracle;
  std::vector<Command> sent;
  std::int64_t now = 1'000'000;
  std::int64_t newest = 0;
  for (const Step& step : steps) {
    const bool resend = step.resend > 0 && step.resend <= std::ssize(sent);
    sent.push_back(resend ? sent[sent.size() - step.resend]
                          : Make(step, direct.config_version()));
    now += step.elapsed;
    newest = std::max(newest, now);
    const StampedCommand stamped{LogTime{static_cast<std::uint64_t>(now)},
                                 sent.back()};
    const Outcome outcome = direct.Apply(stamped);
    RC_ASSERT(rebuilt.Apply(stamped) == outcome);
    oracle.Check(sent.back(), outcome, newest);
    if (step.snapshot) {
      rebuilt = StateMachine::Restore(rebuilt.Snapshot()).value();
    }
    RC_ASSERT(rebuilt == direct);
  }
}

}  // namespace

TEST_CASE("the ledger keeps its promises over any commands and resends") {
  CHECK(rc::check("each outcome is what the oracle allows", [] {
    CheckSteps(*rc::gen::container<std::vector<Step>>(GenStep()));
  }));
}

TEST_CASE("the ledger keeps its promises over long runs") {
  constexpr std::size_t kSteps = 150;
  CHECK(rc::check("each outcome is what the oracle allows", [] {
    CheckSteps(*rc::gen::container<std::vector<Step>>(kSteps, GenStep()));
  }));
}

}  // namespace rattanward::ledger
