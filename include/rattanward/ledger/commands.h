#pragma once

#include <cstdint>
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
/// @note Stamped by the leader; the ledger never lets it go back.
using LogTime = Number<struct LogTimeTag>;

/// @brief Largest encoded command, in bytes.
inline constexpr std::size_t kMaxCommandBytes = 6U << 20U;
/// @brief Largest declaration of routes, in bytes of text.
inline constexpr std::size_t kMaxRoutingBytes = 5U << 20U;
/// @brief Largest declared configuration, in bytes of TOML text.
inline constexpr std::size_t kMaxConfigBytes = 2U << 20U;
/// @brief Largest answer kept with a finished claim, in bytes.
inline constexpr std::size_t kMaxStoredBodyBytes = 1U << 20U;
/// @brief Largest name, key or identity in a command, in bytes.
inline constexpr std::size_t kMaxNameBytes = 512;

/// @brief Names one claim: an idempotency key within its client account.
struct ClaimKey {
  ClientAccountId account;
  IdempotencyKey key;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// @brief What a caller gets that sends a finished key again.
struct StoredOutcome {
  /// kRan or kMayHaveRun; a request that did not run is released instead.
  Verdict verdict = Verdict::kRan;
  std::uint16_t status = 0;
  std::string content_type;
  /// Whether the answer was small enough to be kept.
  bool has_body = false;
  std::string body;

  friend bool operator==(const StoredOutcome&, const StoredOutcome&) = default;
};

/// @brief Replaces the configuration if `expected` is the newest version.
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
  /// Unique to this attempt at every entry; a resend carries the same one.
  AttemptId attempt;
  ProcessId owner;
  /// How long the key is remembered after its last change, in log time.
  Duration window{0};

  friend bool operator==(const ClaimBegin&, const ClaimBegin&) = default;
};

/// @brief Gives up an attempt that never sent a byte; never undone.
struct ClaimRelease {
  ClaimKey claim;
  AttemptId attempt;
  Duration window{0};

  friend bool operator==(const ClaimRelease&, const ClaimRelease&) = default;
};

/// @brief Stores how a claimed request ended.
struct ClaimFinish {
  ClaimKey claim;
  AttemptId attempt;
  StoredOutcome outcome;

  friend bool operator==(const ClaimFinish&, const ClaimFinish&) = default;
};

/// @brief Marks the running claims of a process that restarted as may-have-run.
struct ClaimsAbandon {
  ProcessId owner;

  friend bool operator==(const ClaimsAbandon&, const ClaimsAbandon&) = default;
};

/// @brief Takes the next fencing number of a resource.
struct FencingTake {
  CommandId command_id;
  std::string resource;
  ProcessId holder;

  friend bool operator==(const FencingTake&, const FencingTake&) = default;
};

/// @brief Sets or lifts an operator's drain of an upstream.
struct UpstreamDrain {
  CommandId command_id;
  UpstreamId upstream;
  bool drained = true;

  friend bool operator==(const UpstreamDrain&, const UpstreamDrain&) = default;
};

/// @brief Quarantines a request fingerprint, or clears it.
struct QuarantineChange {
  CommandId command_id;
  std::uint64_t fingerprint = 0;
  bool quarantined = true;

  friend bool operator==(const QuarantineChange&,
                         const QuarantineChange&) = default;
};

/// @brief Records an entry that control has heard from for the first time.
struct EntryRegister {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;

  friend bool operator==(const EntryRegister&, const EntryRegister&) = default;
};

/// @brief Forgets an entry, or all entries of a VM that is gone for good.
struct EntryForget {
  CommandId command_id;
  /// Empty: every entry of the VM.
  ProcessId process;
  VmName vm;

  friend bool operator==(const EntryForget&, const EntryForget&) = default;
};

/// @brief Changes nothing; moves log time on so that claims expire.
struct LogTimeAdvance {
  friend bool operator==(const LogTimeAdvance&,
                         const LogTimeAdvance&) = default;
};

/// @brief Stores a declaration of routes, unless one as new is held.
/// @note The version is the operator's own; the highest one holds.
struct RoutingDeclare {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const RoutingDeclare&,
                         const RoutingDeclare&) = default;
};

/// @note The order is the wire format: add at the end only.
using Command =
    std::variant<ConfigApply, ClaimBegin, ClaimRelease, ClaimFinish,
                 ClaimsAbandon, FencingTake, UpstreamDrain, QuarantineChange,
                 EntryRegister, EntryForget, LogTimeAdvance, RoutingDeclare>;

/// @brief A command as it stands in the log, with the leader's time.
struct StampedCommand {
  LogTime time;
  Command command;

  friend bool operator==(const StampedCommand&,
                         const StampedCommand&) = default;
};

/// @brief The command was applied, now or at its first arrival.
struct Done {
  friend bool operator==(const Done&, const Done&) = default;
};

/// @brief The configuration was committed under this version.
struct ConfigCommitted {
  ConfigVersion version;

  friend bool operator==(const ConfigCommitted&,
                         const ConfigCommitted&) = default;
};

/// @brief Another version is the newest; nothing was changed.
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

/// @brief Another attempt holds the claim and has not finished.
struct ClaimRunning {
  ProcessId owner;

  friend bool operator==(const ClaimRunning&, const ClaimRunning&) = default;
};

/// @brief The key's request has finished; this is what it got.
struct ClaimStored {
  StoredOutcome outcome;

  friend bool operator==(const ClaimStored&, const ClaimStored&) = default;
};

/// @brief The fencing number that the holder may use.
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

/// @brief The declaration of routes that is held now, sent or newer.
struct RoutingHeld {
  ConfigVersion version;

  friend bool operator==(const RoutingHeld&, const RoutingHeld&) = default;
};

/// @note The order is the wire format: add at the end only.
using Outcome =
    std::variant<Done, ConfigCommitted, ConfigConflict, ClaimTaken,
                 ClaimRunning, ClaimStored, FencingTaken, Refused, RoutingHeld>;

/// @brief Encodes a command as msgpack, as carried by protocol::Propose.
std::string Encode(const Command& command);

/// @brief Decodes and checks a command.
/// @param bytes What Encode() gave, or anything that a peer sent.
/// @return The command.
/// Errors: kMalformedMessage for broken encoding, fields above their limits,
/// or a field that must not be empty.
Result<Command> DecodeCommand(const std::string& bytes);

/// @brief Encodes a log entry.
std::string Encode(const StampedCommand& stamped);

/// @brief Decodes a log entry.
/// Errors: kMalformedMessage as for DecodeCommand().
Result<StampedCommand> DecodeStamped(const std::string& bytes);

/// @brief Encodes an outcome, as carried by protocol::ProposeAnswer.
std::string Encode(const Outcome& outcome);

/// @brief Decodes an outcome.
/// Errors: kMalformedMessage for broken encoding.
Result<Outcome> DecodeOutcome(const std::string& bytes);

/// @brief Checks the limits and required fields of a command.
/// Errors: kMalformedMessage, with the field's name.
Status Check(const Command& command);

}  // namespace rattanward::ledger
