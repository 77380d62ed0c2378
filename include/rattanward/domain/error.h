#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rattanward/domain/time.h"
#include "rattanward/domain/verdict.h"

namespace rattanward {

/// @brief Stable number of an error; docs/errors.md has an entry for each.
/// @note 1xxx the caller's request, 2xxx admission, 3xxx upstreams, 4xxx
/// control state, 5xxx storage, 6xxx connections between our processes, 7xxx
/// settings and declarations.
enum class ErrorCode : int {
  kMalformedBody = 1001,
  kUnknownKey = 1002,
  kUnknownClass = 1003,
  kUnknownModel = 1004,
  kUnknownService = 1005,
  kBodyTooLarge = 1006,
  kHeadersTooLarge = 1007,
  kIdempotencyKeyRequired = 1008,
  kIdempotencyKeyReused = 1009,
  kAlreadyRunning = 1010,
  kUnknownPath = 1011,
  kMalformedHeader = 1012,
  kClassNotAllowed = 1013,
  kAlreadyRan = 1014,
  kTokenRequired = 1015,

  kQueueFull = 2001,
  kDisplaced = 2002,
  kDeadlineUnattainable = 2003,
  kDeadlinePassed = 2004,
  kAccountLimit = 2005,
  kShuttingDown = 2006,
  kNoConfiguration = 2007,
  kIsolated = 2008,
  kTooManyOpenRequests = 2009,
  kNoUpstream = 2010,
  kQuarantined = 2011,
  kRetryBudgetSpent = 2012,
  kCallerGone = 2013,
  kNoPath = 2014,
  kEntryStopped = 2015,
  kMemoryExhausted = 2020,

  kUpstreamConnect = 3001,
  kUpstreamRefused = 3002,
  kUpstreamBroken = 3003,
  kUpstreamSilent = 3004,
  kStreamTruncated = 3005,
  kWrongRequestId = 3006,
  kUpstreamMalformed = 3007,
  kStreamGap = 3008,
  kUpstreamFailed = 3009,

  kNoQuorum = 4001,
  kVersionConflict = 4002,
  kInvalidConfig = 4003,
  kOutcomeUnknown = 4004,
  kNotLeader = 4005,
  kStaleFencing = 4006,
  kOperatorTokenRequired = 4007,
  kVoterChangePending = 4008,
  kUnknownVoter = 4009,
  kUnknownUpstream = 4010,
  kCommandIdReused = 4011,
  kOrderRefused = 4012,
  kLearnerBehind = 4013,
  kLastVoter = 4014,

  kDamagedRecord = 5001,
  kStorageFailed = 5002,
  kWrongDataFolder = 5003,
  kStorageRefused = 5004,

  kFrameTooLarge = 6001,
  kHandshakeFailed = 6002,
  kMalformedMessage = 6003,
  kUnknownProtocol = 6004,
  kDisconnected = 6005,

  kSettingsUnreadable = 7001,
  kSettingsSyntax = 7002,
  kUnknownSetting = 7003,
  kSettingType = 7004,
  kSettingRange = 7005,
  kSettingMissing = 7006,
  kSettingConflict = 7007,
  kPlatformAddress = 7008,
  kDutyBounds = 7009,
  kScalingBounds = 7010,
  kScalingTerms = 7011,
  kScalingPin = 7012,
};

/// @brief What a caller or an operator is told when a request fails.
struct Error {
  ErrorCode code = ErrorCode::kMalformedBody;
  Verdict verdict = Verdict::kNotRun;
  /// Plain sentence, with the value seen and what is allowed.
  std::string message;
  /// When trying again makes sense; absent if it does not.
  std::optional<Duration> retry_after;

  friend bool operator==(const Error&, const Error&) = default;
};

/// @brief Short name of an error, such as "queue-full".
/// @param code The error's stable number.
/// @return The name; "unknown" for a number that is not in the table.
std::string_view ErrorName(ErrorCode code);

/// @brief HTTP status that callers get with an error.
/// @param code The error's stable number.
/// @return The status; 500 for a number that is not in the table.
int HttpStatus(ErrorCode code);

/// @brief Every error, for the test that compares them with docs/errors.md.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

/// @brief First entry of the table of errors.
const ErrorInfo* ErrorTableBegin();
/// @brief One past the last entry of the table of errors.
const ErrorInfo* ErrorTableEnd();

}  // namespace rattanward
