#include "rattanward/consensus/repair.h"

#include <utility>

namespace rattanward::consensus {
namespace {

/// @brief Whether the member is active and has synced all committed entries.
bool HoldsCommittedEntries(const Node& node, const VoterId& id, TimePoint now) {
  for (const MemberProgress& progress : node.Progress(now)) {
    if (progress.member.id == id) {
      return progress.active && progress.match >= node.commit_index();
    }
  }
  return false;
}

}  // namespace

RepairStep NextRepairStep(const Node& node, const Repair& repair,
                          TimePoint now) {
  if (!node.HoldsLease(now)) {
    return RepairStep::kNotLeader;
  }
  if (!node.membership_committed()) {
    return RepairStep::kWait;
  }
  const Member* replacement = FindMember(node.membership(), repair.replacement);
  if (replacement == nullptr) {
    return RepairStep::kAddLearner;
  }
  if (!HoldsCommittedEntries(node, repair.replacement, now)) {
    return RepairStep::kWait;
  }
  if (replacement->role == MemberRole::kLearner) {
    return RepairStep::kPromote;
  }
  if (FindMember(node.membership(), repair.lost) != nullptr) {
    return RepairStep::kRemoveLost;
  }
  return RepairStep::kComplete;
}

MembershipChange MembershipChangeFor(RepairStep step, const Repair& repair) {
  switch (step) {
    case RepairStep::kPromote:
      return {MembershipChange::Kind::kPromote, repair.replacement, {}};
    case RepairStep::kRemoveLost:
      return {MembershipChange::Kind::kRemove, repair.lost, {}};
    default:
      return {MembershipChange::Kind::kAddLearner, repair.replacement,
              repair.replacement_endpoint};
  }
}

PersistedState InitialState(Membership members) {
  PersistedState state;
  state.snapshot.last = {1, 0};
  state.snapshot.membership = std::move(members);
  return state;
}

}  // namespace rattanward::consensus
