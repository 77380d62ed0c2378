#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rattanward/membership/acceptance_rule.h"
#include "rattanward/membership/config_gate.h"

namespace rattanward::membership {
namespace {

constexpr Duration kStep{std::chrono::milliseconds(100)};
constexpr int kStepsPerHeartbeat = 5;
constexpr int kMaxDelaySteps = 15;
/// Number of steps without events after which the newest version must be in
/// force everywhere.
constexpr int kSettleSteps = 150;
/// Index that stands for control at the end of a link.
constexpr int kControl = -1;

enum class EventKind : std::uint8_t {
  kNothing,
  kCommit,
  kCutToControl,
  kCutFromControl,
  kCutControl,
  kCutPair,
  kSplit,
  kHealEntry,
  kHealAll,
  kFreeze,
  kRestart,
  kNewLeader,
};

struct Event {
  EventKind kind = EventKind::kNothing;
  /// Index of the affected entry. For kSplit, a bit mask of entries.
  int entry = 0;
  /// Number of steps to run after the event. Also the distance to the second
  /// entry of kCutPair, and half the duration of kFreeze in steps.
  int steps = 1;
};

/// Used by RapidCheck to print a failing case.
std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << static_cast<int>(event.kind) << ":" << event.entry << "+"
             << event.steps;
}

struct SimulatedEntry {
  std::unique_ptr<ConfigGate> gate;
  std::uint64_t incarnation = 0;
  int frozen_steps = 0;
  /// Offset of this VM's monotonic clock from control's.
  Duration offset{0};
};

/// Simulates entries, one confirmed control leader, and a network that delays
/// and reorders messages and can lose them in one direction only. The checked
/// property is that no entry may start work under a version older than
/// `accepted_`.
class Simulation {
 public:
  Simulation(std::uint32_t seed, std::vector<int> domain_sizes)
      : random_(seed) {
    for (std::size_t d = 0; d < domain_sizes.size(); ++d) {
      for (int i = 0; i < domain_sizes[d]; ++i) {
        domain_of_.push_back(static_cast<int>(d));
      }
    }
    entries_.resize(domain_of_.size());
    NewLeader();
    for (int e = 0; e < Size(); ++e) {
      entries_[e].offset = std::chrono::seconds(random_() % 1000);
      Restart(e);
    }
    committed_ = ConfigVersion{1};
    Run(kSettleSteps);
    RC_ASSERT(accepted_ == committed_);
  }

  void Apply(const Event& event) {
    const int entry = event.entry % Size();
    switch (event.kind) {
      case EventKind::kCommit:
        ++committed_.value;
        break;
      case EventKind::kCutToControl:
        cut_links_.insert({entry, kControl});
        break;
      case EventKind::kCutFromControl:
        cut_links_.insert({kControl, entry});
        break;
      case EventKind::kCutControl:
        cut_links_.insert({entry, kControl});
        cut_links_.insert({kControl, entry});
        break;
      case EventKind::kCutPair:
        cut_links_.insert({entry, (entry + event.steps) % Size()});
        break;
      case EventKind::kSplit:
        Split(static_cast<unsigned>(event.entry));
        break;
      case EventKind::kHealAll:
        cut_links_.clear();
        break;
      case EventKind::kHealEntry:
        std::erase_if(cut_links_, [&](const auto& link) {
          return link.first == entry || link.second == entry;
        });
        break;
      case EventKind::kFreeze:
        entries_[entry].frozen_steps = event.steps * 2;
        break;
      case EventKind::kRestart:
        Restart(entry);
        break;
      case EventKind::kNewLeader:
        NewLeader();
        break;
      default:
        break;
    }
    Run(event.steps);
  }

  /// Restores all links, and checks that the newest version is then accepted
  /// and every entry serves.
  void Heal() {
    cut_links_.clear();
    late_permille_ = 0;
    Run(kSettleSteps);
    RC_ASSERT(accepted_ == committed_);
    for (int e = 0; e < Size(); ++e) {
      RC_ASSERT(Serves(e));
    }
  }

 private:
  using Message = std::function<void()>;

  int Size() const { return static_cast<int>(entries_.size()); }

