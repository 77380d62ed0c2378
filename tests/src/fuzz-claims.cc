#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rattanward/ledger/claim_holder.h"
#include "rattanward/ledger/state_machine.h"

namespace rattanward::ledger {
namespace {

constexpr int kEntries = 3;
constexpr int kKeys = 2;
constexpr Duration kWindow{std::chrono::hours(24)};
constexpr Duration kStep{std::chrono::milliseconds(300)};

struct Action {
  enum Kind {
    kRequest,
    kCarry,
    kRepeat,
    kLose,
    kAnswer,
    kLoseAnswer,
    kRefuse,
    kWait,
    kFreeze,
    kWake,
    kSend,
    kFinish,
    kAbandon,
    kRestart,
    kKinds
  };
  int kind = 0;
  int entry = 0;
  int pick = 0;
};

void showValue(const Action& action, std::ostream& out) {
  out << "{kind " << action.kind << " entry " << action.entry << " pick "
      << action.pick << "}";
}

rc::Gen<Action> GenAction() {
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, rc::gen::inRange(0, int{Action::kKinds})),
      rc::gen::set(&Action::entry, rc::gen::inRange(0, kEntries)),
      rc::gen::set(&Action::pick, rc::gen::inRange(0, 6)));
}

/// Entries, a network that loses, repeats and reorders, and one ledger.
class World {
 public:
  World() {
    for (int i = 0; i < kEntries; ++i) {
      entries_.emplace_back(i, 0);
    }
  }

  void Run(const Action& action) {
    Entry& entry = entries_[action.entry];
    if (entry.frozen && action.kind >= Action::kSend) {
      return;
    }
    switch (action.kind) {
      case Action::kRequest:
        if (!entry.frozen) {
          Request(action.entry, action.pick % kKeys);
        }
        break;
      case Action::kCarry:
      case Action::kRepeat:
        Carry(action.pick, action.kind == Action::kRepeat);
        break;
      case Action::kLose:
        Lose(proposals_, action.pick);
        break;
      case Action::kAnswer:
        TakeAnswer(action.pick);
        break;
      case Action::kLoseAnswer:
        Lose(answers_, action.pick);
        break;
      case Action::kRefuse:
        RefuseProposal(action.pick);
        break;
      case Action::kWait:
        Wait();
        break;
      case Action::kFreeze:
      case Action::kWake:
        entry.frozen = action.kind == Action::kFreeze;
        break;
      case Action::kSend:
        Send(entry, action.pick);
        break;
      case Action::kFinish:
        Finish(entry, action.pick);
        break;
      case Action::kAbandon:
        Abandon(entry, action.pick);
        break;
      default:
        Restart(action.entry);
    }
  }

  /// Lets everything arrive; then every key that no attempt runs or has run
  /// can be claimed anew.
  void Settle() {
    for (Entry& entry : entries_) {
      entry.frozen = false;
    }
    for (int round = 0; round < 12; ++round) {
      Wait();
      DrainNetwork();
      for (Entry& entry : entries_) {
        while (!entry.granted.empty()) {
          Abandon(entry, 0);
        }
        while (!entry.sent.empty()) {
          Finish(entry, 0);
        }
      }
    }
    for (const Entry& entry : entries_) {
      RC_ASSERT(entry.holder.open() == 0U);
    }
    for (int key = 0; key < kKeys; ++key) {
      if (runs_[key] == 0 && lost_.count(key) == 0) {
        Request(0, key);
        DrainNetwork();
        RC_ASSERT(entries_[0].granted.size() == 1U);
        Send(entries_[0], 0);
        RC_ASSERT(runs_[key] == 1);
        Finish(entries_[0], 0);
      }
    }
  }

 private:
  struct Entry {
    Entry(int number, int boot)
        : holder(ProcessId("e" + std::to_string(number)),
                 std::to_string(boot)) {}

    ClaimHolder holder;
    bool frozen = false;
    std::vector<AttemptId> granted;
    std::vector<AttemptId> sent;
  };
  struct Proposal {
    int entry = 0;
    ClaimProposal proposal;
    /// Has reached the log, and is still on its way a second time.
    bool repeated = false;
  };
  struct Reply {
    int entry = 0;
    AttemptId attempt;
    Result<Outcome> answer;
  };
  using Decisions = std::vector<std::pair<AttemptId, ClaimDecision>>;

  static ClaimKey Key(int key) {
    return {ClientAccountId("a"), IdempotencyKey("k" + std::to_string(key))};
  }

  void Request(int number, int key) {
    Entry& entry = entries_[number];
    const AttemptId id =
        entry.holder.Begin({Key(key), "body", kWindow}, now_).value();
    key_of_[id] = key;
    Collect(number);
  }

  void Collect(int number) {
    for (ClaimProposal& p : entries_[number].holder.TakeProposals(now_)) {
      proposals_.push_back({number, std::move(p), false});
    }
  }

