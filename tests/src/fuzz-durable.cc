#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/consensus_cluster.h"
#include "fakes/file_disk.h"

namespace rattanward {
namespace {

using fakes::CrashPoint;
using fakes::Slot;
using Cluster = fakes::ClusterOn<fakes::FileDisk>;

constexpr std::size_t kVms = 5;
constexpr std::size_t kMaxLostDisks = 2;
constexpr Duration kCatchUpTime{std::chrono::seconds(4)};
/// Operations on files in the longest write, a new snapshot.
constexpr int kMaxOperations = 9;

control::KeeperOptions MakeKeeperOptions() {
  control::KeeperOptions options;
  options.wanted_voters = 2 * kMaxLostDisks + 1;
  return options;
}

std::set<Slot> DrawSlots(std::size_t min_count, std::size_t max_count) {
  std::set<Slot> slots;
  const auto count = *rc::gen::inRange<std::size_t>(min_count, max_count + 1);
  while (slots.size() < count) {
    slots.insert(*rc::gen::inRange<Slot>(0, kVms));
  }
  return slots;
}

void StartAll(Cluster& cluster) {
  for (Slot slot = 0; slot < kVms; ++slot) {
    cluster.Start(slot);
  }
}

void Compact(Cluster& cluster) {
  for (const Slot slot : DrawSlots(0, kVms)) {
    cluster.Compact(slot);
  }
}

/// Kills processes, each in the middle of a write, and starts each again at
/// once.
void KillSome(Cluster& cluster) {
  for (const Slot slot : DrawSlots(0, kVms)) {
    cluster.KillAfter(slot, *rc::gen::inRange(0, kMaxOperations));
  }
}

/// Proposes until a leader has applied an entry after the given index. VMs that
/// are down are started again.
consensus::LogIndex Acknowledge(Cluster& cluster, consensus::LogIndex after) {
  constexpr std::size_t kTries = 400;
  for (std::size_t i = 0; i < kTries && cluster.LeaderAppliedIndex() <= after;
       ++i) {
    StartAll(cluster);
    cluster.Propose("change " + std::string(i % 7 * 300, 'x'));
    for (int step = 0; step < 5 && cluster.LeaderAppliedIndex() <= after;
         ++step) {
      cluster.AdvanceTime(Cluster::kTimeStep);
    }
  }
  return cluster.LeaderAppliedIndex();
}

/// Some disks are lost and, at the same moment, all other VMs lose power.
void LoseDisksAndPower(Cluster& cluster) {
  const std::set<Slot> lost = DrawSlots(0, kMaxLostDisks);
  for (Slot slot = 0; slot < kVms; ++slot) {
    lost.count(slot) > 0 ? cluster.WipeDisk(slot)
                         : cluster.Crash(slot, CrashPoint::kNow);
  }
}

void CheckNothingLost(Cluster& cluster, consensus::LogIndex acknowledged) {
  StartAll(cluster);
  cluster.AdvanceTime(kCatchUpTime);
  RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
  RC_ASSERT(cluster.AllVmsAreCurrentVoters());
  RC_ASSERT(cluster.LeaderAppliedIndex() >= acknowledged);
  cluster.Read();
  cluster.AdvanceTime(std::chrono::milliseconds(200));
  RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
}

}  // namespace

TEST_CASE(
    "what was acknowledged on real files outlives two lost disks and the "
    "power of all others, after kills in the middle of writes") {
  CHECK(rc::check([](std::uint64_t seed) {
    Cluster cluster(kVms, seed);
    cluster.EnableMemberKeepers(MakeKeeperOptions());
    cluster.AdvanceTime(std::chrono::seconds(1));
    consensus::LogIndex acknowledged = 0;
    const int rounds = *rc::gen::inRange(1, 5);
    for (int round = 0; round < rounds; ++round) {
      for (int change = *rc::gen::inRange(1, 4); change > 0; --change) {
        Compact(cluster);
        KillSome(cluster);
        acknowledged = Acknowledge(cluster, acknowledged);
        RC_ASSERT(acknowledged > 0);
      }
      cluster.AdvanceTime(*rc::gen::inRange(0, 6) * Cluster::kTimeStep);
      LoseDisksAndPower(cluster);
      CheckNothingLost(cluster, acknowledged);
    }
  }));
}

}  // namespace rattanward