  static ProcessId EntryName(int entry) {
    return ProcessId(std::to_string(entry));
  }

  FailureDomain Domain(int entry) const {
    return FailureDomain(std::to_string(domain_of_[entry]));
  }

  TimePoint LocalTime(int entry) const { return now_ + entries_[entry].offset; }

  bool Serves(int entry) const {
    return entries_[entry].gate->State(LocalTime(entry)) == GateState::kServing;
  }

  /// Replaces the entry's process. The new one has a higher incarnation and no
  /// configuration.
  void Restart(int entry) {
    ConfigGateOptions options;
    options.failure_domain = Domain(entry);
    options.domain_entries = static_cast<std::size_t>(
        std::count(domain_of_.begin(), domain_of_.end(), domain_of_[entry]));
    entries_[entry].gate =
        std::make_unique<ConfigGate>(options, LocalTime(entry));
    ++entries_[entry].incarnation;
    entries_[entry].frozen_steps = 0;
  }

  /// Replaces the leader. The new one knows the entries from the log, but none
  /// of their heartbeats. `accepted_` is kept, since it is in the log too.
  void NewLeader() {
    ++term_;
    rule_ = std::make_unique<AcceptanceRule>(LeaseTimes{}, now_);
    for (int e = 0; e < Size(); ++e) {
      rule_->AddEntry(EntryName(e), Domain(e));
    }
  }

  /// Cuts the links between a set of entries and control, and between the set
  /// and all other entries.
  void Split(unsigned set) {
    for (int e = 0; e < Size(); ++e) {
      for (int other = kControl; other < Size(); ++other) {
        const bool inside = other != kControl && (set >> other & 1U) != 0;
        if ((set >> e & 1U) != 0 && !inside) {
          cut_links_.insert({e, other});
          cut_links_.insert({other, e});
        }
      }
    }
  }

  void Send(int from, int to, const Message& message) {
    if (!cut_links_.contains({from, to})) {
      in_flight_.emplace(step_ + 1 + Delay(), std::make_pair(to, message));
    }
  }

  /// Delay of a message in steps. Most have none, and some are delayed by less
  /// than kMaxDelaySteps.
  int Delay() {
    const bool late = static_cast<int>(random_() % 1000) < late_permille_;
    return late ? static_cast<int>(random_() % kMaxDelaySteps) : 0;
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
    }
  }

  void Step() {
    ++step_;
    now_ += kStep;
    for (int e = 0; e < Size(); ++e) {
      if (entries_[e].frozen_steps > 0) {
        --entries_[e].frozen_steps;
      } else {
        CheckStart(e);
      }
    }
    Deliver();
    for (int e = 0; e < Size(); ++e) {
      if (entries_[e].frozen_steps == 0 &&
          (step_ + e) % kStepsPerHeartbeat == 0) {
        SendHeartbeat(e);
        SendProbes(e);
      }
    }
    if (rule_->IsAccepted(committed_, now_)) {
      accepted_ = std::max(accepted_, committed_);
    }
    for (int e = 0; e < Size(); ++e) {
      if (entries_[e].frozen_steps == 0) {
        CheckStart(e);
      }
    }
  }

  /// Checks that an entry that serves runs the accepted version or a newer one.
  void CheckStart(int entry) const {
    if (Serves(entry)) {
      RC_ASSERT(entries_[entry].gate->in_force() >= accepted_);
    }
  }

  /// Delivers the messages that are due, in random order. Messages to a frozen
  /// process are delivered when it runs again.
  void Deliver() {
    std::vector<std::pair<int, Message>> due;
    std::multimap<std::uint64_t, std::pair<int, Message>> later;
    for (auto& [at, item] : std::exchange(in_flight_, {})) {
      const bool frozen =
          item.first != kControl && entries_[item.first].frozen_steps > 0;
      if (at <= step_ && !frozen) {
        due.push_back(std::move(item));
      } else {
        later.emplace(at, std::move(item));
      }
    }
    in_flight_ = std::move(later);
    std::shuffle(due.begin(), due.end(), random_);
    for (const auto& [to, message] : due) {
      message();
    }
  }

