#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/verdict.h"

namespace rattanward::ledger {

/// @brief Time of the replicated log, in microseconds since the Unix epoch.
/// @note The leader stamps each command with its clock. The state machine keeps
/// the largest time applied so far, so that log time never goes back.
using LogTime = Number<struct LogTimeTag>;

/// @brief Largest encoded command, in bytes.
inline constexpr std::size_t kMaxCommandBytes = 6U << 20U;
/// @brief Largest declaration of routes, in bytes of text.
inline constexpr std::size_t kMaxRoutingBytes = 5U << 20U;
/// @brief Largest declared configuration, in bytes of TOML text.
inline constexpr std::size_t kMaxConfigBytes = 2U << 20U;
/// @brief Largest response body kept with a finished claim, in bytes.
inline constexpr std::size_t kMaxStoredBodyBytes = 1U << 20U;
/// @brief Largest number of client accounts in the usage counts of a window.
inline constexpr std::size_t kMaxUsageAccounts = 50'000;
/// @brief Largest name, key or id in a command, in bytes.
inline constexpr std::size_t kMaxNameBytes = 512;

/// @brief Identifies a claim: an idempotency key within its client account.
struct ClaimKey {
  ClientAccountId account;
  IdempotencyKey key;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// @brief Stored result of a claim, returned to callers that reuse its key.
struct StoredOutcome {
  /// kRan or kMayHaveRun. The claim of a request that did not run is released
  /// instead.
  Verdict verdict = Verdict::kRan;
  std::uint16_t status = 0;
  std::string content_type;
  /// Whether the response body was small enough to be kept.
  bool has_body = false;
  std::string body;

  friend bool operator==(const StoredOutcome&, const StoredOutcome&) = default;
};

/// @brief Commits a configuration if `expected` is still the newest version.
struct ConfigApply {
  CommandId command_id;
  ConfigVersion expected;
  std::string text;

  friend bool operator==(const ConfigApply&, const ConfigApply&) = default;
};

/// @brief Claims an idempotency key before the first byte goes upstream.
struct ClaimBegin {
  ClaimKey claim;
  std::string body_hash;
  /// Unique over all entries and their restarts. A resend of the command has
  /// the same id.
  AttemptId attempt;
  ProcessId owner;
  /// How long the key is kept after its last change, in log time.
  Duration window{0};

  friend bool operator==(const ClaimBegin&, const ClaimBegin&) = default;
};

/// @brief Releases the claim of an attempt that did not run, and bars the
/// attempt from taking it again.
struct ClaimRelease {
  ClaimKey claim;
  AttemptId attempt;
  Duration window{0};

  friend bool operator==(const ClaimRelease&, const ClaimRelease&) = default;
};

/// @brief Stores the outcome of a claimed request.
struct ClaimFinish {
  ClaimKey claim;
  AttemptId attempt;
  StoredOutcome outcome;

  friend bool operator==(const ClaimFinish&, const ClaimFinish&) = default;
};

/// @brief Marks the running claims of a restarted process as may-have-run.
struct ClaimsAbandon {
  ProcessId owner;

  friend bool operator==(const ClaimsAbandon&, const ClaimsAbandon&) = default;
};

/// @brief Takes the next fencing number of a resource for its holder.
struct FencingTake {
  CommandId command_id;
  std::string resource;
  ProcessId holder;

  friend bool operator==(const FencingTake&, const FencingTake&) = default;
};

/// @brief Starts or ends an operator's drain of an upstream.
struct UpstreamDrain {
  CommandId command_id;
  UpstreamId upstream;
  bool drained = true;

  friend bool operator==(const UpstreamDrain&, const UpstreamDrain&) = default;
};

/// @brief Adds a request fingerprint to the quarantine, or removes it.
struct QuarantineChange {
  CommandId command_id;
  std::uint64_t fingerprint = 0;
  bool quarantined = true;

  friend bool operator==(const QuarantineChange&,
                         const QuarantineChange&) = default;
};

/// @brief Records an entry, or its changed VM or failure domain.
struct EntryRegister {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;

  friend bool operator==(const EntryRegister&, const EntryRegister&) = default;
};

/// @brief Removes an entry, or all entries of a VM that was decommissioned.
struct EntryForget {
  CommandId command_id;
  /// Entry to remove; if empty, all entries of `vm` are removed.
  ProcessId process;
  VmName vm;

