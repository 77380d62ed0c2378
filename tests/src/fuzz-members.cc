#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/consensus_cluster.h"

namespace rattanward {
namespace {

using fakes::ConsensusCluster;
using fakes::CrashPoint;
using fakes::Slot;

constexpr std::size_t kVms = 5;
constexpr std::size_t kMaxLostVms = 2;
constexpr Duration kCatchUpTime{std::chrono::seconds(4)};
/// Time within which a voter that is gone is replaced by a control VM that has
/// already caught up.
constexpr Duration kNoticeTime{std::chrono::seconds(1)};
/// Time within which a control VM that is told to stop has ended.
constexpr Duration kHandOverTime{std::chrono::seconds(2)};

control::KeeperOptions MakeKeeperOptions() {
  control::KeeperOptions options;
  options.wanted_voters = 2 * kMaxLostVms + 1;
  options.max_voters = 2 * options.wanted_voters - 1;
  return options;
}

/// Returns 1 to `max_count` random VMs.
std::set<Slot> DrawSlots(std::size_t max_count) {
  std::set<Slot> slots;
  const auto count = *rc::gen::inRange<std::size_t>(1, max_count + 1);
  while (slots.size() < count) {
    slots.insert(*rc::gen::inRange<Slot>(0, kVms));
  }
  return slots;
}

/// Returns different random VMs that were not removed.
std::vector<Slot> DrawPresent(const ConsensusCluster& cluster,
                              std::size_t count) {
  std::vector<Slot> present = cluster.Present();
  std::vector<Slot> drawn;
  while (drawn.size() < count) {
    const auto at = *rc::gen::inRange<std::size_t>(0, present.size());
    drawn.push_back(present[at]);
    present.erase(present.begin() + static_cast<std::ptrdiff_t>(at));
  }
  return drawn;
}

/// Proposes entries until a leader has applied an entry after the given index
/// or the attempts are used up. Returns the leader's applied index.
consensus::LogIndex ProposeUntilApplied(ConsensusCluster& cluster,
                                        consensus::LogIndex after) {
  constexpr int kTries = 200;
  for (int i = 0; i < kTries && cluster.LeaderAppliedIndex() <= after; ++i) {
    cluster.Propose("change");
    cluster.AdvanceTime(std::chrono::milliseconds(50));
  }
  return cluster.LeaderAppliedIndex();
}

}  // namespace

TEST_CASE(
    "no acknowledged entry is lost when two of five VMs lose their disks") {
  CHECK(rc::check([](std::uint64_t seed) {
    ConsensusCluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(2));
    consensus::LogIndex acknowledged = 0;
    const int rounds = *rc::gen::inRange(1, 5);
    for (int round = 0; round < rounds; ++round) {
      acknowledged = ProposeUntilApplied(cluster, acknowledged);
      RC_ASSERT(acknowledged > 0);
      // Up to two VMs lose their disks. At the same time all other VMs may lose
      // power.
      const std::set<Slot> wiped = DrawSlots(kMaxLostVms);
      const bool power_loss = *rc::gen::arbitrary<bool>();
      for (Slot slot = 0; slot < kVms; ++slot) {
        if (wiped.count(slot) > 0) {
          cluster.WipeDisk(slot);
        } else if (power_loss) {
          cluster.Crash(slot, CrashPoint::kNow);
        }
      }
      cluster.AdvanceTime(
          std::chrono::milliseconds(*rc::gen::inRange(10, 3000)));
      for (Slot slot = 0; slot < kVms; ++slot) {
        cluster.Start(slot);
      }
      cluster.AdvanceTime(kCatchUpTime);
      RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
      RC_ASSERT(cluster.AllVmsAreCurrentVoters());
      RC_ASSERT(cluster.LeaderAppliedIndex() >= acknowledged);
    }
  }));
}

