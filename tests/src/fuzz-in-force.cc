#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "rattanward/ledger/in_force_tracker.h"

namespace rattanward::ledger {
namespace {

constexpr Duration kStep{std::chrono::milliseconds(500)};
constexpr int kDomains = 2;
constexpr int kEntriesInDomain = 3;
constexpr int kEntries = kDomains * kEntriesInDomain;

/// One action on one entry, then some steps of time.
struct Action {
  enum Kind {
    kMove,
    kTakeConfig,
    kTakeConfigAll,
    kRestart,
    kFreeze,
    kWake,
    kCommit,
    kElect
  };
  int kind = kMove;
  int entry = 0;
  /// Network the entry is in; control is in network 0.
  int network = 0;
  int steps = 0;
};

void showValue(const Action& action, std::ostream& out) {
  out << "{kind " << action.kind << " entry " << action.entry << " network "
      << action.network << " steps " << action.steps << "}";
}

rc::Gen<Action> GenAction() {
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, rc::gen::inRange(0, 8)),
      rc::gen::set(&Action::entry, rc::gen::inRange(0, kEntries)),
      rc::gen::set(&Action::network, rc::gen::inRange(0, 3)),
      rc::gen::set(&Action::steps, rc::gen::inRange(0, 14)));
}

/// Entries by their own rule. One takes new work while it heard control within
/// its lease, or hears more than half of its domain and nobody in it that runs
/// a newer version. Once neither holds, or after a restart, it is stale: it
/// first takes the newest version that control or that half knows. A restarted
/// one has forgotten what it ran, so it is not counted before that.
class World {
 public:
  World() {
    std::map<ProcessId, EntryRecord> records;
    for (int i = 0; i < kEntries; ++i) {
      records[Id(i)] = {Id(i), VmName("vm"), Domain(i)};
      entries_.push_back({ConfigVersion{}, 0, false, false, false, now_});
    }
    tracker_.SetEntries(records, now_);
  }

  void Run(const Action& action) {
    Entry& entry = entries_[action.entry];
    switch (action.kind) {
      case Action::kMove:
        entry.network = action.network;
        break;
      case Action::kTakeConfig:
        TakeConfig(entry);
        break;
      case Action::kTakeConfigAll:
        for (Entry& each : entries_) {
          TakeConfig(each);
        }
        break;
      case Action::kRestart:
        entry.version = ConfigVersion{};
        entry.stale = true;
        entry.restarted = true;
        break;
      case Action::kFreeze:
        entry.frozen = true;
        break;
      case Action::kWake:
        entry.frozen = false;
        break;
      case Action::kCommit:
        ++newest_.value;
        break;
      default:
        tracker_.Reset(now_);
    }
    CheckAccepted();
    for (int i = 0; i < action.steps; ++i) {
      now_ += kStep;
      HeartbeatAll();
      CheckAccepted();
    }
  }

  bool SettlesWhenWhole() {
    for (Entry& entry : entries_) {
      entry = {newest_, 0, false, false, false, now_};
    }
    HeartbeatAll();
    return tracker_.Report(newest_, now_).accepted;
  }

 private:
  struct Entry {
    ConfigVersion version;
    int network = 0;
    bool frozen = false;
    bool stale = false;
    bool restarted = false;
    TimePoint heard_control;
  };

  static ProcessId Id(int i) { return ProcessId("e" + std::to_string(i)); }
  static FailureDomain Domain(int i) {
    return FailureDomain("d" + std::to_string(i % kDomains));
  }

  void TakeConfig(Entry& entry) const {
    if (entry.network == 0 && !entry.frozen) {
      entry.version = newest_;
    }
  }

  void HeartbeatAll() {
    for (int i = 0; i < kEntries; ++i) {
      if (entries_[i].network == 0 && !entries_[i].frozen) {
        entries_[i].heard_control = now_;
        tracker_.Heard({Id(i), VmName("vm"), Domain(i), entries_[i].version, 0},
                       now_);
      }
    }
  }

  void UpdateStale(int i) {
    Entry& entry = entries_[i];
    int heard = 0;
    ConfigVersion newest_heard;
    for (int j = i % kDomains; j < kEntries; j += kDomains) {
      if (entries_[j].network == entry.network && !entries_[j].frozen &&
          !entries_[j].restarted) {
        ++heard;
        newest_heard = std::max(newest_heard, entries_[j].version);
      }
    }
    const bool control = now_ - entry.heard_control < kEntryLease;
    const bool peers = 2 * heard > kEntriesInDomain;
    if (entry.stale) {
      const bool knows = (entry.network == 0 && entry.version == newest_) ||
                         (peers && entry.version == newest_heard);
      entry.stale = !((control || peers) && knows);
      entry.restarted = entry.restarted && entry.stale;
    } else {
      entry.stale = !control && !(peers && entry.version == newest_heard);
    }
  }

  void CheckAccepted() {
    for (ConfigVersion v{1}; v <= newest_; ++v.value) {
      if (tracker_.Report(v, now_).accepted) {
        accepted_ = std::max(accepted_, v);
      }
    }
    for (int i = 0; i < kEntries; ++i) {
      if (!entries_[i].frozen) {
        UpdateStale(i);
        const bool takes_work =
            !entries_[i].stale && entries_[i].version != ConfigVersion{};
        RC_ASSERT(!takes_work || entries_[i].version >= accepted_);
      }
    }
  }

  TimePoint now_{std::chrono::seconds(100)};
  ConfigVersion newest_{1};
  /// Newest version that an operator may have seen accepted.
  ConfigVersion accepted_;
  std::vector<Entry> entries_;
  InForceTracker tracker_;
};

}  // namespace

TEST_CASE("an accepted version is the oldest that any entry takes work by") {
  CHECK(rc::check("accepted is never said too early", [] {
    const auto actions = *rc::gen::container<std::vector<Action>>(GenAction());
    World world;
    for (const Action& action : actions) {
      world.Run(action);
    }
    RC_ASSERT(world.SettlesWhenWhole());
  }));
}

}  // namespace rattanward::ledger
