#pragma once

#include "rattanward/domain/error.h"

namespace rattanward {

/// @brief Exit codes of rattanctl; docs/operators/apply.md lists them.
enum ExitCode : int {
  /// Success; for a configuration: it is in force in every failure domain.
  kExitAccepted = 0,
  /// Unknown command or flag.
  kExitUsage = 1,
  /// The input was rejected; nothing was changed.
  kExitBadInput = 2,
  /// A configuration is committed but not yet in force, a voter's repair or
  /// addition is not yet complete, or another voter change is uncommitted.
  kExitPending = 3,
  /// The newest version is not the expected one; nothing was changed.
  kExitConflict = 4,
  /// No quorum of control VMs; nothing was changed.
  kExitNoQuorum = 5,
  /// The request was sent and no reply arrived. It is safe to resend under
  /// the same command id.
  kExitOutcomeUnknown = 6,
  /// The operator token is missing or wrong.
  kExitTokenRejected = 7,
};

/// @brief Maps an error to an exit code. Errors without an exit code of their
/// own count as bad input.
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
