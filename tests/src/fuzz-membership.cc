#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "rattanward/membership/gossip.h"

namespace rattanward::membership {
namespace {

constexpr Duration kRoundPeriod{std::chrono::milliseconds(250)};
/// Time within which every entry must learn that an upstream is draining,
/// counted from the end of the last isolation if that is later.
constexpr Duration kMaxDrainDelay{std::chrono::seconds(3)};
constexpr int kRoundsPerAnnouncement = 4;
/// Number of rounds without events and losses after which all directories must
/// be equal.
constexpr int kSettleRounds = 60;
constexpr int kMaxDelayRounds = 4;

struct Case {
  std::uint32_t seed = 1;
  int entries = 2;
  int upstreams = 1;
  /// Percentage of messages that are lost, and that are delivered twice.
  int lost_percent = 0;
  int repeated_percent = 0;
  std::size_t message_bytes = 1024;
  /// One event per round: its kind, and the index of the upstream or entry.
  /// Kinds: 0 drain, 1 stop, 2 restart, 3 change the content, 4 omit the
  /// draining flag, 5 isolate an entry, 6 end the isolation. Higher ones do
  /// nothing.
  std::vector<std::pair<int, int>> events;
};

/// The true state of an upstream, with which the directories are compared.
struct SimulatedUpstream {
  int start = 1;
  std::uint64_t sequence = 0;
  std::uint64_t content = 1;
  bool draining = false;
  /// Whether announcements after the first draining one omit the flag.
  bool omits_draining = false;
  bool up = true;
  TimePoint drained_at;
};

class Simulation {
 public:
  explicit Simulation(const Case& c) : case_(c), random_(c.seed) {
    for (int i = 0; i < c.entries; ++i) {
      GossipOptions options;
      options.self = EntryName(i);
      options.failure_domain = FailureDomain("zone-" + std::to_string(i % 3));
      options.incarnation = 1;
      options.seed = c.seed + i;
      options.max_message_bytes = c.message_bytes;
      for (int j = 0; j < c.entries; ++j) {
        if (j != i) {
          options.peers.push_back(
              {EntryName(j), FailureDomain("zone-" + std::to_string(j % 3))});
        }
      }
      entries_.emplace_back(options);
    }
    upstreams_.resize(c.upstreams);
    last_seen_.resize(c.entries);
  }

  void Run() {
    for (const auto& [kind, upstream] : case_.events) {
      ApplyEvent(kind, upstreams_[upstream % case_.upstreams]);
      UpdateIsolation(kind, upstream);
      Round();
    }
    case_.lost_percent = 0;
    isolated_entry_ = -1;
    for (int i = 0; i < kSettleRounds; ++i) {
      Round();
    }
    CheckConverged();
  }

 private:
  static ProcessId EntryName(int i) { return ProcessId(std::to_string(i)); }

  bool Chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }

  void ApplyEvent(int kind, SimulatedUpstream& upstream) {
    if (kind == 0 && upstream.up && !upstream.draining) {
      upstream.draining = true;
      upstream.drained_at = now_;
    } else if (kind == 1) {
      upstream.up = false;
    } else if (kind == 2) {
      upstream = {upstream.start + 1, 0, 1, false, false, true, {}};
    } else if (kind == 3) {
      ++upstream.content;
    } else if (kind == 4) {
      upstream.omits_draining = true;
    }
  }

  /// Starts or ends the loss of all messages to and from one entry.
  void UpdateIsolation(int kind, int entry) {
    if (kind == 5) {
      isolated_entry_ = entry % case_.entries;
    } else if (kind == 6) {
      isolated_entry_ = -1;
    }
    if (isolated_entry_ >= 0) {
      last_isolated_ = now_;
    }
  }

  static Announcement MakeAnnouncement(int index,
                                       const SimulatedUpstream& upstream) {
    Announcement announcement;
    announcement.instance = UpstreamId(std::to_string(index) + "/" +
                                       std::to_string(upstream.start));
    announcement.sequence = upstream.sequence;
    announcement.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(index)};
    announcement.capacity = static_cast<std::uint32_t>(upstream.content);
    announcement.draining = upstream.draining;
    return announcement;
  }

