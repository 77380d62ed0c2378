#pragma once

#include <optional>
#include <vector>

#include "rattanward/consensus/node.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief A control VM that sent a hello, whether or not it is a member.
struct DiscoveredVoter {
  VoterId id;
  Endpoint endpoint;
  TimePoint last_heard;
  /// Whether it has been told to stop and hands over its vote.
  bool leaving = false;

  friend bool operator==(const DiscoveredVoter&,
                         const DiscoveredVoter&) = default;
};

/// @brief Wanted number of voters and the timeouts of MemberKeeper.
struct KeeperOptions {
  /// Number of voters needed to tolerate the VM losses that the deployment must
  /// tolerate.
  std::size_t wanted_voters = 3;
  /// Maximum number of voters while more control VMs run than wanted. Values
  /// below wanted_voters count as that. The group goes on when fewer than half
  /// of its voters end at the same moment.
  std::size_t max_voters = 0;
  /// An older hello is no evidence that its sender is running.
  Duration hello_lifetime{std::chrono::milliseconds(2500)};
  /// A learner, or a voter beyond the wanted number, that was silent for this
  /// long is removed.
  Duration removal_timeout{std::chrono::milliseconds(3000)};
};

/// @brief Chooses the membership changes of the replicated log.
/// @note Does no I/O and reads no clock. The leader asks it periodically. New
/// control VMs are added as learners. Learners that have caught up become
/// voters: those that replace voters that are inactive or leaving, whether or
/// not they use the same endpoint, and those that make the number of standing
/// voters a larger odd number. Voters beyond the wanted number are removed once
/// they are inactive or leaving. Each call returns at most one change. The log
/// rejects a change that would cost the quorum.
class MemberKeeper {
 public:
  explicit MemberKeeper(KeeperOptions options) : options_(options) {}

  /// @brief Chooses the next change.
  /// @param progress The leader's view of each member, itself last. The first
  /// that has to be removed goes first, so that a leader that is leaving
  /// replaces the others without an election.
  /// @param committed The leader's commit index.
  /// @param discovered Newest hello of each control VM.
  /// @param now Current monotonic time.
  /// @return The change, or std::nullopt if none is needed.
  std::optional<consensus::MembershipChange> Next(
      const std::vector<consensus::MemberProgress>& progress,
      consensus::LogIndex committed,
      const std::vector<DiscoveredVoter>& discovered, TimePoint now);

 private:
  std::optional<consensus::MembershipChange> ChooseAddition(
      const std::vector<consensus::MemberProgress>& progress,
      const std::vector<DiscoveredVoter>& discovered, TimePoint now) const;
  std::optional<consensus::MembershipChange> ChoosePromotion(
      const std::vector<consensus::MemberProgress>& progress,
      consensus::LogIndex committed) const;
  std::optional<consensus::MembershipChange> ChooseRemoval(
      const std::vector<consensus::MemberProgress>& progress,
      const std::vector<DiscoveredVoter>& discovered, TimePoint now) const;
  /// Number of voters that the members that stand can have: odd, since an even
  /// number bears no more losses than the odd one below it.
  std::size_t TargetVoters(
      const std::vector<consensus::MemberProgress>& progress,
      consensus::LogIndex committed) const;
  void RecordActivity(const std::vector<consensus::MemberProgress>& progress,
                      TimePoint now);
  Duration SilentFor(const VoterId& id, TimePoint now) const;

  KeeperOptions options_;
  /// Time at which each member was last active. For a member that was not
  /// active yet, the time at which it was first seen.
  std::vector<std::pair<VoterId, TimePoint>> last_active_;
};

}  // namespace rattanward::control
