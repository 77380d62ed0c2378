#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>
#include <string>
#include <type_traits>

#include "fakes/consensus_cluster.h"

namespace rattanward {
namespace {

using fakes::ConsensusCluster;
using fakes::CrashPoint;
using fakes::LinkQuality;
using fakes::Slot;

/// Empty, because ConsensusOracle checks the invariants without a model.
struct Model {};
using Command = rc::state::Command<Model, ConsensusCluster>;

constexpr Slot kMaxVms = 5;

Slot RandomSlot() { return *rc::gen::inRange<Slot>(0, kMaxVms); }

/// Base of the commands that act on one VM. Failing cases shrink to low VM
/// indexes.
class SlotCommand : public Command {
 public:
  void show(std::ostream& out) const override { out << Name() << slot_; }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    Run(cluster, slot_ % cluster.size());
    RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
  }

 protected:
  virtual std::string Name() const = 0;
  virtual void Run(ConsensusCluster& cluster, Slot slot) const = 0;

 private:
  Slot slot_ = RandomSlot();
};

class AdvanceTime : public Command {
 public:
  void show(std::ostream& out) const override { out << "AdvanceTime " << ms_; }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    cluster.AdvanceTime(std::chrono::milliseconds(ms_));
    RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
  }

 private:
  int ms_ = *rc::gen::inRange(10, 1500);
};

class Propose : public Command {
 public:
  void show(std::ostream& out) const override { out << "Propose " << count_; }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    for (int i = 0; i < count_; ++i) {
      cluster.Propose(std::string(static_cast<std::size_t>(i), 'p'));
    }
  }

 private:
  int count_ = *rc::gen::inRange(1, 12);
};

class Read : public Command {
 public:
  void show(std::ostream& out) const override { out << "Read"; }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    cluster.Read();
  }
};

class Cut : public SlotCommand {
  std::string Name() const override {
    return "Cut link to " + std::to_string(to_) + " from ";
  }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.network().Cut(slot, to_ % cluster.size());
  }
  Slot to_ = RandomSlot();
};

class Isolate : public SlotCommand {
  std::string Name() const override { return "Isolate "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    for (Slot other = 0; other < cluster.size(); ++other) {
      cluster.network().Cut(slot, other);
      cluster.network().Cut(other, slot);
    }
  }
};

class Heal : public Command {
 public:
  void show(std::ostream& out) const override { out << "Heal"; }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    cluster.network().Heal();
  }
};

class SetLinkQuality : public Command {
 public:
  void show(std::ostream& out) const override {
    out << "SetLinkQuality loss " << loss_percent_ << " % duplicates "
        << duplicate_percent_ << " % delay ms " << delay_ms_;
  }
  void run(const Model& /*model*/, ConsensusCluster& cluster) const override {
    cluster.network().set_quality(
        LinkQuality{loss_percent_, duplicate_percent_,
                    std::chrono::milliseconds(delay_ms_)});
  }

 private:
  unsigned loss_percent_ = *rc::gen::inRange(0U, 40U);
  unsigned duplicate_percent_ = *rc::gen::inRange(0U, 40U);
  int delay_ms_ = *rc::gen::inRange(0, 120);
};

class Crash : public SlotCommand {
  std::string Name() const override {
    return "Crash at point " + std::to_string(static_cast<int>(point_)) + " ";
  }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.Crash(slot, point_);
  }
  CrashPoint point_ = *rc::gen::element(
      CrashPoint::kNow, CrashPoint::kBeforeSync, CrashPoint::kBeforeSend);
};

class Start : public SlotCommand {
  std::string Name() const override { return "Start "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.Start(slot);
  }
};

class Freeze : public SlotCommand {
  std::string Name() const override { return "Freeze "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.Freeze(slot);
  }
};

class Unfreeze : public SlotCommand {
  std::string Name() const override { return "Unfreeze "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.Unfreeze(slot);
  }
};

class ClockRate : public SlotCommand {
  std::string Name() const override {
    return "ClockRate " + std::to_string(percent_) + " % of ";
  }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.SetClockRate(slot, percent_);
  }
  int percent_ = *rc::gen::element(5, 50, 100, 200);
};

class ReplaceDisk : public SlotCommand {
  std::string Name() const override { return "ReplaceDisk "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.ReplaceDisk(slot);
  }
};

class Compact : public SlotCommand {
  std::string Name() const override { return "Compact "; }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.Compact(slot);
  }
};

class ChangeMembership : public SlotCommand {
  using Kind = consensus::MembershipChange::Kind;
  std::string Name() const override {
    return "ChangeMembership kind " + std::to_string(static_cast<int>(kind_)) +
           " of ";
  }
  void Run(ConsensusCluster& cluster, Slot slot) const override {
    cluster.ChangeMembership(slot, kind_);
  }
  Kind kind_ =
      *rc::gen::element(Kind::kAddLearner, Kind::kPromote, Kind::kRemove);
};

