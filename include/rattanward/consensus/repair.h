#pragma once

#include <cstdint>

#include "rattanward/consensus/node.h"

namespace rattanward::consensus {

/// @brief Replaces a voter whose disk was lost with a member on another disk.
struct Repair {
  VoterId lost;
  VoterId replacement;
  Endpoint replacement_endpoint;

  friend bool operator==(const Repair&, const Repair&) = default;
};

/// @brief Next step of a repair.
enum class RepairStep : std::uint8_t {
  /// This node isn't a leader with a valid lease, so it can't decide.
  kNotLeader,
  /// Add the replacement as a learner.
  kAddLearner,
  /// Wait until the replacement has caught up or the last change is committed.
  kWait,
  /// Make the replacement a voter.
  kPromote,
  /// Remove the lost voter.
  kRemoveLost,
  /// The replacement is a voter with all committed entries on disk, and the
  /// lost voter is no longer a member. The group can now tolerate the loss of
  /// another VM.
  kComplete,
};

/// @brief Determines the next step of a repair from the leader's state.
/// @param node Node of the leader.
/// @param repair Lost voter and its replacement.
/// @param now Current time.
/// @return The next step. For kAddLearner, kPromote and kRemoveLost, pass it to
/// MembershipChangeFor().
RepairStep NextRepairStep(const Node& node, const Repair& repair,
                          TimePoint now);

/// @brief Returns the membership change that carries out a step.
/// @param step One of kAddLearner, kPromote and kRemoveLost.
/// @param repair Lost voter and its replacement.
MembershipChange MembershipChangeFor(RepairStep step, const Repair& repair);

/// @brief Creates the initial state of a new log. Used once, when an operator
/// bootstraps the replication group.
/// @param members Initial members. Every one of them must be started with the
/// same value.
/// @return State to store and to pass to the constructor of Node.
PersistedState InitialState(Membership members);

}  // namespace rattanward::consensus
