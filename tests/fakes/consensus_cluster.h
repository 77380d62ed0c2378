#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fakes/consensus_oracle.h"
#include "fakes/fake_network.h"
#include "fakes/memory_disk.h"
#include "rattanward/consensus/message.h"
#include "rattanward/consensus/node.h"
#include "rattanward/consensus/repair.h"
#include "rattanward/control/hand_over.h"
#include "rattanward/control/member_keeper.h"

namespace rattanward::fakes {

/// @brief Point in the processing of an Output at which a VM crashes.
enum class CrashPoint { kNow, kBeforeSync, kBeforeSend };

/// @brief Cluster of VMs with one node each in a simulated network and time.
/// @tparam Disk Storage of a VM's log: MemoryDisk, or FileDisk for real files.
/// @note The state machine state is a hash over all applied entries, so nodes
/// with equal states have applied the same entries.
template <class Disk>
class ClusterOn {
 public:
  /// Resolution of simulated time.
  static constexpr Duration kTimeStep{std::chrono::milliseconds(10)};

  ClusterOn(std::size_t size, std::uint64_t seed)
      : seed_(seed), network_(seed) {
    consensus::Membership members;
    for (Slot slot = 0; slot < size; ++slot) {
      vms_.emplace_back(NewDisk(slot));
      members.members.push_back({vms_[slot].disk.id(), EndpointOf(slot),
                                 consensus::MemberRole::kVoter});
    }
    for (Slot slot = 0; slot < size; ++slot) {
      vms_[slot].disk.Initialize(consensus::InitialState(members));
      Start(slot);
    }
  }

  std::size_t size() const { return vms_.size(); }
  TimePoint now() const { return now_; }
  ConsensusOracle& oracle() { return oracle_; }
  FakeNetwork& network() { return network_; }
  const std::optional<consensus::Repair>& repair() const { return repair_; }
  bool Running(Slot slot) const { return vms_[slot].node.has_value(); }
  bool Frozen(Slot slot) const { return vms_[slot].frozen; }
  consensus::Node& node(Slot slot) { return *vms_[slot].node; }
  consensus::LogIndex applied(Slot slot) const { return vms_[slot].applied; }

  void Start(Slot slot) {
    Vm& vm = vms_[slot];
    if (!vm.node) {
      Result<consensus::PersistedState> opened = vm.disk.Open();
      if (!opened) {
        oracle_.Require(false,
                        "a disk does not open: " + opened.error().message);
        return;
      }
      consensus::PersistedState state = std::move(opened.value());
      vm.applied = state.snapshot.last.index;
      vm.state = state.snapshot.state;
      vm.node.emplace(vm.disk.id(), Options(), std::move(state), vm.clock);
    }
  }

  void Crash(Slot slot, CrashPoint point) {
    if (point == CrashPoint::kNow) {
      vms_[slot].node.reset();
      vms_[slot].frozen = false;
      vms_[slot].disk.Crash();
    } else {
      vms_[slot].crash = point;
    }
  }

  /// @brief Kills the process of a VM after some more operations on its files,
  /// which stay as they are. Needs a FileDisk.
  void KillAfter(Slot slot, int operations) {
    vms_[slot].disk.KillAfter(operations);
  }

  /// @brief Stops a VM from processing; its clock and inbox continue.
  void Freeze(Slot slot) { vms_[slot].frozen = true; }

  /// @brief Resumes a frozen VM. It processes the messages received meanwhile
  /// before its next tick.
  void Unfreeze(Slot slot) { vms_[slot].frozen = false; }

  /// @brief Sets the rate of a VM's clock in percent of simulated time. Leases
  /// depend on accurate clocks, so any other rate than 100 disables their
  /// checks.
  void SetClockRate(Slot slot, int percent) {
    vms_[slot].clock_percent = percent;
    exact_clocks_ = exact_clocks_ && percent == 100;
  }

  /// @brief Gives a VM an empty disk and starts its repair. Does nothing while
  /// another repair is in progress.
  void ReplaceDisk(Slot slot) {
    if (repair_.has_value()) {
      return;
    }
    const VoterId lost = vms_[slot].disk.id();
    Crash(slot, CrashPoint::kNow);
    vms_[slot].disk = NewDisk(slot);
    vms_[slot].crash.reset();
    repair_ = consensus::Repair{lost, vms_[slot].disk.id(), EndpointOf(slot)};
    Start(slot);
  }