/// Whether a VM is a member according to any leader.
bool IsMember(ConsensusCluster& cluster, Slot slot) {
  for (Slot other = 0; other < cluster.size(); ++other) {
    consensus::Node& node = cluster.node(other);
    if (node.role() == consensus::Role::kLeader &&
        consensus::FindMember(node.membership(), cluster.node(slot).id())) {
      return true;
    }
  }
  return false;
}

/// Removes all faults and checks that the cluster recovers. It must elect a
/// leader and commit a new entry. Every VM must then have applied all committed
/// entries; if the membership changes, this applies only to members.
void CheckRecovery(ConsensusCluster& cluster, bool members_change) {
  cluster.network().Heal();
  cluster.network().set_quality(LinkQuality());
  for (Slot slot = 0; slot < cluster.size(); ++slot) {
    cluster.Unfreeze(slot);
    cluster.Start(slot);
    cluster.SetClockRate(slot, 100);
  }
  cluster.AdvanceTime(std::chrono::seconds(2));
  for (Slot slot = 0; slot < cluster.size(); ++slot) {
    cluster.Start(slot);
  }
  cluster.AdvanceTime(std::chrono::seconds(4));
  const consensus::LogIndex before = cluster.oracle().last_committed();
  cluster.Propose("last");
  cluster.AdvanceTime(std::chrono::seconds(1));
  RC_ASSERT(cluster.oracle().violations() == std::vector<std::string>());
  RC_ASSERT(!cluster.repair().has_value());
  RC_ASSERT(cluster.oracle().last_committed() > before);
  for (Slot slot = 0; slot < cluster.size(); ++slot) {
    if (!members_change || IsMember(cluster, slot)) {
      RC_ASSERT(cluster.applied(slot) == cluster.oracle().last_committed());
    }
  }
}

/// Runs random sequences of commands on clusters of 3 to kMaxVms VMs. The
/// oracle must find no violation, and the cluster must recover afterwards.
template <class... Commands>
bool CheckCluster(const std::string& property) {
  return rc::check(property, [] {
    const std::size_t size = *rc::gen::inRange<std::size_t>(3, kMaxVms + 1);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    ConsensusCluster cluster(size, seed);
    cluster.AdvanceTime(std::chrono::seconds(1));
    rc::state::check(Model(), cluster,
                     rc::state::gen::execOneOfWithArgs<Commands...>());
    CheckRecovery(cluster, (std::is_same_v<Commands, ChangeMembership> || ...));
  });
}

}  // namespace

TEST_CASE("unreliable links and one-way partitions") {
  CHECK(CheckCluster<AdvanceTime, AdvanceTime, Propose, Propose, Read, Cut,
                     Isolate, Heal, SetLinkQuality, Compact>("links"));
}

TEST_CASE("VMs crash, restart, freeze and resume") {
  CHECK(CheckCluster<AdvanceTime, AdvanceTime, Propose, Propose, Read, Crash,
                     Start, Start, Freeze, Unfreeze, Compact>("VMs"));
}

TEST_CASE("disks are lost and repaired one after another") {
  CHECK(
      CheckCluster<AdvanceTime, AdvanceTime, Propose, Propose, Read,
                   ReplaceDisk, ReplaceDisk, Isolate, Heal, Compact>("disks"));
}

TEST_CASE("clocks run slow and fast") {
  CHECK(CheckCluster<AdvanceTime, AdvanceTime, Propose, Propose, Read, Read,
                     Cut, Isolate, Heal, ClockRate>("clocks"));
}

TEST_CASE("members are added, promoted and removed") {
  CHECK(CheckCluster<AdvanceTime, Propose, Read, ChangeMembership,
                     ChangeMembership, ChangeMembership, Cut, Isolate, Heal,
                     SetLinkQuality, Crash, Start>("members"));
}

TEST_CASE("corrupted messages are rejected or handled safely") {
  CHECK(rc::check("damage", [] {
    ConsensusCluster cluster(3, *rc::gen::arbitrary<std::uint64_t>());
    cluster.AdvanceTime(std::chrono::seconds(2));
    consensus::Node& node = cluster.node(*rc::gen::inRange<Slot>(0, 3));
    for (Slot from = 0; from < cluster.size(); ++from) {
      cluster.Propose("x");
      for (const consensus::Message& message :
           cluster.node(from).TakeOutput().messages) {
        std::string bytes = consensus::EncodeMessage(message);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<char>();
        const auto decoded = consensus::DecodeMessage(bytes);
        if (decoded.has_value()) {
          node.Receive(decoded.value(), cluster.now());
          node.TakeOutput();
        }
      }
    }
  }));
}

TEST_CASE("network, VM and disk faults combined") {
  CHECK(
      CheckCluster<AdvanceTime, AdvanceTime, AdvanceTime, Propose, Propose,
                   Read, Read, Cut, Isolate, Heal, SetLinkQuality, Crash, Start,
                   Start, Freeze, Unfreeze, Unfreeze, ReplaceDisk, Compact>(
          "everything"));
}

}  // namespace rattanward
