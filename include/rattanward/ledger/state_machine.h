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

/// @brief Largest number of configurations kept for `history` and `show`.
inline constexpr std::size_t kMaxConfigRecords = 64;
/// @brief Largest total text of the configurations kept besides the newest, in
/// bytes.
inline constexpr std::size_t kMaxConfigHistoryBytes = 4U << 20U;
/// @brief Largest number of operator commands whose outcome is kept for a
/// resend.
inline constexpr std::size_t kMaxCommandRecords = 1024;
/// @brief Number of usage windows that are kept.
inline constexpr std::size_t kMaxUsageWindows = 64;
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

/// @brief Outcome of an operator command, returned for a resend with the same
/// id.
struct CommandRecord {
  CommandId id;
  /// XXH3 hash of the encoded command, to detect reuse of the id for another
  /// command.
  std::uint64_t digest = 0;
  Outcome outcome;

  friend bool operator==(const CommandRecord&, const CommandRecord&) = default;
};

/// @brief Newest fencing number of a resource, and the process that took it.
struct FencingRecord {
  FencingNumber number;
  ProcessId holder;

  friend bool operator==(const FencingRecord&, const FencingRecord&) = default;
};

/// @brief An entry that is registered with the control VMs.
struct EntryRecord {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;

  friend bool operator==(const EntryRecord&, const EntryRecord&) = default;
};

/// @brief Stored usage counts by window.
using UsageWindows =
    std::map<std::uint64_t, std::map<ClientAccountId, std::uint64_t>>;

/// @brief Durable state of the cluster: a deterministic function of the log.
/// @note Value type. Equal logs give equal states, whether the log was applied
/// whole or from a snapshot on.
class StateMachine {
 public:
  /// @brief Applies one log entry.
  /// @param stamped The command and the leader's time for it.
  /// @return The command's outcome. A resent operator command has no effect and
  /// returns the outcome of its first application, while that is kept.
  Outcome Apply(const StampedCommand& stamped);

  /// @brief Encodes the complete state.
  std::string Snapshot() const;

  /// @brief Restores a state from a snapshot.
  /// @param bytes What Snapshot() returned.
  /// @return The state.
  /// Errors: kDamagedRecord if the bytes are not a snapshot of this format
  /// version.
  static Result<StateMachine> Restore(const std::string& bytes);

  /// @brief Current log time: the largest time applied so far.
  LogTime time() const { return time_; }
  /// @brief Newest committed configuration version; 0 if there is none.
  ConfigVersion config_version() const;
  /// @brief Returns the configuration of a version; null if there was none, or
  /// if it is no longer kept.
  const ConfigRecord* FindConfig(ConfigVersion version) const;
  /// @brief Kept configurations, oldest first.
  const std::vector<ConfigRecord>& configs() const { return configs_; }
  const ClaimTable& claims() const { return claims_; }
  const std::map<std::string, FencingRecord>& fencing() const {
    return fencing_;
  }
  /// @brief Upstreams that operators are draining.
  const std::set<UpstreamId>& drained() const { return drained_; }
  /// @brief Fingerprints of quarantined requests.
  const std::set<std::uint64_t>& quarantined() const { return quarantined_; }
  const std::map<ProcessId, EntryRecord>& entries() const { return entries_; }
  /// @brief The newest declaration of routes; version 0 if there is none.
  const RoutingRecord& routing() const { return routing_; }
  /// @brief Usage counts of the newest stored windows.
  const UsageWindows& usage() const { return usage_; }
  /// @brief Newest stored usage window; 0 if there is none.
  std::uint64_t newest_usage() const {
    return usage_.empty() ? 0 : usage_.rbegin()->first;
  }

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
  Outcome Execute(const UsageStore& command);
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
  UsageWindows usage_;
};

}  // namespace rattanward::ledger
