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
constexpr Duration kTimeStep{std::chrono::milliseconds(300)};

/// One random event in the simulated cluster.
struct Action {
  /// From kStartSending on, a kind has no effect on a paused entry.
  enum Kind {
    kBeginAttempt,
    kDeliverProposal,
    kDuplicateProposal,
    kDropProposal,
    kDeliverReply,
    kDropReply,
    kRejectProposal,
    kAdvanceTime,
    kPause,
    kResume,
    kStartSending,
    kFinish,
    kReleaseUnsent,
    kRestart,
    kKindCount
  };
  int kind = 0;
  int entry = 0;
  /// Index of the key, message or attempt, modulo the number of them.
  int pick = 0;
};

void showValue(const Action& action, std::ostream& out) {
  out << "{kind " << action.kind << " entry " << action.entry << " pick "
      << action.pick << "}";
}

rc::Gen<Action> GenAction() {
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, rc::gen::inRange(0, int{Action::kKindCount})),
      rc::gen::set(&Action::entry, rc::gen::inRange(0, kEntries)),
      rc::gen::set(&Action::pick, rc::gen::inRange(0, 6)));
}

/// Several entries and one ledger, connected by a network that drops,
/// duplicates and reorders messages.
class SimulatedCluster {
 public:
  SimulatedCluster() {
    for (int i = 0; i < kEntries; ++i) {
      entries_.emplace_back(i, 0);
    }
  }

  void Run(const Action& action) {
    Entry& entry = entries_[action.entry];
    if (entry.paused && action.kind >= Action::kStartSending) {
      return;
    }
    switch (action.kind) {
      case Action::kBeginAttempt:
        if (!entry.paused) {
          BeginAttempt(action.entry, action.pick % kKeys);
        }
        break;
      case Action::kDeliverProposal:
      case Action::kDuplicateProposal:
        DeliverProposal(action.pick, action.kind == Action::kDuplicateProposal);
        break;
      case Action::kDropProposal:
        DropMessage(proposals_, action.pick);
        break;
      case Action::kDeliverReply:
        DeliverReply(action.pick);
        break;
      case Action::kDropReply:
        DropMessage(replies_, action.pick);
        break;
      case Action::kRejectProposal:
        RejectProposal(action.pick);
        break;
      case Action::kAdvanceTime:
        AdvanceTime();
        break;
      case Action::kPause:
      case Action::kResume:
        entry.paused = action.kind == Action::kPause;
        break;
      case Action::kStartSending:
        Send(entry, action.pick);
        break;
      case Action::kFinish:
        Finish(entry, action.pick);
        break;
      case Action::kReleaseUnsent:
        ReleaseUnsent(entry, action.pick);
        break;
      default:
        Restart(action.entry);
    }
  }

