#pragma once

#include <vector>

#include "rattanward/consensus/log_types.h"
#include "rattanward/control/member_keeper.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::control {

/// @brief Whether enough other control VMs run for the vote of one that stops.
/// @param others Newest hello of each other control VM.
/// @param options Wanted number of voters, and how old a hello may be.
/// @param now Current monotonic time.
/// @note A restart where no other control VM stands by isn't delayed.
bool CanHandOver(const std::vector<DiscoveredVoter>& others,
                 const KeeperOptions& options, TimePoint now);

/// @brief Decides when a control VM that was told to stop may end, so that it
/// doesn't leave a vote behind.
/// @note Does no I/O and reads no clock.
class HandOver {
 public:
  /// @param self Id of the control VM that stops.
  /// @param voter Whether it is a voter, as far as it knows.
  /// @param began When it was told to stop.
  /// @param limit Time after which it ends in any case.
  HandOver(VoterId self, bool voter, TimePoint began, Duration limit);

  /// @brief Takes note of a hello of another control VM.
  /// @param received When it came. Those from before the stop are ignored.
  void RecordHello(const protocol::VoterHello& hello, TimePoint received);

  /// @brief Takes note of the committed membership in the own log, which is all
  /// that a leader hears of its removal.
  void RecordCommitted(const consensus::Membership& own);

  /// @brief Whether it is no voter any more.
  bool released() const { return released_; }

  /// @brief Whether it may end: it is no voter, or the time is over.
  bool Over(TimePoint now) const { return released_ || now - began_ >= limit_; }

  TimePoint began() const { return began_; }

 private:
  VoterId self_;
  bool voter_;
  TimePoint began_;
  Duration limit_;
  bool released_ = false;
};

}  // namespace rattanward::control
