#include <doctest/doctest.h>

#include "rattanward/ledger/in_force_tracker.h"

namespace rattanward::ledger {
namespace {

constexpr ConfigVersion kNew{7};
constexpr ConfigVersion kOld{6};
const TimePoint kStart{std::chrono::seconds(10)};

/// Three entries in each of two domains.
class Fixture {
 public:
  Fixture() {
    std::map<ProcessId, EntryRecord> entries;
    for (const char* name : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
      const ProcessId id(name);
      entries[id] = {id, VmName(name), FailureDomain(std::string(1, *name))};
    }
    tracker.SetEntries(entries, kStart);
  }
  void Hear(const char* name, ConfigVersion version, TimePoint now) {
    tracker.Heard({ProcessId(name), VmName(name), FailureDomain(), version, 0},
                  now);
  }
  void HearAll(ConfigVersion version, TimePoint now) {
    for (const char* name : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
      Hear(name, version, now);
    }
  }

  InForceTracker tracker;
};

}  // namespace

TEST_CASE("nothing is accepted before every live entry runs it") {
  Fixture f;
  f.HearAll(kOld, kStart);
  CHECK(!f.tracker.Report(kNew, kStart).accepted);
  f.HearAll(kNew, kStart);
  f.Hear("b3", kOld, kStart);
  const InForceReport report = f.tracker.Report(kNew, kStart);
  CHECK(!report.accepted);
  CHECK(!report.domains[0].pending);
  CHECK(report.domains[1] == DomainInForce{FailureDomain("b"), 3, 3, 2, true});
  f.Hear("b3", kNew, kStart);
  CHECK(f.tracker.Report(kNew, kStart).accepted);
  CHECK(f.tracker.Report(kOld, kStart).accepted);
}

TEST_CASE("no known entry means not accepted") {
  CHECK(!InForceTracker().Report(kNew, kStart).accepted);
}

TEST_CASE("one silent entry is passed over only after it surely stopped") {
  Fixture f;
  f.HearAll(kOld, kStart);
  const InForceOptions options;
  const auto report_at = [&](TimePoint now) {
    for (const char* name : {"a1", "a2", "b1", "b2", "b3"}) {
      f.Hear(name, kNew, now);
    }
    return f.tracker.Report(kNew, now);
  };
  CHECK(!report_at(kStart + kEntryLease).accepted);
  CHECK(!report_at(kStart + options.stopped_after - Duration(1)).accepted);
  CHECK(report_at(kStart + options.stopped_after).accepted);
  SUBCASE("and counts again when it wakes") {
    const TimePoint later = kStart + 2 * options.stopped_after;
    f.Hear("a3", kOld, later);
    CHECK(!report_at(later).accepted);
  }
}

TEST_CASE("a domain whose silent entries may hear each other is pending") {
  Fixture f;
  f.HearAll(kOld, kStart);
  const TimePoint later = kStart + std::chrono::hours(1);
  for (const char* name : {"a1", "b1", "b2", "b3"}) {
    f.Hear(name, kNew, later);
  }
  CHECK(f.tracker.Report(kNew, later).domains[0].pending);
  CHECK(!f.tracker.Report(kNew, later).accepted);
}

TEST_CASE("a new leader counts silence from its election") {
  Fixture f;
  f.HearAll(kNew, kStart);
  const TimePoint elected = kStart + std::chrono::seconds(60);
  f.tracker.Reset(elected);
  CHECK(!f.tracker.Report(kNew, elected).accepted);
  f.HearAll(kNew, elected);
  CHECK(f.tracker.Report(kNew, elected).accepted);
}

TEST_CASE("a removed VM counts no more") {
  Fixture f;
  f.HearAll(kNew, kStart);
  f.Hear("a1", kOld, kStart);
  std::map<ProcessId, EntryRecord> rest = {
      {ProcessId("b1"), {ProcessId("b1"), VmName("b1"), FailureDomain("b")}}};
  f.tracker.SetEntries(rest, kStart);
  CHECK(f.tracker.Report(kNew, kStart).accepted);
  CHECK(f.tracker.SilentFor(Duration(1), kStart + Duration(1)).size() == 1);
}

}  // namespace rattanward::ledger