TEST_CASE("voters that are partitioned, frozen or crashed remain voters") {
  CHECK(rc::check([](std::uint64_t seed) {
    ConsensusCluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(2));
    const int rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
      const std::set<Slot> faulty = DrawSlots(kMaxLostVms);
      const int fault = *rc::gen::inRange(0, 3);
      for (const Slot slot : faulty) {
        if (fault == 0) {
          cluster.Crash(slot, CrashPoint::kNow);
        } else if (fault == 1) {
          cluster.Freeze(slot);
        } else {
          for (Slot other = 0; other < kVms; ++other) {
            cluster.network().Cut(slot, other);
            cluster.network().Cut(other, slot);
          }
        }
      }
      cluster.AdvanceTime(
          std::chrono::milliseconds(*rc::gen::inRange(100, 8000)));
      cluster.network().Heal();
      for (const Slot slot : faulty) {
        cluster.Unfreeze(slot);
        cluster.Start(slot);
      }
      cluster.AdvanceTime(kCatchUpTime);
      RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
      RC_ASSERT(cluster.AllVmsAreCurrentVoters());
    }
  }));
}

TEST_CASE(
    "a control VM replaced at another address leaves the tolerance of two "
    "losses") {
  CHECK(rc::check([](std::uint64_t seed) {
    ConsensusCluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(2));
    consensus::LogIndex acknowledged = 0;
    const int rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
      acknowledged = ProposeUntilApplied(cluster, acknowledged);
      RC_ASSERT(acknowledged > 0);
      const bool leader = *rc::gen::arbitrary<bool>();
      const Slot gone =
          leader ? cluster.LeaderSlot().value_or(cluster.Present().front())
                 : DrawPresent(cluster, 1).front();
      const bool planned = *rc::gen::arbitrary<bool>();
      if (planned) {
        cluster.Add();
        cluster.AdvanceTime(kCatchUpTime);
        cluster.Remove(gone);
      } else {
        cluster.Remove(gone);
        cluster.AdvanceTime(
            std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        cluster.Add();
        cluster.AdvanceTime(kCatchUpTime);
      }
      // The log changes membership and commits entries at the same time.
      acknowledged =
          std::max(acknowledged, ProposeUntilApplied(cluster, acknowledged));
      const std::vector<Slot> lost = DrawPresent(cluster, kMaxLostVms);
      const bool wiped = *rc::gen::arbitrary<bool>();
      // A voter that is gone takes up to an election to be noticed.
      cluster.AdvanceTime(kNoticeTime);
      for (const Slot slot : lost) {
        wiped ? cluster.WipeDisk(slot) : cluster.Crash(slot, CrashPoint::kNow);
      }
      const consensus::LogIndex before = acknowledged;
      acknowledged = ProposeUntilApplied(cluster, acknowledged);
      RC_ASSERT(acknowledged > before);
      for (const Slot slot : lost) {
        cluster.Start(slot);
      }
      cluster.AdvanceTime(kCatchUpTime);
      RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
      RC_ASSERT(cluster.AllVmsAreCurrentVoters());
      RC_ASSERT(cluster.LeaderAppliedIndex() >= acknowledged);
    }
  }));
}

// Guards against old voters that end together before anybody else has a vote.
TEST_CASE("a group goes on when replaced control VMs end at the same moment") {
  constexpr std::size_t kMostKilled = 4;
  CHECK(rc::check([=](std::uint64_t seed) {
    ConsensusCluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(2));
    const consensus::LogIndex acknowledged = ProposeUntilApplied(cluster, 0);
    const bool planned = *rc::gen::arbitrary<bool>();
    std::vector<Slot> old = DrawPresent(
        cluster,
        *rc::gen::inRange<std::size_t>(1, (planned ? kVms : kMostKilled) + 1));
    for (std::size_t i = 0; i < old.size(); ++i) {
      cluster.Add();
    }
    cluster.AdvanceTime(kCatchUpTime);
    const auto apart = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
    for (const Slot slot : old) {
      planned ? cluster.Leave(slot) : cluster.Remove(slot);
      cluster.AdvanceTime(*rc::gen::arbitrary<bool>() ? apart : Duration(0));
    }
    const consensus::LogIndex changed =
        ProposeUntilApplied(cluster, acknowledged);
    RC_ASSERT(changed > acknowledged);
    cluster.AdvanceTime(kHandOverTime);
    RC_ASSERT(cluster.Present().size() == kVms);
    const std::vector<Slot> lost = DrawPresent(cluster, kMaxLostVms);
    for (const Slot slot : lost) {
      cluster.WipeDisk(slot);
    }
    RC_ASSERT(ProposeUntilApplied(cluster, changed) > changed);
    for (const Slot slot : lost) {
      cluster.Start(slot);
    }
    cluster.AdvanceTime(kCatchUpTime);
    RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
    RC_ASSERT(cluster.AllVmsAreCurrentVoters());
  }));
}

