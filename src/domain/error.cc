#include "rattanward/domain/error.h"

#include <algorithm>
#include <iterator>

namespace rattanward {
namespace {

constexpr ErrorInfo kErrors[] = {
    {ErrorCode::kMalformedBody, "malformed-body", 400},
    {ErrorCode::kUnknownKey, "unknown-key", 401},
    {ErrorCode::kUnknownClass, "unknown-class", 400},
    {ErrorCode::kUnknownModel, "unknown-model", 404},
    {ErrorCode::kUnknownService, "unknown-service", 404},
    {ErrorCode::kBodyTooLarge, "body-too-large", 413},
    {ErrorCode::kHeadersTooLarge, "headers-too-large", 431},
    {ErrorCode::kIdempotencyKeyRequired, "idempotency-key-required", 400},
    {ErrorCode::kIdempotencyKeyReused, "idempotency-key-reused", 422},
    {ErrorCode::kAlreadyRunning, "already-running", 409},
    {ErrorCode::kUnknownPath, "unknown-path", 404},
    {ErrorCode::kMalformedHeader, "malformed-header", 400},
    {ErrorCode::kClassNotAllowed, "class-not-allowed", 403},
    {ErrorCode::kAlreadyRan, "already-ran", 409},
    {ErrorCode::kTokenRequired, "token-required", 401},
    {ErrorCode::kQueueFull, "queue-full", 503},
    {ErrorCode::kDisplaced, "displaced", 503},
    {ErrorCode::kDeadlineUnattainable, "deadline-unattainable", 503},
    {ErrorCode::kDeadlinePassed, "deadline-passed", 503},
    {ErrorCode::kAccountLimit, "account-limit", 429},
    {ErrorCode::kShuttingDown, "shutting-down", 503},
    {ErrorCode::kNoConfiguration, "no-configuration", 503},
    {ErrorCode::kIsolated, "isolated", 503},
    {ErrorCode::kTooManyOpenRequests, "too-many-open-requests", 503},
    {ErrorCode::kNoUpstream, "no-upstream", 503},
    {ErrorCode::kQuarantined, "quarantined", 422},
    {ErrorCode::kRetryBudgetSpent, "retry-budget-spent", 502},
    {ErrorCode::kCallerGone, "caller-gone", 499},
    {ErrorCode::kNoPath, "no-path", 503},
    {ErrorCode::kEntryStopped, "entry-stopped", 502},
    {ErrorCode::kMemoryExhausted, "memory-exhausted", 503},
    {ErrorCode::kUpstreamConnect, "upstream-connect", 502},
    {ErrorCode::kUpstreamRefused, "upstream-refused", 502},
    {ErrorCode::kUpstreamBroken, "upstream-broken", 502},
    {ErrorCode::kUpstreamSilent, "upstream-silent", 504},
    {ErrorCode::kStreamTruncated, "stream-truncated", 502},
    {ErrorCode::kWrongRequestId, "wrong-request-id", 502},
    {ErrorCode::kUpstreamMalformed, "upstream-malformed", 502},
    {ErrorCode::kStreamGap, "stream-gap", 502},
    {ErrorCode::kUpstreamFailed, "upstream-failed", 502},
    {ErrorCode::kNoQuorum, "no-quorum", 503},
    {ErrorCode::kVersionConflict, "version-conflict", 409},
    {ErrorCode::kInvalidConfig, "invalid-config", 422},
    {ErrorCode::kOutcomeUnknown, "outcome-unknown", 503},
    {ErrorCode::kNotLeader, "not-leader", 503},
    {ErrorCode::kStaleFencing, "stale-fencing", 409},
    {ErrorCode::kOperatorTokenRequired, "operator-token-required", 401},
    {ErrorCode::kVoterChangePending, "voter-change-pending", 409},
    {ErrorCode::kUnknownVoter, "unknown-voter", 404},
    {ErrorCode::kUnknownUpstream, "unknown-upstream", 404},
    {ErrorCode::kCommandIdReused, "command-id-reused", 422},
    {ErrorCode::kOrderRefused, "order-refused", 502},
    {ErrorCode::kLearnerBehind, "learner-behind", 409},
    {ErrorCode::kLastVoter, "last-voter", 409},
    {ErrorCode::kDamagedRecord, "damaged-record", 500},
    {ErrorCode::kStorageFailed, "storage-failed", 500},
    {ErrorCode::kWrongDataFolder, "wrong-data-folder", 500},
    {ErrorCode::kStorageRefused, "storage-refused", 500},
    {ErrorCode::kFrameTooLarge, "frame-too-large", 500},
    {ErrorCode::kHandshakeFailed, "handshake-failed", 500},
    {ErrorCode::kMalformedMessage, "malformed-message", 500},
    {ErrorCode::kUnknownProtocol, "unknown-protocol", 500},
    {ErrorCode::kDisconnected, "disconnected", 500},
    {ErrorCode::kSettingsUnreadable, "settings-unreadable", 500},
    {ErrorCode::kSettingsSyntax, "settings-syntax", 500},
    {ErrorCode::kUnknownSetting, "unknown-setting", 500},
    {ErrorCode::kSettingType, "setting-type", 500},
    {ErrorCode::kSettingRange, "setting-range", 500},
    {ErrorCode::kSettingMissing, "setting-missing", 500},
    {ErrorCode::kSettingConflict, "setting-conflict", 500},
    {ErrorCode::kPlatformAddress, "platform-address", 500},
    {ErrorCode::kDutyBounds, "duty-bounds", 500},
    {ErrorCode::kScalingBounds, "scaling-bounds", 400},
    {ErrorCode::kScalingTerms, "scaling-terms", 400},
    {ErrorCode::kScalingPin, "scaling-pin", 400},
};

const ErrorInfo* Find(ErrorCode code) {
  return std::find_if(
      std::begin(kErrors), std::end(kErrors),
      [code](const ErrorInfo& info) { return info.code == code; });
}

}  // namespace

std::string_view ErrorName(ErrorCode code) {
  const ErrorInfo* info = Find(code);
  return info == std::end(kErrors) ? "unknown" : info->name;
}

int HttpStatus(ErrorCode code) {
  constexpr int kInternalError = 500;
  const ErrorInfo* info = Find(code);
  return info == std::end(kErrors) ? kInternalError : info->http_status;
}

const ErrorInfo* ErrorTableBegin() { return std::begin(kErrors); }
const ErrorInfo* ErrorTableEnd() { return std::end(kErrors); }

}  // namespace rattanward