  void SendHeartbeat(int e) {
    ConfigGate& gate = *entries_[e].gate;
    const protocol::EntryStatus status{EntryName(e),
                                       {},
                                       Domain(e),
                                       gate.in_force(),
                                       gate.NextHeartbeat(LocalTime(e)),
                                       entries_[e].incarnation};
    Send(e, kControl, [this, e, status] {
      rule_->RecordHeartbeat(status, now_);
      const protocol::ControlStatus answer{
          true, term_, "", committed_, status.heartbeat, accepted_};
      SendToIncarnation(kControl, e, status.incarnation, [this, e, answer] {
        entries_[e].gate->HandleControlStatus(answer, LocalTime(e));
      });
      if (status.in_force < committed_) {
        SendVersion(kControl, e, committed_);
      }
    });
  }

  void SendProbes(int e) {
    if (!entries_[e].gate->ShouldProbePeers(LocalTime(e))) {
      return;
    }
    const protocol::PeerProbe probe{entries_[e].gate->NextProbe(LocalTime(e))};
    const std::uint64_t incarnation = entries_[e].incarnation;
    for (int peer = 0; peer < Size(); ++peer) {
      if (peer != e) {
        Send(e, peer, [this, e, peer, probe, incarnation] {
          const auto answer = entries_[peer].gate->Answer(probe);
          SendToIncarnation(peer, e, incarnation, [this, e, peer, answer] {
            entries_[e].gate->HandleProbeAnswer(EntryName(peer), answer,
                                                LocalTime(e));
          });
          SendVersion(peer, e, answer.in_force);
        });
      }
    }
  }

  /// Sends an answer, which is dropped if the asking process has restarted: an
  /// answer is bound to the connection of the request.
  void SendToIncarnation(int from, int to, std::uint64_t incarnation,
                         const Message& message) {
    Send(from, to, [this, to, incarnation, message] {
      if (entries_[to].incarnation == incarnation) {
        message();
      }
    });
  }

  void SendVersion(int from, int to, ConfigVersion version) {
    Send(from, to, [this, to, version] {
      entries_[to].gate->Apply(version, LocalTime(to));
    });
  }

  std::mt19937 random_;
  TimePoint now_{Duration(0)};
  std::uint64_t step_ = 0;
  std::vector<int> domain_of_;
  std::vector<SimulatedEntry> entries_;
  std::unique_ptr<AcceptanceRule> rule_;
  std::uint64_t term_ = 0;
  ConfigVersion committed_;
  ConfigVersion accepted_;
  std::set<std::pair<int, int>> cut_links_;
  int late_permille_ = 250;
  std::multimap<std::uint64_t, std::pair<int, Message>> in_flight_;
};

rc::Gen<EventKind> AnyKind() {
  return rc::gen::weightedElement<EventKind>({{1, EventKind::kNothing},
                                              {6, EventKind::kCommit},
                                              {1, EventKind::kCutToControl},
                                              {1, EventKind::kCutFromControl},
                                              {2, EventKind::kCutControl},
                                              {2, EventKind::kCutPair},
                                              {5, EventKind::kSplit},
                                              {2, EventKind::kHealEntry},
                                              {3, EventKind::kHealAll},
                                              {3, EventKind::kFreeze},
                                              {3, EventKind::kRestart},
                                              {1, EventKind::kNewLeader}});
}

rc::Gen<Event> AnyEvent() {
  return rc::gen::build<Event>(
      rc::gen::set(&Event::kind, AnyKind()),
      rc::gen::set(&Event::entry, rc::gen::inRange(0, 64)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 50)));
}

TEST_CASE("no entry starts work under a version below an accepted one") {
  CHECK(rc::check("an accepted version is in force at every serving entry", [] {
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
    const auto sizes = *rc::gen::element(
        std::vector<int>{3, 1}, std::vector<int>{3, 3}, std::vector<int>{5},
        std::vector<int>{1, 1, 1}, std::vector<int>{2, 4});
    const auto events = *rc::gen::container<std::vector<Event>>(AnyEvent());
    Simulation simulation(seed, sizes);
    for (const Event& event : events) {
      simulation.Apply(event);
    }
    simulation.Heal();
  }));
}

}  // namespace
}  // namespace rattanward::membership
