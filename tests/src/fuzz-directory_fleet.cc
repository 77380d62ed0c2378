#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../fakes/directory_fleet.h"

namespace rattanward::membership {
namespace {

using fakes::DirectoryFleet;
using std::chrono::seconds;

InstanceRecord Heartbeat(int id, std::uint64_t born, std::uint64_t sequence,
                         InstanceState state = InstanceState::kReady) {
  InstanceRecord record;
  record.id = UpstreamId("i" + std::to_string(id));
  record.stamp = {born, sequence};
  record.service = ServiceName("s");
  record.endpoint = {"10.0.0." + std::to_string(id + 1), 80};
  record.state = state;
  return record;
}

InstanceState StateAt(const InstanceDirectory& directory,
                      const std::string& id) {
  return directory.Find(UpstreamId(id))->state;
}

/// Whether the directory knows an upstream as ready.
bool IsReady(const InstanceDirectory& directory, const std::string& id) {
  const InstanceRecord* record = directory.Find(UpstreamId(id));
  return record != nullptr && record->state == InstanceState::kReady;
}

/// A heartbeat that is sent and may arrive much later.
struct Sent {
  InstanceRecord record;
  bool arrived = false;
};

/// Upstreams that each report ready, then draining.
std::vector<Sent> GenerateHeartbeats(int upstreams) {
  std::vector<Sent> sent;
  for (int id = 0; id < upstreams; ++id) {
    const auto ready = *rc::gen::inRange<std::uint64_t>(1, 6);
    const auto draining = *rc::gen::inRange<std::uint64_t>(0, 4);
    for (std::uint64_t i = 1; i <= ready + draining; ++i) {
      sent.push_back({Heartbeat(
          id, 7, i,
          i <= ready ? InstanceState::kReady : InstanceState::kDraining)});
    }
  }
  return sent;
}

/// The starts that a directory knows as not ready.
std::set<std::string> NotReady(const InstanceDirectory& directory) {
  std::set<std::string> ids;
  for (const InstanceRecord& record : directory.All()) {
    if (record.state != InstanceState::kReady) {
      ids.insert(record.id.str());
    }
  }
  return ids;
}

std::map<std::string, InstanceState> States(
    const InstanceDirectory& directory) {
  std::map<std::string, InstanceState> states;
  for (const InstanceRecord& record : directory.All()) {
    states[record.id.str()] = record.state;
  }
  return states;
}

/// One heartbeat arrives: mostly the next one, at times one that is late or
/// arrives again.
void DeliverHeartbeat(DirectoryFleet* fleet, std::vector<Sent>* sent,
                      TimePoint now) {
  const auto next = std::find_if(sent->begin(), sent->end(),
                                 [](const Sent& one) { return !one.arrived; });
  const bool is_late = *rc::gen::inRange(0, 5) == 0;
  Sent& chosen = is_late || next == sent->end()
                     ? sent->at(*rc::gen::inRange<std::size_t>(0, sent->size()))
                     : *next;
  chosen.arrived = true;
  fleet->Register(*rc::gen::inRange<std::size_t>(0, fleet->controls()),
                  chosen.record, now);
}

void TakeStep(DirectoryFleet* fleet, std::vector<Sent>* sent, TimePoint now) {
  const auto one = *rc::gen::inRange<std::size_t>(0, fleet->controls());
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      fleet->Cut(one);
      break;
    case 1:
    case 2:
      fleet->Heal(one);
      break;
    case 3:
      fleet->MarkSilent(one, now - seconds(1), now);
      break;
    case 4:
      fleet->Connect(*rc::gen::inRange<std::size_t>(0, fleet->entries()), one,
                     now);
      break;
    case 5:
      fleet->SendDirectory(one);
      break;
    case 6:
    case 7:
      fleet->DeliverNext(
          one, *rc::gen::inRange<std::size_t>(0, fleet->controls()), now);
      break;
    case 8:
      fleet->DeliverAll(now);
      break;
    default:
      DeliverHeartbeat(fleet, sent, now);
  }
}

}  // namespace

TEST_CASE("a beat never revives an upstream that left during a cut") {
  DirectoryFleet fleet(3, 2);
  TimePoint now{seconds(100)};
  fleet.Register(0, Heartbeat(0, 7, 1), now);
  fleet.DeliverAll(now);
  fleet.Cut(1);
  for (std::uint64_t beat = 2; beat <= 6; ++beat) {
    now += seconds(1);
    fleet.Register(0, Heartbeat(0, 7, beat), now);
    fleet.DeliverAll(now);
  }
  fleet.MarkSilent(1, now - seconds(4), now);
  fleet.Register(0, Heartbeat(0, 7, 7, InstanceState::kDraining), now);
  CHECK(StateAt(fleet.entry(0), "i0") == InstanceState::kDraining);
  fleet.Heal(1);
  now += seconds(1);
  fleet.Register(0, Heartbeat(0, 7, 8, InstanceState::kDraining), now);
  fleet.DeliverAll(now);
  CHECK(StateAt(fleet.entry(0), "i0") == InstanceState::kDraining);
  CHECK(StateAt(fleet.entry(1), "i0") == InstanceState::kDraining);
  CHECK_FALSE(fleet.entry(0).Find(UpstreamId("i0"))->silent);
  CHECK_FALSE(fleet.control(1).Find(UpstreamId("i0"))->silent);
  fleet.SendDirectory(0);
  fleet.DeliverAll(now);
  CHECK(StateAt(fleet.control(1), "i0") == InstanceState::kDraining);
}

