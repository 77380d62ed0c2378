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

  friend bool operator==(const DiscoveredVoter&,
                         const DiscoveredVoter&) = default;
};

/// @brief Wanted number of voters and the timeouts of MemberKeeper.
struct KeeperOptions {
  /// Number of voters needed to tolerate the VM losses that the deployment must
  /// tolerate.
  std::size_t wanted_voters = 3;
  /// An older hello is no evidence that its sender is running.
  Duration hello_lifetime{std::chrono::milliseconds(2500)};
  /// A learner, or a voter beyond the wanted number, that was silent for this
  /// long is removed.
  Duration removal_timeout{std::chrono::milliseconds(3000)};
};

/// @brief Chooses the membership changes of the replicated log.
/// @note Does no I/O and reads no clock. The leader asks it periodically. New
/// control VMs are added as learners. A learner replaces a voter that became
/// inactive, whether or not it uses the same endpoint, and voters beyond the
/// wanted number are removed once they are inactive. Each call returns at most
/// one change. The log rejects a change that would cost the quorum.
class MemberKeeper {
 public:
  explicit MemberKeeper(KeeperOptions options) : options_(options) {}

  /// @brief Chooses the next change.
  /// @param progress The leader's view of each member.
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
  void RecordActivity(const std::vector<consensus::MemberProgress>& progress,
                      TimePoint now);
  Duration SilentFor(const VoterId& id, TimePoint now) const;

  KeeperOptions options_;
  /// Time at which each member was last active. For a member that was not
  /// active yet, the time at which it was first seen.
  std::vector<std::pair<VoterId, TimePoint>> last_active_;
};

}  // namespace rattanward::control
