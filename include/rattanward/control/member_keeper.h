#pragma once

#include <optional>
#include <vector>

#include "rattanward/consensus/node.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief A control VM that was heard, member or not.
struct DiscoveredVoter {
  VoterId id;
  Endpoint endpoint;
  TimePoint last_heard;

  friend bool operator==(const DiscoveredVoter&,
                         const DiscoveredVoter&) = default;
};

/// @brief How many voters a deployment needs, and when one counts as lost.
struct KeeperOptions {
  /// Voters that bear the losses that the deployment must bear.
  std::size_t wanted_voters = 3;
  /// A hello this old no longer shows that its sender runs.
  Duration hello_lifetime{std::chrono::milliseconds(2500)};
  /// A voter beyond the wanted number that was silent this long is removed.
  Duration removal_timeout{std::chrono::milliseconds(3000)};
};

/// @brief Keeps the membership of the replicated log at what it should be.
/// @note Pure; asked by the leader again and again. A voter whose address is
/// taken by another data folder is replaced by that one, new control VMs join,
/// and silent voters beyond the wanted number leave. Each step is one change;
/// the log refuses one that would cost the quorum.
class MemberKeeper {
 public:
  explicit MemberKeeper(KeeperOptions options) : options_(options) {}

  /// @brief Chooses the next change.
  /// @param progress What the leader knows of each member.
  /// @param committed The leader's commit index.
  /// @param heard The newest hello from each control VM.
  /// @return The change, or nothing while all is as it should be.
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
  /// When each member was last seen active.
  std::vector<std::pair<VoterId, TimePoint>> last_active_;
};

}  // namespace rattanward::control