  /// @brief Crashes a VM and gives it an empty disk. The member keepers replace
  /// the lost voter once the VM is started.
  void WipeDisk(Slot slot) {
    Crash(slot, CrashPoint::kNow);
    vms_[slot].disk = NewDisk(slot);
    vms_[slot].crash.reset();
  }

  void Remove(Slot slot) {
    Crash(slot, CrashPoint::kNow);
    vms_[slot].removed = true;
  }

  /// @brief Tells a VM to stop for good, which hands over its vote first.
  void Leave(Slot slot) {
    Vm& vm = vms_[slot];
    if (!vm.node || !control::CanHandOver(Heard(&vm), *keeper_options_, now_)) {
      Remove(slot);
      return;
    }
    vm.hand_over.emplace(
        vm.disk.id(), consensus::IsVoter(vm.node->membership(), vm.disk.id()),
        now_, std::chrono::seconds(2));
  }

  /// @brief Adds a VM at a new endpoint with an empty disk, and starts it.
  Slot Add() {
    const Slot slot = size();
    vms_.emplace_back(NewDisk(slot));
    vms_.back().clock = now_;
    if (keeper_options_) {
      vms_.back().keeper.emplace(*keeper_options_);
    }
    Start(slot);
    return slot;
  }

  /// @brief VMs that were not removed.
  std::vector<Slot> Present() const {
    std::vector<Slot> slots;
    for (Slot slot = 0; slot < size(); ++slot) {
      if (!vms_[slot].removed) {
        slots.push_back(slot);
      }
    }
    return slots;
  }

  /// @brief A VM whose node considers itself the leader, if any.
  std::optional<Slot> LeaderSlot() const {
    for (Slot slot = 0; slot < size(); ++slot) {
      const Vm& vm = vms_[slot];
      if (vm.node && !vm.frozen &&
          vm.node->role() == consensus::Role::kLeader) {
        return slot;
      }
    }
    return std::nullopt;
  }

  /// @brief Runs a member keeper on each VM from now on.
  void EnableMemberKeepers(control::KeeperOptions options) {
    keeper_options_ = options;
    for (Vm& vm : vms_) {
      vm.keeper.emplace(options);
    }
  }

  /// @brief Whether a leader has as many members as there are VMs, and all of
  /// them are active voters with all committed entries.
  bool AllVmsAreCurrentVoters() {
    bool all = false;
    ForEachLeader([&](Vm& vm) {
      const auto progress = vm.node->Progress(vm.clock);
      all = all || (progress.size() == Present().size() &&
                    std::all_of(progress.begin(), progress.end(),
                                [&](const consensus::MemberProgress& p) {
                                  return p.active &&
                                         p.member.role ==
                                             consensus::MemberRole::kVoter &&
                                         p.match >= vm.node->commit_index();
                                }));
    });
    return all;
  }

  /// @brief Highest index applied by a leader with a valid lease; 0 if none.
  consensus::LogIndex LeaderAppliedIndex() {
    consensus::LogIndex index = 0;
    ForEachLeader([&](Vm& vm) {
      if (vm.node->HoldsLease(vm.clock)) {
        index = std::max(index, vm.applied);
      }
    });
    return index;
  }

  /// @brief Proposes a command on every node that considers itself the leader.
  void Propose(const std::string& payload) {
    ForEachLeader(
        [&](Vm& vm) { std::ignore = vm.node->Propose(payload, vm.clock); });
  }
  /// @brief Requests a read from every node that considers itself the leader.
  void Read() {
    ForEachLeader([&](Vm& vm) {
      oracle_.RecordReadRequest(++last_read_id_);
      std::ignore = vm.node->Read(last_read_id_, vm.clock);
    });
  }

  /// @brief Requests a change of the member on a VM, which may be invalid.
  void ChangeMembership(Slot slot, consensus::MembershipChange::Kind kind) {
    ForEachLeader([&](Vm& vm) {
      std::ignore = vm.node->ChangeMembership(
          {kind, vms_[slot].disk.id(), EndpointOf(slot)}, vm.clock);
    });
  }

  /// @brief Compacts the log of a VM up to its applied index.
  void Compact(Slot slot) {
    if (Running(slot) && !Frozen(slot)) {
      node(slot).Compact(vms_[slot].applied, vms_[slot].state);
    }
  }

