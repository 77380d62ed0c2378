#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rattanward/ledger/claim_table.h"
#include "rattanward/ledger/commands.h"

namespace rattanward::ledger {

/// @brief Configurations kept for `history` and `show`.
inline constexpr std::size_t kMaxConfigRecords = 64;
/// @brief Bytes of declared text kept over all but the newest configuration.
inline constexpr std::size_t kMaxConfigHistoryBytes = 4U << 20U;
/// @brief Operator commands whose outcome is remembered for a resend.
inline constexpr std::size_t kMaxCommandRecords = 1024;
/// @brief Largest snapshot that can be restored, in bytes.
inline constexpr std::size_t kMaxSnapshotBytes = 512U << 20U;

/// @brief One committed configuration.
struct ConfigRecord {
  ConfigVersion version;
  CommandId command_id;
  LogTime committed_at;
  std::string text;

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

/// @brief The newest declaration of routes.
struct RoutingRecord {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const RoutingRecord&, const RoutingRecord&) = default;
};

/// @brief Outcome of an operator command, for a resend under the same id.
struct CommandRecord {
  CommandId id;
  /// Hash of the command, so that another one under the same id is noticed.
  std::uint64_t digest = 0;
  Outcome outcome;

  friend bool operator==(const CommandRecord&, const CommandRecord&) = default;
};

/// @brief Newest fencing number of a resource and who took it.
struct FencingRecord {
  FencingNumber number;
  ProcessId holder;

  friend bool operator==(const FencingRecord&, const FencingRecord&) = default;
};

/// @brief An entry that control has heard from.
struct EntryRecord {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;

  friend bool operator==(const EntryRecord&, const EntryRecord&) = default;
};

/// @brief The system's durable state: a pure function of the log.
/// @note Value type; equal logs give equal states, by way of a snapshot or not.
class StateMachine {
 public:
  /// @brief Applies one log entry.
  /// @param stamped The command and the leader's time for it.
  /// @return The command's outcome; the first one if an operator command is
  /// sent again under its id.
  Outcome Apply(const StampedCommand& stamped);

  /// @brief Encodes the whole state.
  std::string Snapshot() const;

  /// @brief Rebuilds a state.
  /// @param bytes What Snapshot() gave.
  /// Errors: kDamagedRecord if the bytes are not a snapshot.
  static Result<StateMachine> Restore(const std::string& bytes);

  /// @brief Newest log time applied.
  LogTime time() const { return time_; }
  /// @brief Newest committed version; 0 if there is none.
  ConfigVersion config_version() const;
  /// @brief A kept configuration; null if it was never there or is forgotten.
  const ConfigRecord* FindConfig(ConfigVersion version) const;
  /// @brief Kept configurations, oldest first.
  const std::vector<ConfigRecord>& configs() const { return configs_; }
  const ClaimTable& claims() const { return claims_; }
  const std::map<std::string, FencingRecord>& fencing() const {
    return fencing_;
  }
  /// @brief Upstreams that operators have drained.
  const std::set<UpstreamId>& drained() const { return drained_; }
  /// @brief Fingerprints that are quarantined.
  const std::set<std::uint64_t>& quarantined() const { return quarantined_; }
  const std::map<ProcessId, EntryRecord>& entries() const { return entries_; }
  /// @brief The newest declaration of routes; version 0 if there is none.
  const RoutingRecord& routing() const { return routing_; }

  friend bool operator==(const StateMachine&, const StateMachine&) = default;

 private:
  template <class T>
  Outcome ApplyOperatorCommand(const T& command);
  Outcome Execute(const ConfigApply& command);
  Outcome Execute(const ClaimBegin& command);
  Outcome Execute(const ClaimRelease& command);
  Outcome Execute(const ClaimFinish& command);
  Outcome Execute(const ClaimsAbandon& command);
  Outcome Execute(const FencingTake& command);
  Outcome Execute(const UpstreamDrain& command);
  Outcome Execute(const QuarantineChange& command);
  Outcome Execute(const EntryRegister& command);
  Outcome Execute(const EntryForget& command);
  Outcome Execute(const LogTimeAdvance& command);
  Outcome Execute(const RoutingDeclare& command);
  void TrimConfigs();

  LogTime time_;
  std::vector<ConfigRecord> configs_;
  std::vector<CommandRecord> commands_;
  ClaimTable claims_;
  std::map<std::string, FencingRecord> fencing_;
  std::set<UpstreamId> drained_;
  std::set<std::uint64_t> quarantined_;
  std::map<ProcessId, EntryRecord> entries_;
  RoutingRecord routing_;
};

}  // namespace rattanward::ledger