  void Round() {
    ++round_;
    now_ += kRoundPeriod;
    for (int i = 0; i < case_.upstreams; ++i) {
      if (upstreams_[i].up && (round_ + i) % kRoundsPerAnnouncement == 0) {
        ++upstreams_[i].sequence;
        Announcement announced = MakeAnnouncement(i, upstreams_[i]);
        announced.draining &= !upstreams_[i].omits_draining ||
                              !announced_draining_[announced.instance];
        announced_draining_[announced.instance] |= announced.draining;
        entries_[(i + upstreams_[i].start) % entries_.size()].Announce(
            announced, now_);
      }
    }
    for (Gossip& entry : entries_) {
      const GossipRound result = entry.Tick(now_);
      for (const GossipPush& push : result.pushes) {
        Send(push);
      }
    }
    Deliver();
    CheckEntries();
  }

  void Send(const GossipPush& push) {
    if (isolated_entry_ >= 0 &&
        (push.to == EntryName(isolated_entry_) ||
         push.message.from == EntryName(isolated_entry_))) {
      return;
    }
    const int copies =
        Chance(case_.lost_percent) ? 0 : 1 + Chance(case_.repeated_percent);
    for (int i = 0; i < copies; ++i) {
      in_flight_.emplace(round_ + random_() % kMaxDelayRounds, push);
    }
  }

  void Deliver() {
    std::vector<GossipPush> due;
    for (auto it = in_flight_.begin();
         it != in_flight_.end() && it->first <= round_;) {
      due.push_back(it->second);
      it = in_flight_.erase(it);
    }
    std::shuffle(due.begin(), due.end(), random_);
    for (const GossipPush& push : due) {
      entries_[std::stoi(push.to.str())].Receive(push.message, now_);
    }
  }

  void CheckEntries() {
    for (std::size_t e = 0; e < entries_.size(); ++e) {
      for (const Announcement& a : entries_[e].directory().Upstreams()) {
        CheckNotOlder(a, last_seen_[e][a.instance]);
        CheckDrained(a);
        last_seen_[e][a.instance] = a;
      }
    }
  }

  static void CheckNotOlder(const Announcement& a, const Announcement& before) {
    RC_ASSERT(a.sequence >= before.sequence);
    RC_ASSERT(a.capacity >= before.capacity);
    RC_ASSERT(a.draining || !before.draining);
  }

  void CheckDrained(const Announcement& a) const {
    const SimulatedUpstream& truth = upstreams_[a.endpoint.port];
    if (truth.draining && truth.up &&
        now_ - std::max(truth.drained_at, last_isolated_) > kMaxDrainDelay &&
        a.instance == MakeAnnouncement(a.endpoint.port, truth).instance) {
      RC_ASSERT(a.draining);
    }
  }

  void CheckConverged() const {
    for (const Gossip& entry : entries_) {
      std::vector<std::pair<UpstreamId, std::pair<std::uint32_t, bool>>> known;
      for (const Announcement& a : entry.directory().Upstreams()) {
        known.push_back({a.instance, {a.capacity, a.draining}});
      }
      decltype(known) expected;
      for (int i = 0; i < case_.upstreams; ++i) {
        if (upstreams_[i].up) {
          const Announcement a = MakeAnnouncement(i, upstreams_[i]);
          expected.push_back({a.instance, {a.capacity, a.draining}});
        }
      }
      std::sort(expected.begin(), expected.end());
      RC_ASSERT(known == expected);
      RC_ASSERT(static_cast<int>(entry.LiveEntries().size()) ==
                case_.entries - 1);
    }
  }

  Case case_;
  std::mt19937 random_;
  TimePoint now_{Duration(0)};
  std::uint64_t round_ = 0;
  std::vector<Gossip> entries_;
  std::vector<SimulatedUpstream> upstreams_;
  std::multimap<std::uint64_t, GossipPush> in_flight_;
  std::vector<std::map<UpstreamId, Announcement>> last_seen_;
  std::map<UpstreamId, bool> announced_draining_;
  int isolated_entry_ = -1;
  TimePoint last_isolated_{Duration(0)};
};

TEST_CASE("directories converge under lost, late and repeated messages") {
  CHECK(rc::check("directories converge", [] {
    Case c;
    c.seed = *rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
    c.entries = *rc::gen::inRange(2, 10);
    c.upstreams = *rc::gen::inRange(1, 17);
    c.message_bytes = *rc::gen::inRange<std::size_t>(300, 1025);
    c.lost_percent = *rc::gen::inRange(0, 31);
    c.repeated_percent = *rc::gen::inRange(0, 31);
    c.events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 16)));
    Simulation(c).Run();
  }));
}

}  // namespace
}  // namespace rattanward::membership