  /// @brief Advances simulated time and runs all VMs that are neither crashed
  /// nor frozen.
  void AdvanceTime(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      now_ += kTimeStep;
      for (Vm& vm : vms_) {
        vm.clock += kTimeStep * vm.clock_percent / 100;
      }
      Deliver();
      for (Slot slot = 0; slot < size(); ++slot) {
        if (Running(slot) && !Frozen(slot)) {
          ProcessBatch(slot);
        }
      }
      if (exact_clocks_) {
        CheckLeases();
      }
      AdvanceRepair();
      RunMemberKeepers();
      AdvanceHandOvers();
    }
  }

 private:
  struct Vm {
    explicit Vm(Disk initial_disk) : disk(std::move(initial_disk)) {}

    Disk disk;
    std::optional<consensus::Node> node;
    std::vector<std::string> inbox;
    bool frozen = false;
    bool removed = false;
    std::optional<CrashPoint> crash;
    std::optional<control::MemberKeeper> keeper;
    std::optional<control::HandOver> hand_over;
    TimePoint clock{std::chrono::seconds(1)};
    int clock_percent = 100;
    consensus::LogIndex applied = 0;
    std::string state;
  };

  consensus::NodeOptions Options() {
    consensus::NodeOptions options;
    options.heartbeat = std::chrono::milliseconds(50);
    options.election_timeout = std::chrono::milliseconds(300);
    options.lease = std::chrono::milliseconds(200);
    options.max_append_bytes = 64;
    options.max_chunk_bytes = 5;
    options.max_inflight_entries = 8;
    options.trailing_entries = 2;
    options.seed = ++seed_;
    return options;
  }

  static Endpoint EndpointOf(Slot slot) {
    return {"10.0.0.1", static_cast<std::uint16_t>(slot)};
  }

  Disk NewDisk(Slot slot) {
    ++disk_count_;
    VoterId id("disk-" + std::to_string(disk_count_));
    auto disk = Disk(std::move(id), seed_ + disk_count_);
    slots_[disk.id()] = slot;
    return disk;
  }

  template <class Fn>
  void ForEachLeader(Fn fn) {
    for (Vm& vm : vms_) {
      if (vm.node && !vm.frozen &&
          vm.node->role() == consensus::Role::kLeader) {
        fn(vm);
      }
    }
  }

  void Deliver() {
    for (FakeNetwork::Packet& packet : network_.TakeDue(now_)) {
      if (Running(packet.to)) {
        vms_[packet.to].inbox.push_back(std::move(packet.bytes));
      }
    }
  }

  /// Processes all received messages and a tick with a single sync, then sends
  /// messages and applies committed entries.
  void ProcessBatch(Slot slot) {
    Vm& vm = vms_[slot];
    for (const std::string& bytes : std::exchange(vm.inbox, {})) {
      vm.node->Receive(consensus::DecodeMessage(bytes).value(), vm.clock);
    }
    vm.node->Tick(vm.clock);
    const consensus::Output output = vm.node->TakeOutput();
    const std::optional<CrashPoint> crash = std::exchange(vm.crash, {});
    vm.disk.Write(output);
    if (crash == CrashPoint::kBeforeSync) {
      Crash(slot, CrashPoint::kNow);
      return;
    }
    if (!vm.disk.Sync()) {
      vm.node.reset();
      vm.disk.Kill();
      return;
    }
    if (crash == CrashPoint::kBeforeSend) {
      Crash(slot, CrashPoint::kNow);
      return;
    }
    Send(slot, output);
    Apply(&vm, output);
  }

  void Send(Slot slot, const consensus::Output& output) {
    for (const consensus::Message& message : output.messages) {
      const auto* vote = std::get_if<consensus::VoteResponse>(&message.body);
      if (vote != nullptr && vote->granted && !vote->pre_vote) {
        oracle_.RecordVote(message.from, vote->candidate_term, message.to);
      }
      network_.Send(slot, slots_[message.to], consensus::EncodeMessage(message),
                    now_);
    }
  }

  void Apply(Vm* vm, const consensus::Output& output) {
    if (output.discard_log) {
      vm->applied = output.snapshot->last.index;
      vm->state = output.snapshot->state;
      oracle_.RecordState(vm->applied, vm->state);
    }
    for (const consensus::Entry& entry : output.committed) {
      oracle_.Require(entry.index == vm->applied + 1,
                      "entry applied out of order");
      oracle_.RecordCommitted(entry);
      vm->applied = entry.index;
      vm->state = std::to_string(std::hash<std::string>()(
          vm->state + std::to_string(entry.term) + entry.payload));
      oracle_.RecordState(vm->applied, vm->state);
    }
    for (const consensus::ConfirmedRead& read : output.reads) {
      oracle_.RecordConfirmedRead(read);
      oracle_.Require(vm->applied >= read.index,
                      "read confirmed before its index was applied");
    }
    if (vm->node->role() == consensus::Role::kLeader) {
      oracle_.RecordLeader(vm->node->term(), vm->node->id());
    }
  }

