#pragma once

#include <optional>
#include <vector>

#include "rattanward/consensus/node.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief A control VM that was heard, member or not.
struct HeardVoter {
  VoterId id;
  Endpoint endpoint;
  TimePoint heard;

  friend bool operator==(const HeardVoter&, const HeardVoter&) = default;
};

/// @brief How many voters a deployment needs, and when one counts as lost.
struct KeeperOptions {
  /// Voters that bear the losses that the deployment must bear.
  std::size_t wanted_voters = 3;
  /// A hello this old no longer shows that its sender runs.
  Duration fresh{std::chrono::milliseconds(2500)};
  /// A voter beyond the wanted number that was silent this long is removed.
  Duration lost_after{std::chrono::milliseconds(3000)};
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
      consensus::LogIndex committed, const std::vector<HeardVoter>& heard,
      TimePoint now);

 private:
  std::optional<consensus::MembershipChange> Join(
      const std::vector<consensus::MemberProgress>& progress,
      const std::vector<HeardVoter>& heard, TimePoint now) const;
  std::optional<consensus::MembershipChange> Promote(
      const std::vector<consensus::MemberProgress>& progress,
      consensus::LogIndex committed) const;
  std::optional<consensus::MembershipChange> Remove(
      const std::vector<consensus::MemberProgress>& progress,
      const std::vector<HeardVoter>& heard, TimePoint now) const;
  void NoteActive(const std::vector<consensus::MemberProgress>& progress,
                  TimePoint now);
  Duration SilentFor(const VoterId& id, TimePoint now) const;

  KeeperOptions options_;
  /// When each member was last seen active.
  std::vector<std::pair<VoterId, TimePoint>> active_;
};

}  // namespace rattanward::control