  /// Resumes all entries and delivers all messages. Then checks that no attempt
  /// stays open, and that each key which certainly did not run can be claimed
  /// and run.
  void CheckConvergence() {
    for (Entry& entry : entries_) {
      entry.paused = false;
    }
    for (int round = 0; round < 12; ++round) {
      AdvanceTime();
      DrainNetwork();
      for (Entry& entry : entries_) {
        while (!entry.granted.empty()) {
          ReleaseUnsent(entry, 0);
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
      if (run_count_by_key_[key] == 0 && possibly_run_keys_.count(key) == 0) {
        BeginAttempt(0, key);
        DrainNetwork();
        RC_ASSERT(entries_[0].granted.size() == 1U);
        Send(entries_[0], 0);
        RC_ASSERT(run_count_by_key_[key] == 1);
        Finish(entries_[0], 0);
      }
    }
  }

 private:
  struct Entry {
    Entry(int entry_index, int incarnation)
        : holder(ProcessId("e" + std::to_string(entry_index)),
                 std::to_string(incarnation)) {}

    ClaimHolder holder;
    bool paused = false;
    std::vector<AttemptId> granted;
    std::vector<AttemptId> sent;
  };
  struct Proposal {
    int entry = 0;
    ClaimProposal proposal;
    /// Whether a first copy was delivered; this is the second one.
    bool duplicated = false;
  };
  struct Reply {
    int entry = 0;
    AttemptId attempt;
    Result<Outcome> result;
  };
  using Decisions = std::vector<std::pair<AttemptId, ClaimDecision>>;

  static ClaimKey MakeKey(int key) {
    return {ClientAccountId("a"), IdempotencyKey("k" + std::to_string(key))};
  }

  void BeginAttempt(int entry_index, int key) {
    Entry& entry = entries_[entry_index];
    const AttemptId id =
        entry.holder.Begin({MakeKey(key), "body", kWindow}, now_).value();
    key_by_attempt_[id] = key;
    CollectProposals(entry_index);
  }

  void CollectProposals(int entry_index) {
    for (ClaimProposal& p : entries_[entry_index].holder.TakeProposals(now_)) {
      proposals_.push_back({entry_index, std::move(p), false});
    }
  }

  template <class T>
  static void DropMessage(std::vector<T>& messages, int pick) {
    if (!messages.empty()) {
      messages.erase(messages.begin() + pick % std::ssize(messages));
    }
  }

  void DeliverProposal(int pick, bool duplicate) {
    if (proposals_.empty()) {
      return;
    }
    const auto at = proposals_.begin() + pick % std::ssize(proposals_);
    const Proposal proposal = *at;
    if (duplicate) {
      at->duplicated = true;
    } else {
      proposals_.erase(at);
    }
    const auto micros =
        static_cast<std::uint64_t>(now_.time_since_epoch().count());
    replies_.push_back(
        {proposal.entry, proposal.proposal.attempt,
         ledger_.Apply({LogTime{micros}, proposal.proposal.command})});
  }

  void RejectProposal(int pick) {
    if (!proposals_.empty()) {
      const auto at = proposals_.begin() + pick % std::ssize(proposals_);
      replies_.push_back({at->entry, at->proposal.attempt,
                          MakeError(ErrorCode::kNoQuorum, "no quorum",
                                    at->duplicated ? Verdict::kMayHaveRun
                                                   : Verdict::kNotRun)});
      proposals_.erase(at);
    }
  }

  void DeliverReply(int pick) {
    if (replies_.empty()) {
      return;
    }
    const auto at = replies_.begin() + pick % std::ssize(replies_);
    if (entries_[at->entry].paused) {
      return;
    }
    const Reply reply = *at;
    replies_.erase(at);
    Entry& entry = entries_[reply.entry];
    RecordDecisions(entry, entry.holder.HandleProposalResult(
                               reply.attempt, reply.result, now_));
    CollectProposals(reply.entry);
  }

  void RecordDecisions(Entry& entry, const Decisions& decisions) {
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

  void AdvanceTime() {
    now_ += kTimeStep;
    for (int i = 0; i < kEntries; ++i) {
      if (!entries_[i].paused) {
        RecordDecisions(entries_[i], entries_[i].holder.Tick(now_));
        CollectProposals(i);
      }
    }
  }

  void Send(Entry& entry, int pick) {
    if (entry.granted.empty()) {
      return;
    }
    const AttemptId id = RemoveOne(entry.granted, pick);
    if (entry.holder.StartSending(id, now_)) {
      RC_ASSERT(!entry.holder.StartSending(id, now_));
      RC_ASSERT(not_run_.count(id) == 0U);
      ++run_count_by_key_[key_by_attempt_[id]];
      RC_ASSERT(run_count_by_key_[key_by_attempt_[id]] == 1);
      entry.sent.push_back(id);
    }
  }

  void Finish(Entry& entry, int pick) {
    if (!entry.sent.empty()) {
      entry.holder.Finish(RemoveOne(entry.sent, pick),
                          {Verdict::kRan, 200, "t", true, "x"}, now_);
    }
  }

  void ReleaseUnsent(Entry& entry, int pick) {
    if (!entry.granted.empty()) {
      const AttemptId id = RemoveOne(entry.granted, pick);
      not_run_.insert(id);
      entry.holder.ReleaseUnsent(id, now_);
    }
  }

  /// Restarts the entry, which loses its state. Its running claims may have
  /// run.
  void Restart(int entry_index) {
    for (const auto& [id, key] : key_by_attempt_) {
      if (id.str().rfind("e" + std::to_string(entry_index) + "/", 0) == 0) {
        possibly_run_keys_.insert(key);
      }
    }
    entries_[entry_index] = Entry(entry_index, ++restart_count_);
    ledger_.Apply({LogTime{}, ClaimsAbandon{ProcessId(
                                  "e" + std::to_string(entry_index))}});
  }

  static AttemptId RemoveOne(std::vector<AttemptId>& ids, int pick) {
    const auto at = ids.begin() + pick % std::ssize(ids);
    AttemptId id = *at;
    ids.erase(at);
    return id;
  }

  void DrainNetwork() {
    while (!proposals_.empty() || !replies_.empty()) {
      DeliverProposal(0, false);
      DeliverReply(0);
    }
  }

  TimePoint now_{std::chrono::seconds(1)};
  StateMachine ledger_;
  std::vector<Entry> entries_;
  std::vector<Proposal> proposals_;
  std::vector<Reply> replies_;
  std::map<AttemptId, int> key_by_attempt_;
  std::set<AttemptId> decided_;
  /// Attempts that were denied or given up unsent, and must never be sent.
  std::set<AttemptId> not_run_;
  /// Keys with an attempt at an entry that restarted later.
  std::set<int> possibly_run_keys_;
  std::map<int, int> run_count_by_key_;
  int restart_count_ = 0;
};

}  // namespace

TEST_CASE("a key runs at most once although entries pause and restart") {
  CHECK(
      rc::check("each key runs at most once and denied attempts never run", [] {
        const auto actions = *rc::gen::scale(
            3.0, rc::gen::container<std::vector<Action>>(GenAction()));
        SimulatedCluster cluster;
        for (const Action& action : actions) {
          cluster.Run(action);
        }
        cluster.CheckConvergence();
      }));
}

}  // namespace rattanward::ledger