  /// Checks that no node leads a later term while a leader holds its lease.
  void CheckLeases() {
    for (const Vm& lease_holder : vms_) {
      if (!lease_holder.node || lease_holder.frozen ||
          !lease_holder.node->HoldsLease(lease_holder.clock)) {
        continue;
      }
      for (const Vm& other : vms_) {
        oracle_.Require(!other.node ||
                            other.node->role() != consensus::Role::kLeader ||
                            other.node->term() <= lease_holder.node->term(),
                        "leader of a later term elected during a lease");
      }
    }
  }

  /// Performs the next step of the current repair on the leader.
  void AdvanceRepair() {
    for (Slot slot = 0; repair_ && slot < size(); ++slot) {
      if (!Running(slot) || Frozen(slot)) {
        continue;
      }
      const consensus::RepairStep step =
          consensus::NextRepairStep(node(slot), *repair_, vms_[slot].clock);
      if (step == consensus::RepairStep::kComplete) {
        repair_.reset();
      } else if (step != consensus::RepairStep::kNotLeader &&
                 step != consensus::RepairStep::kWait) {
        std::ignore = node(slot).ChangeMembership(
            consensus::MembershipChangeFor(step, *repair_), vms_[slot].clock);
      }
    }
  }

  /// Applies the next change from the member keeper of each leader with a valid
  /// lease, as the control daemon does.
  void RunMemberKeepers() {
    ForEachLeader([&](Vm& vm) {
      if (!vm.keeper || !vm.node->HoldsLease(vm.clock)) {
        return;
      }
      const auto change =
          vm.keeper->Next(vm.node->Progress(vm.clock), vm.node->commit_index(),
                          Heard(nullptr), vm.clock);
      if (change) {
        std::ignore = vm.node->ChangeMembership(*change, vm.clock);
      }
    });
  }

  /// Hellos of the running VMs but one.
  std::vector<control::DiscoveredVoter> Heard(const Vm* except) const {
    std::vector<control::DiscoveredVoter> heard;
    for (Slot slot = 0; slot < size(); ++slot) {
      const Vm& vm = vms_[slot];
      if (vm.node && !vm.frozen && &vm != except) {
        heard.push_back(
            {vm.disk.id(), EndpointOf(slot), now_, vm.hand_over.has_value()});
      }
    }
    return heard;
  }

  static protocol::VoterHello HelloOf(const Vm& vm) {
    protocol::VoterHello hello;
    hello.membership = consensus::EncodeMembership(vm.node->membership());
    hello.confirms_membership =
        vm.node->HoldsLease(vm.clock) && vm.node->membership_committed();
    return hello;
  }

  /// Tells the VMs that hand over what the leaders say; removes those that end.
  void AdvanceHandOvers() {
    for (Slot slot = 0; slot < size(); ++slot) {
      Vm& vm = vms_[slot];
      if (!vm.node || !vm.hand_over) {
        continue;
      }
      ForEachLeader([&](const Vm& leader) {
        vm.hand_over->RecordHello(HelloOf(leader), now_);
      });
      if (vm.node->membership_committed()) {
        vm.hand_over->RecordCommitted(vm.node->membership());
      }
      if (vm.hand_over->Over(now_)) {
        Remove(slot);
      }
    }
  }

  std::uint64_t seed_;
  FakeNetwork network_;
  ConsensusOracle oracle_;
  TimePoint now_{std::chrono::seconds(1)};
  std::vector<Vm> vms_;
  std::map<VoterId, Slot> slots_;
  std::size_t disk_count_ = 0;
  consensus::ReadId last_read_id_ = 0;
  std::optional<control::KeeperOptions> keeper_options_;
  /// Whether all clocks have always run at the rate of simulated time.
  bool exact_clocks_ = true;
  std::optional<consensus::Repair> repair_;
};

using ConsensusCluster = ClusterOn<MemoryDisk>;

}  // namespace rattanward::fakes