  template <class T>
  static void Lose(std::vector<T>& messages, int pick) {
    if (!messages.empty()) {
      messages.erase(messages.begin() + pick % std::ssize(messages));
    }
  }

  void Carry(int pick, bool repeat) {
    if (proposals_.empty()) {
      return;
    }
    const auto at = proposals_.begin() + pick % std::ssize(proposals_);
    const Proposal proposal = *at;
    if (repeat) {
      at->repeated = true;
    } else {
      proposals_.erase(at);
    }
    const auto micros =
        static_cast<std::uint64_t>(now_.time_since_epoch().count());
    answers_.push_back(
        {proposal.entry, proposal.proposal.attempt,
         ledger_.Apply({LogTime{micros}, proposal.proposal.command})});
  }

  void RefuseProposal(int pick) {
    if (!proposals_.empty()) {
      const auto at = proposals_.begin() + pick % std::ssize(proposals_);
      answers_.push_back(
          {at->entry, at->proposal.attempt,
           MakeError(ErrorCode::kNoQuorum, "no quorum",
                     at->repeated ? Verdict::kMayHaveRun : Verdict::kNotRun)});
      proposals_.erase(at);
    }
  }

  void TakeAnswer(int pick) {
    if (answers_.empty()) {
      return;
    }
    const auto at = answers_.begin() + pick % std::ssize(answers_);
    if (entries_[at->entry].frozen) {
      return;
    }
    const Reply reply = *at;
    answers_.erase(at);
    Entry& entry = entries_[reply.entry];
    Take(entry, entry.holder.Answer(reply.attempt, reply.answer, now_));
    Collect(reply.entry);
  }

  void Take(Entry& entry, const Decisions& decisions) {
    for (const auto& [id, decision] : decisions) {
      RC_ASSERT(decided_.insert(id).second);
      if (std::holds_alternative<ClaimGranted>(decision)) {
        entry.granted.push_back(id);
      } else if (const auto* denied = std::get_if<ClaimDenied>(&decision)) {
        RC_ASSERT(denied->error.verdict == Verdict::kNotRun);
        not_run_.insert(id);
      }
    }
  }

  void Wait() {
    now_ += kStep;
    for (int i = 0; i < kEntries; ++i) {
      if (!entries_[i].frozen) {
        Take(entries_[i], entries_[i].holder.Tick(now_));
        Collect(i);
      }
    }
  }

  void Send(Entry& entry, int pick) {
    if (entry.granted.empty()) {
      return;
    }
    const AttemptId id = TakeOne(entry.granted, pick);
    if (entry.holder.StartSending(id, now_)) {
      RC_ASSERT(!entry.holder.StartSending(id, now_));
      RC_ASSERT(not_run_.count(id) == 0U);
      ++runs_[key_of_[id]];
      RC_ASSERT(runs_[key_of_[id]] == 1);
      entry.sent.push_back(id);
    }
  }

  void Finish(Entry& entry, int pick) {
    if (!entry.sent.empty()) {
      entry.holder.Finish(TakeOne(entry.sent, pick),
                          {Verdict::kRan, 200, "t", true, "x"}, now_);
    }
  }

  void Abandon(Entry& entry, int pick) {
    if (!entry.granted.empty()) {
      const AttemptId id = TakeOne(entry.granted, pick);
      not_run_.insert(id);
      entry.holder.Abandon(id, now_);
    }
  }

  /// The entry forgets all; its running claims may have run.
  void Restart(int number) {
    for (const auto& [id, key] : key_of_) {
      if (id.str().rfind("e" + std::to_string(number) + "/", 0) == 0) {
        lost_.insert(key);
      }
    }
    entries_[number] = Entry(number, ++boots_);
    ledger_.Apply(
        {LogTime{}, ClaimsAbandon{ProcessId("e" + std::to_string(number))}});
  }

  static AttemptId TakeOne(std::vector<AttemptId>& ids, int pick) {
    const auto at = ids.begin() + pick % std::ssize(ids);
    AttemptId id = *at;
    ids.erase(at);
    return id;
  }

  void DrainNetwork() {
    while (!proposals_.empty() || !answers_.empty()) {
      Carry(0, false);
      TakeAnswer(0);
    }
  }

  TimePoint now_{std::chrono::seconds(1)};
  StateMachine ledger_;
  std::vector<Entry> entries_;
  std::vector<Proposal> proposals_;
  std::vector<Reply> answers_;
  std::map<AttemptId, int> key_of_;
  std::set<AttemptId> decided_;
  std::set<AttemptId> not_run_;
  std::set<int> lost_;
  std::map<int, int> runs_;
  int boots_ = 0;
};

}  // namespace

TEST_CASE("a key runs at most once over entries that freeze and restart") {
  CHECK(rc::check("at most one run, and what was denied never runs", [] {
    const auto actions = *rc::gen::scale(
        3.0, rc::gen::container<std::vector<Action>>(GenAction()));
    World world;
    for (const Action& action : actions) {
      world.Run(action);
    }
    world.Settle();
  }));
}

}  // namespace rattanward::ledger
