#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "rattanward/membership/instance_directory.h"

namespace rattanward::membership {
namespace {

constexpr std::uint64_t kMaxSequence =
    std::numeric_limits<std::uint64_t>::max();

/// A call of an upstream: registration, heartbeat, draining or deregistration.
struct Call {
  int id = 0;
  std::uint64_t born = 1;
  std::uint64_t sequence = 1;
  int address = 0;
  InstanceState state = InstanceState::kReady;
  /// Of another writer: its service is never named.
  bool foreign = false;
};

/// Ids from this on are of a service that is named at times.
constexpr int kFirstLateId = 2;

ServiceName ServiceOf(const Call& call) {
  if (call.foreign) {
    return ServiceName("foreign");
  }
  return ServiceName(call.id < kFirstLateId ? "s" : "late");
}

NamedServices Services(bool with_late) {
  std::set<ServiceName> services{ServiceName("s")};
  if (with_late) {
    services.insert(ServiceName("late"));
  }
  return NamedServices(services);
}

std::ostream& operator<<(std::ostream& out, const Call& call) {
  return out << "i" << call.id << " born " << call.born << " seq "
             << call.sequence << " at " << call.address << " state "
             << static_cast<int>(call.state)
             << (call.foreign ? " foreign" : "");
}

InstanceRecord ToRecord(const Call& call) {
  InstanceRecord record;
  record.id = UpstreamId("i" + std::to_string(call.id));
  record.stamp = {call.born, call.sequence};
  record.service = ServiceOf(call);
  record.endpoint = {"10.0.0." + std::to_string(call.address + 1), 80};
  record.state = call.state;
  return record;
}

/// Reference model: computes the ready upstreams from the set of all calls
/// delivered so far. The order of delivery has no effect.
class Oracle {
 public:
  void AddCall(const Call& call) { calls_.push_back(call); }

  std::set<std::string> Ready(bool with_late) const {
    std::set<std::string> ready;
    std::map<int, Call> newest;
    std::set<std::pair<int, std::uint64_t>> gone;
    std::map<int, std::uint64_t> owner;
    for (const Call& call : calls_) {
      if (call.foreign || (call.id >= kFirstLateId && !with_late)) {
        continue;
      }
      if (call.state == InstanceState::kGone) {
        gone.insert({call.id, call.born});
      } else {
        owner[call.address] = std::max(owner[call.address], call.born);
      }
      const auto known = newest.find(call.id);
      if (known == newest.end() ||
          std::tie(known->second.born, known->second.sequence) <
              std::tie(call.born, call.sequence)) {
        newest[call.id] = call;
      }
    }
    for (const auto& [id, call] : newest) {
      if (call.state == InstanceState::kReady &&
          gone.count({id, call.born}) == 0 &&
          owner[call.address] == call.born) {
        ready.insert("i" + std::to_string(id));
      }
    }
    return ready;
  }

 private:
  std::vector<Call> calls_;
};

/// Those that are ready and of a service that is named now.
std::set<std::string> Ready(const InstanceDirectory& directory) {
  std::set<std::string> ready;
  for (const InstanceRecord& record : directory.All()) {
    if (record.state == InstanceState::kReady && directory.Names(record)) {
      ready.insert(record.id.str());
    }
  }
  return ready;
}

/// Generates the calls of several starts of upstreams. Each start has a time of
/// its own, heartbeats, and possibly draining and deregistration.
std::vector<Call> GenerateCalls() {
  std::vector<Call> calls;
  const int starts = *rc::gen::inRange(1, 8);
  for (int start = 0; start < starts; ++start) {
    Call call;
    call.id = *rc::gen::inRange(0, 4);
    call.address = *rc::gen::inRange(0, 3);
    call.born = static_cast<std::uint64_t>(start) + 1;
    const int beats = *rc::gen::inRange(1, 5);
    for (int beat = 0; beat < beats; ++beat) {
      call.sequence = static_cast<std::uint64_t>(beat) + 1;
      calls.push_back(call);
    }
    if (*rc::gen::arbitrary<bool>()) {
      call.state = InstanceState::kDraining;
      ++call.sequence;
      calls.push_back(call);
    }
    if (*rc::gen::arbitrary<bool>()) {
      call.state = InstanceState::kGone;
      call.sequence = kMaxSequence;
      calls.push_back(call);
    }
  }
  // Another writer takes ids, addresses, and starts before and after.
  const int foreign = *rc::gen::inRange(0, 4);
  for (int i = 0; i < foreign; ++i) {
    Call call;
    call.foreign = true;
    call.id = *rc::gen::inRange(0, 4);
    call.address = *rc::gen::inRange(0, 3);
    call.born = *rc::gen::inRange<std::uint64_t>(1, 12);
    call.sequence = *rc::gen::inRange<std::uint64_t>(1, 9);
    call.state =
        *rc::gen::element(InstanceState::kReady, InstanceState::kDraining);
    calls.insert(
        calls.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                            0, static_cast<std::ptrdiff_t>(calls.size() + 1)),
        call);
  }
  return calls;
}

void Deliver(InstanceDirectory* directory, const Call& call) {
  const InstanceRecord record = ToRecord(call);
  if (call.state == InstanceState::kGone) {
    directory->Deregister(record.id, call.born, TimePoint());
  } else {
    directory->Merge(record, TimePoint());
  }
}

void TellChanges(InstanceDirectory* from, InstanceDirectory* to) {
  for (const auto& changes :
       {from->TakeChanges(), from->TakeUnnamedChanges()}) {
    for (const InstanceRecord& record : changes) {
      to->Merge(record, TimePoint());
    }
  }
}

/// Exchanges all records twice, as control VMs do periodically: only after the
/// first exchange does the other directory know of every takeover of an
/// address.
void ExchangeAll(InstanceDirectory* a, InstanceDirectory* b) {
  for (int round = 0; round < 2; ++round) {
    for (const InstanceRecord& record : a->AllToTell()) {
      b->Merge(record, TimePoint());
    }
    for (const InstanceRecord& record : b->AllToTell()) {
      a->Merge(record, TimePoint());
    }
  }
}

}  // namespace

