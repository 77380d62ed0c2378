#pragma once

#include "rattanward/domain/error.h"

namespace rattanward {

/// @brief Exit codes of rattanctl; docs/operators/apply.md lists them.
enum ExitCode : int {
  /// Done; a configuration is in force in every failure domain.
  kExitAccepted = 0,
  /// Unknown command or flag.
  kExitUsage = 1,
  /// The input was refused and changed nothing.
  kExitBadInput = 2,
  /// Committed, and not yet in force (or a repair not yet complete).
  kExitPending = 3,
  /// Another version is the newest; nothing was changed.
  kExitConflict = 4,
  /// No quorum of control VMs; nothing was changed.
  kExitNoQuorum = 5,
  /// Sent, and no answer came; send it again under the same command id.
  kExitOutcomeUnknown = 6,
  /// The operator token was refused.
  kExitTokenRejected = 7,
};

/// @brief The exit code that tells of an error.
inline ExitCode ExitCodeFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kVersionConflict:
      return kExitConflict;
    case ErrorCode::kNoQuorum:
    case ErrorCode::kNotLeader:
    case ErrorCode::kDisconnected:
      return kExitNoQuorum;
    case ErrorCode::kOutcomeUnknown:
      return kExitOutcomeUnknown;
    case ErrorCode::kOperatorTokenRequired:
      return kExitTokenRejected;
    case ErrorCode::kVoterChangePending:
      return kExitPending;
    default:
      return kExitBadInput;
  }
}

}  // namespace rattanward