TEST_CASE("nothing is lost when VMs fail while another is being replaced") {
  CHECK(rc::check([](std::uint64_t seed) {
    ConsensusCluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(2));
    const consensus::LogIndex acknowledged = ProposeUntilApplied(cluster, 0);
    // Twice in a row, with two more lost in between.
    for (int replaced = 0; replaced < 2; ++replaced) {
      cluster.Remove(DrawPresent(cluster, 1).front());
      cluster.AdvanceTime(
          std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
      cluster.Add();
      cluster.AdvanceTime(
          std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
      const std::vector<Slot> lost = DrawPresent(cluster, kMaxLostVms);
      for (const Slot slot : lost) {
        cluster.Crash(slot, CrashPoint::kNow);
      }
      cluster.AdvanceTime(
          std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
      for (const Slot slot : lost) {
        cluster.Start(slot);
      }
      cluster.AdvanceTime(kCatchUpTime);
    }
    cluster.AdvanceTime(kCatchUpTime);
    RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
    RC_ASSERT(cluster.AllVmsAreCurrentVoters());
    RC_ASSERT(cluster.LeaderAppliedIndex() >= acknowledged);
  }));
}

TEST_CASE(
    "the member keeper replaces a voter and keeps one that is still needed") {
  using consensus::MemberProgress;
  using consensus::MemberRole;
  using Kind = consensus::MembershipChange::Kind;
  const auto at = [](int ms) {
    return TimePoint() + std::chrono::milliseconds(ms);
  };
  const auto member = [](const char* id, std::uint16_t port, MemberRole role,
                         bool active) {
    return MemberProgress{{VoterId(id), {"10.0.0.1", port}, role}, 10, active};
  };
  control::KeeperOptions options;
  options.wanted_voters = 3;
  control::MemberKeeper keeper(options);
  std::vector<MemberProgress> progress = {
      member("a", 1, MemberRole::kVoter, true),
      member("b", 2, MemberRole::kVoter, true),
      member("c", 3, MemberRole::kVoter, false)};
  // An inactive voter is not removed while its removal would leave fewer voters
  // than wanted.
  CHECK_FALSE(keeper.Next(progress, 10, {}, at(0)).has_value());
  CHECK_FALSE(keeper.Next(progress, 10, {}, at(60000)).has_value());
  // A new voter at the same endpoint joins as a learner and replaces it.
  const control::DiscoveredVoter new_voter{
      VoterId("d"), {"10.0.0.1", 3}, at(60000)};
  auto change = keeper.Next(progress, 10, {new_voter}, at(60000));
  REQUIRE(change.has_value());
  CHECK(change->kind == Kind::kAddLearner);
  CHECK(change->id == VoterId("d"));
  progress.push_back(member("d", 3, MemberRole::kLearner, true));
  progress.back().match = 9;
  CHECK_FALSE(keeper.Next(progress, 10, {new_voter}, at(60100)).has_value());
  progress.back().match = 10;
  change = keeper.Next(progress, 10, {new_voter}, at(60200));
  REQUIRE(change.has_value());
  CHECK(change->kind == Kind::kPromote);
  progress.back().member.role = MemberRole::kVoter;
  change = keeper.Next(progress, 10, {new_voter}, at(60300));
  REQUIRE(change.has_value());
  CHECK(change->kind == Kind::kRemove);
  CHECK(change->id == VoterId("c"));
}

}  // namespace rattanward