TEST_CASE("a report that a beat has overtaken is still heeded") {
  InstanceDirectory directory;
  const TimePoint now{seconds(100)};
  directory.Merge(Heartbeat(0, 7, 1), now);
  directory.ApplyBeat({UpstreamId("i0"), {7, 9}}, now);
  CHECK(directory.Merge(Heartbeat(0, 7, 5, InstanceState::kDraining), now) ==
        InstanceDirectory::Change::kChanged);
  CHECK(StateAt(directory, "i0") == InstanceState::kDraining);
  CHECK(directory.Find(UpstreamId("i0"))->stamp == InstanceStamp{7, 9});
  // Known before, and older than what is known.
  CHECK(directory.Merge(Heartbeat(0, 7, 4), now) ==
        InstanceDirectory::Change::kStale);
}

TEST_CASE("an entry that knows a start as leaving never sees it ready again") {
  CHECK(rc::check([] {
    DirectoryFleet fleet(3, 2);
    std::vector<Sent> sent = GenerateHeartbeats(*rc::gen::inRange(1, 3));
    TimePoint now{seconds(100)};
    std::vector<std::set<std::string>> left(fleet.entries());
    const int steps = *rc::gen::inRange(10, 80);
    for (int step = 0; step < steps; ++step) {
      now += seconds(*rc::gen::inRange(0, 2));
      TakeStep(&fleet, &sent, now);
      for (std::size_t i = 0; i < fleet.entries(); ++i) {
        const std::set<std::string> known = NotReady(fleet.entry(i));
        RC_ASSERT(std::includes(known.begin(), known.end(), left[i].begin(),
                                left[i].end()));
        left[i] = known;
      }
    }
  }));
}

// Guards against a departed start that comes back by a late heartbeat, and
// against a later start of its id that stays away.
TEST_CASE("a start that departed stays away, whatever control has forgotten") {
  CHECK(rc::check([] {
    DirectoryFleet fleet(3, 2);
    TimePoint now{seconds(100)};
    const auto any_control = [&] {
      return *rc::gen::inRange<std::size_t>(0, fleet.controls());
    };
    const auto step = [&] {
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          fleet.RestartControls(now);
          break;
        case 1:
          fleet.RestartEntry(*rc::gen::inRange<std::size_t>(0, fleet.entries()),
                             now);
          break;
        case 2:
          fleet.SendDirectory(any_control());
          break;
        case 3:
          fleet.DeliverAll(now);
          break;
        default:
          fleet.Register(any_control(),
                         Heartbeat(0, 7, *rc::gen::inRange(1, 9)), now);
      }
    };
    fleet.Register(any_control(), Heartbeat(0, 7, 1), now);
    for (int i = *rc::gen::inRange(0, 10); i > 0; --i) {
      step();
    }
    if (*rc::gen::element(false, true)) {
      fleet.RestartControls(now);
    }
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
      if (*rc::gen::element(false, true)) {
        fleet.RestartEntry(entry, now);
      }
    }
    fleet.Depart(any_control(), UpstreamId("i0"), now);
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
      step();
      for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
        RC_ASSERT(!IsReady(fleet.entry(entry), "i0"));
      }
    }
    now += DepartedIds::kHold + seconds(1);
    fleet.ExpireDepartedIds(now);
    fleet.Register(any_control(), Heartbeat(0, 8, 1), now);
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
      RC_ASSERT(IsReady(fleet.entry(entry), "i0"));
    }
  }));
}

TEST_CASE("after a cut all directories agree on the newest report") {
  CHECK(rc::check([] {
    DirectoryFleet fleet(3, 2);
    std::vector<Sent> sent = GenerateHeartbeats(*rc::gen::inRange(1, 3));
    TimePoint now{seconds(100)};
    const int steps = *rc::gen::inRange(10, 80);
    for (int step = 0; step < steps; ++step) {
      now += seconds(*rc::gen::inRange(0, 2));
      TakeStep(&fleet, &sent, now);
    }
    std::map<std::string, InstanceState> newest;
    for (const Sent& one : sent) {
      if (one.arrived) {
        newest[one.record.id.str()] = one.record.state;
      }
    }
    for (std::size_t i = 0; i < fleet.controls(); ++i) {
      fleet.Heal(i);
    }
    for (std::size_t i = 0; i < fleet.controls(); ++i) {
      fleet.SendDirectory(i);
      fleet.DeliverAll(now);
    }
    for (std::size_t i = 0; i < fleet.controls(); ++i) {
      RC_ASSERT(States(fleet.control(i)) == newest);
    }
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
      fleet.Connect(i, 0, now);
      RC_ASSERT(States(fleet.entry(i)) == newest);
    }
  }));
}

}  // namespace rattanward::membership
