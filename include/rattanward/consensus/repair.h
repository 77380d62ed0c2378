#pragma once

#include <cstdint>

#include "rattanward/consensus/node.h"

namespace rattanward::consensus {

/// @brief Replacement of a lost voter by a member on another disk.
struct Repair {
  VoterId lost;
  VoterId replacement;
  Endpoint replacement_endpoint;

  friend bool operator==(const Repair&, const Repair&) = default;
};

/// @brief What a repair needs next.
enum class RepairStep : std::uint8_t {
  /// Only a leader can tell.
  kNotLeader,
  kAddLearner,
  /// The learner or an uncommitted change needs time.
  kWait,
  kPromote,
  kRemoveLost,
  /// The replacement is a voter whose disk holds everything committed, and the
  /// lost voter is no member: one more VM may be lost now.
  kComplete,
};

/// @brief Decides the next step of a repair from what the leader knows.
/// @param node The leader's node.
/// @param repair Who replaces whom.
/// @param now The current time.
/// @return The next step; MembershipChangeFor() gives the change for it.
RepairStep NextRepairStep(const Node& node, const Repair& repair,
                          TimePoint now);

/// @brief The membership change that a step asks for.
/// @param step kAddLearner, kPromote or kRemoveLost.
/// @param repair Who replaces whom.
MembershipChange MembershipChangeFor(RepairStep step, const Repair& repair);

/// @brief The first state of a new log, written once by an operator's order.
/// @param members The first voters; every one starts from the same value.
/// @return State for the constructor of Node and for the first disk write.
PersistedState InitialState(Membership members);

}  // namespace rattanward::consensus