TEST_CASE("late, repeated or reordered calls give the same ready upstreams") {
  CHECK(rc::check([] {
    std::vector<Call> calls = GenerateCalls();
    // Repeat some calls and shuffle all of them.
    const std::size_t count = calls.size();
    for (std::size_t i = 0; i < count; ++i) {
      if (*rc::gen::inRange(0, 4) == 0) {
        calls.push_back(calls[i]);
      }
    }
    for (std::size_t i = calls.size(); i > 1; --i) {
      std::swap(calls[i - 1],
                calls[static_cast<std::size_t>(
                    *rc::gen::inRange<int>(0, static_cast<int>(i)))]);
    }
    InstanceDirectory directory;
    Oracle oracle;
    bool with_late = true;
    directory.SetServices(Services(with_late));
    for (const Call& call : calls) {
      if (*rc::gen::inRange(0, 3) == 0) {
        with_late = !with_late;
        directory.SetServices(Services(with_late));
      }
      Deliver(&directory, call);
      oracle.AddCall(call);
      RC_LOG() << call << "\n";
      // No upstream is ready that is not ready in the reference model.
      const std::set<std::string> ready = Ready(directory);
      const std::set<std::string> allowed = oracle.Ready(with_late);
      RC_ASSERT(std::includes(allowed.begin(), allowed.end(), ready.begin(),
                              ready.end()));
    }
    for (const bool named : {false, true, false}) {
      directory.SetServices(Services(named));
      RC_ASSERT(Ready(directory) == oracle.Ready(named));
    }
  }));
}

TEST_CASE("directories that exchange their changes converge") {
  CHECK(rc::check([] {
    const std::vector<Call> calls = GenerateCalls();
    InstanceDirectory directory_a;
    InstanceDirectory directory_b;
    directory_a.SetServices(Services(true));
    directory_b.SetServices(Services(false));
    for (const Call& call : calls) {
      InstanceDirectory& receiver =
          *rc::gen::arbitrary<bool>() ? directory_a : directory_b;
      // The two hear of new routes at different times.
      receiver.SetServices(Services(*rc::gen::arbitrary<bool>()));
      Deliver(&receiver, call);
      if (*rc::gen::arbitrary<bool>()) {
        TellChanges(&directory_a, &directory_b);
        TellChanges(&directory_b, &directory_a);
      }
    }
    const bool named = *rc::gen::arbitrary<bool>();
    directory_a.SetServices(Services(named));
    directory_b.SetServices(Services(named));
    ExchangeAll(&directory_a, &directory_b);
    RC_ASSERT(Ready(directory_a) == Ready(directory_b));
  }));
}

TEST_CASE("a start that is leaving is never ready again, in any order") {
  CHECK(rc::check([] {
    const std::vector<Call> calls = GenerateCalls();
    InstanceDirectory told;
    InstanceDirectory other;
    std::set<std::pair<std::string, std::uint64_t>> leaving;
    for (const Call& call : calls) {
      if (*rc::gen::inRange(0, 3) == 0) {
        // Before or after the first record of this start.
        const Call& chosen = *rc::gen::elementOf(calls);
        const InstanceRecord record = ToRecord(chosen);
        told.MarkLeaving({record.id, record.stamp.born});
        leaving.insert({record.id.str(), record.stamp.born});
      }
      Deliver(*rc::gen::arbitrary<bool>() ? &told : &other, call);
    }
    ExchangeAll(&told, &other);
    for (const InstanceDirectory* directory : {&told, &other}) {
      for (const InstanceRecord& record : directory->All()) {
        const bool marked =
            leaving.count({record.id.str(), record.stamp.born}) > 0;
        RC_ASSERT(!marked || record.state != InstanceState::kReady);
        RC_ASSERT(marked || !record.leaving);
      }
    }
    RC_ASSERT(Ready(told) == Ready(other));
  }));
}