  friend bool operator==(const EntryForget&, const EntryForget&) = default;
};

/// @brief Advances log time without another change, so that claims expire while
/// no other command is committed.
struct LogTimeAdvance {
  friend bool operator==(const LogTimeAdvance&,
                         const LogTimeAdvance&) = default;
};

/// @brief Stores a declaration of routes if its version is above the stored
/// one.
/// @note The operator chooses the version.
struct RoutingDeclare {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const RoutingDeclare&,
                         const RoutingDeclare&) = default;
};

/// @brief Stores the usage counts of a window; the first counts that are stored
/// for a window stay.
/// @note Proposed only if every voter knows this kind of command: an older
/// voter would skip it, and its ledger would differ.
struct UsageStore {
  std::uint64_t window = 0;
  /// Requests that began to run in the window, by client account.
  std::map<ClientAccountId, std::uint64_t> counts;

  friend bool operator==(const UsageStore&, const UsageStore&) = default;
};

/// @note The index of an alternative is its number on the wire and in the log.
/// New alternatives go at the end.
using Command = std::variant<ConfigApply, ClaimBegin, ClaimRelease, ClaimFinish,
                             ClaimsAbandon, FencingTake, UpstreamDrain,
                             QuarantineChange, EntryRegister, EntryForget,
                             LogTimeAdvance, RoutingDeclare, UsageStore>;

/// @brief Number of kinds of commands that this build can read, for the hello
/// between voters.
inline constexpr std::uint32_t kCommandKinds = std::variant_size_v<Command>;
/// @brief kCommandKinds of the first build that knows UsageStore.
inline constexpr std::uint32_t kKindsWithUsageStore = 13;

/// @brief Payload of a log entry: a command and the leader's time for it.
struct StampedCommand {
  LogTime time;
  Command command;

  friend bool operator==(const StampedCommand&,
                         const StampedCommand&) = default;
};

/// @brief The command was applied, either now or when it first arrived.
struct Done {
  friend bool operator==(const Done&, const Done&) = default;
};

/// @brief The configuration was committed under this version.
struct ConfigCommitted {
  ConfigVersion version;

  friend bool operator==(const ConfigCommitted&,
                         const ConfigCommitted&) = default;
};

/// @brief The expected version is not the newest; nothing was changed.
struct ConfigConflict {
  ConfigVersion newest;

  friend bool operator==(const ConfigConflict&,
                         const ConfigConflict&) = default;
};

/// @brief The attempt holds the claim and may send its request once.
struct ClaimTaken {
  AttemptId attempt;

  friend bool operator==(const ClaimTaken&, const ClaimTaken&) = default;
};

/// @brief Another attempt holds the claim and has not finished it.
struct ClaimRunning {
  ProcessId owner;

  friend bool operator==(const ClaimRunning&, const ClaimRunning&) = default;
};

/// @brief The claim has a stored outcome, and the attempt may not run.
struct ClaimStored {
  StoredOutcome outcome;

  friend bool operator==(const ClaimStored&, const ClaimStored&) = default;
};

/// @brief The fencing number that the holder got.
struct FencingTaken {
  FencingNumber number;

  friend bool operator==(const FencingTaken&, const FencingTaken&) = default;
};

/// @brief The command was refused and changed nothing.
struct Refused {
  ErrorCode code = ErrorCode::kMalformedMessage;
  std::string message;

  friend bool operator==(const Refused&, const Refused&) = default;
};

/// @brief Version of the declaration of routes that is stored now: the sent
/// one, or a newer one.
struct RoutingHeld {
  ConfigVersion version;

  friend bool operator==(const RoutingHeld&, const RoutingHeld&) = default;
};

/// @note The index of an alternative is its number on the wire and in the log.
/// New alternatives go at the end.
using Outcome =
    std::variant<Done, ConfigCommitted, ConfigConflict, ClaimTaken,
                 ClaimRunning, ClaimStored, FencingTaken, Refused, RoutingHeld>;

/// @brief Encodes a command as msgpack, for protocol::Propose.
std::string Encode(const Command& command);

/// @brief Decodes and validates a command.
/// @param bytes Encoded command; it may come from an untrusted peer.
/// @return The command.
/// Errors: kMalformedMessage for invalid encoding, a field above its limit, or
/// a required field that is empty.
Result<Command> DecodeCommand(const std::string& bytes);

/// @brief Encodes the payload of a log entry.
std::string Encode(const StampedCommand& stamped);

/// @brief Decodes and validates the payload of a log entry.
/// Errors: kMalformedMessage, as for DecodeCommand().
Result<StampedCommand> DecodeStamped(const std::string& bytes);

/// @brief Encodes an outcome, for protocol::ProposeAnswer.
std::string Encode(const Outcome& outcome);

/// @brief Decodes an outcome.
/// Errors: kMalformedMessage for invalid encoding.
Result<Outcome> DecodeOutcome(const std::string& bytes);

/// @brief Validates the size limits and required fields of a command.
/// Errors: kMalformedMessage; the message names the field.
Status Check(const Command& command);

}  // namespace rattanward::ledger
