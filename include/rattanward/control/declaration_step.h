#pragma once

#include <chrono>
#include <cstdint>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief What a control VM knows of who can commit a declaration.
struct LeaderView {
  /// Whether this control VM is the confirmed leader.
  bool leads = false;
  /// Whether enough voters hold what it commits; only if it leads.
  bool has_enough_voters = false;
  /// Another control VM that leads; empty if none is known.
  VoterId other_leader;
  /// Whether that one takes declarations from other control VMs.
  bool other_takes = false;
  /// Time since a leader was last known.
  Duration leaderless{0};

  friend bool operator==(const LeaderView&, const LeaderView&) = default;
};

/// @brief Who sent a declaration to this control VM.
enum class DeclarationSource : std::uint8_t { kOperator, kControlVm };

/// @brief State of a declaration that this control VM holds.
struct DeclarationState {
  DeclarationSource source = DeclarationSource::kOperator;
  /// Time since it came in.
  Duration held{0};
  /// The leader that it was last passed on to; empty if none.
  VoterId asked;
  /// Whether that one has not answered yet.
  bool awaits_answer = false;

  friend bool operator==(const DeclarationState&,
                         const DeclarationState&) = default;
};

/// @brief What is done next with a declaration.
enum class DeclarationStep : std::uint8_t {
  kCommit,
  /// The leader is asked, and its answer is the answer here.
  kPassOn,
  kWait,
  /// The answer names the leader.
  kRedirect,
  kRefuse,
};

/// @brief Longest wait for a leader, or for enough voters. It is shorter than
/// operators wait for an answer.
inline constexpr Duration kLongestHold{std::chrono::milliseconds(850)};
/// @brief Time in which a new leader is elected, if there is a quorum.
inline constexpr Duration kElectionTime{std::chrono::milliseconds(1000)};

/// @brief Decides what is done next with a declaration.
/// @param view What this control VM knows now.
/// @param state The declaration.
/// @return kWait only for a limited time, or while a leader was asked.
/// @note A declaration that another control VM passed on is not passed on
/// again.
/// Complexity: constant.
DeclarationStep NextStep(const LeaderView& view, const DeclarationState& state);

}  // namespace rattanward::control