TEST_CASE("the next start of an id that left is ready at once") {
  InstanceDirectory directory;
  Call call;
  directory.Merge(ToRecord(call), TimePoint());
  CHECK(directory.MarkLeaving({UpstreamId("i0"), 1}));
  CHECK_FALSE(directory.MarkLeaving({UpstreamId("i0"), 1}));
  CHECK(Ready(directory).empty());
  call.sequence = 7;
  directory.Merge(ToRecord(call), TimePoint());
  CHECK(Ready(directory).empty());
  call.born = 2;
  call.sequence = 1;
  directory.Merge(ToRecord(call), TimePoint());
  CHECK(Ready(directory).size() == 1);
  CHECK_FALSE(directory.MarkLeaving({UpstreamId("i0"), 1}));
  CHECK(Ready(directory).size() == 1);
}

TEST_CASE("silence is a change, and ends with the next heartbeat") {
  InstanceDirectory directory;
  Call call;
  directory.Merge(ToRecord(call), TimePoint());
  directory.TakeChanges();
  const TimePoint later = TimePoint() + std::chrono::seconds(5);
  CHECK(directory.MarkSilent(later).size() == 1);
  CHECK(directory.Find(UpstreamId("i0"))->silent);
  CHECK(directory.TakeChanges().size() == 1);
  CHECK(directory.ApplyBeat({UpstreamId("i0"), {1, 2}}, later) ==
        InstanceDirectory::Change::kChanged);
  CHECK_FALSE(directory.Find(UpstreamId("i0"))->silent);
  CHECK(directory.ApplyBeat({UpstreamId("i0"), {1, 2}}, later) ==
        InstanceDirectory::Change::kStale);
}

TEST_CASE("only gone or silent instances are removed after a time") {
  InstanceDirectory directory;
  Call call;
  directory.Merge(ToRecord(call), TimePoint());
  Call other;
  other.id = 1;
  other.address = 1;
  other.born = 2;
  directory.Merge(ToRecord(other), TimePoint());
  directory.Deregister(UpstreamId("i1"), std::nullopt, TimePoint());
  const TimePoint later = TimePoint() + std::chrono::minutes(5);
  CHECK(directory.Forget(later) == std::vector<UpstreamId>{UpstreamId("i1")});
  CHECK(directory.size() == 1);
}

TEST_CASE("directories agree on limits, in whatever order they hear of them") {
  CHECK(rc::check([] {
    InstanceDirectory a;
    InstanceDirectory b;
    const int answers = *rc::gen::inRange(1, 12);
    for (int i = 0; i < answers; ++i) {
      InstanceDirectory& reader = *rc::gen::arbitrary<bool>() ? a : b;
      InstanceDirectory& other = &reader == &a ? b : a;
      const auto milli = *rc::gen::inRange<std::uint64_t>(0, 3);
      NamedTerms named;
      named.limit =
          milli == 0 ? std::nullopt : std::optional(RequestRate{milli});
      const auto rejections = *rc::gen::inRange<std::uint32_t>(0, 3);
      named.rejection_limit =
          rejections == 0 ? std::nullopt : std::optional(rejections);
      named.complete = *rc::gen::arbitrary<bool>();
      const auto born = *rc::gen::inRange<std::uint64_t>(1, 3);
      const auto read = reader.ReadLimit(UpstreamId("i0"), born, named);
      if (read && *rc::gen::arbitrary<bool>()) {
        other.MergeLimit(*read);
      }
      if (*rc::gen::arbitrary<bool>()) {
        Call call;
        call.born = born;
        call.sequence = static_cast<std::uint64_t>(i) + 1;
        Deliver(&reader, call);
      }
    }
    ExchangeAll(&a, &b);
    for (const UpstreamLimit& limit : a.Limits()) {
      b.MergeLimit(limit);
    }
    for (const UpstreamLimit& limit : b.Limits()) {
      a.MergeLimit(limit);
    }
    RC_ASSERT(a.Limits() == b.Limits());
    RC_ASSERT(a.All().size() == b.All().size());
    for (const InstanceRecord& record : a.All()) {
      RC_ASSERT(b.Find(record.id)->limit == record.limit);
    }
  }));
}

}  // namespace rattanward::membership
