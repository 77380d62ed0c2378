#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::adapter {

/// @brief Who a process is: stamped on each of its log records.
struct ProcessIdentity {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;

  friend bool operator==(const ProcessIdentity&,
                         const ProcessIdentity&) = default;
};

/// @brief Where a secret comes from: a file, or the settings themselves.
struct SecretSource {
  /// Path of the file; empty if the text is inline.
  std::string file;
  /// The secret itself; empty if it is in a file.
  std::string text;

  friend bool operator==(const SecretSource&, const SecretSource&) = default;
};

/// @brief Another entry of the deployment, as an entry's settings name it.
struct PeerEntry {
  ProcessId process;
  FailureDomain failure_domain;
  /// Its peer_listen.
  Endpoint endpoint;
  /// Its http_listen, to relay requests to; empty if none are to be relayed.
  Endpoint http;

  friend bool operator==(const PeerEntry&, const PeerEntry&) = default;
};

/// @brief Settings of one entry daemon.
struct EntrySettings {
  ProcessIdentity identity;
  /// Callers' HTTP.
  Endpoint http_listen;
  /// Announcing upstreams' HTTP.
  Endpoint announce_listen;
  /// Connections of peer entries and control VMs.
  Endpoint peer_listen;
  std::vector<Endpoint> control_endpoints;
  /// Every other entry.
  std::vector<PeerEntry> peers;
  /// Proved by each of our own processes in the handshake.
  SecretSource shared_secret;
  /// Shown by announcing upstreams.
  SecretSource announce_token;
  /// Empty for standard error.
  std::string log_file;
  std::uint32_t max_open_requests = 512;
  /// Memory of this process's VM in MiB; what callers' connections hold is
  /// limited to a part of it.
  std::uint32_t memory_mb = 1024;
  /// From failing readiness to refusing new work.
  Duration shutdown_grace{std::chrono::seconds(5)};
  /// From the signal to the end of the process.
  Duration shutdown_limit{std::chrono::seconds(9)};
  policy::Profile profile = policy::Profile::kStandard;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

/// @brief Settings of one control daemon.
struct ControlSettings {
  ProcessIdentity identity;
  std::string data_folder;
  /// Connections of other control VMs and of entries.
  Endpoint peer_listen;
  /// Operator RPC.
  Endpoint operator_listen;
  /// Control VMs of a new cluster, this one included; used with bootstrap.
  std::vector<Endpoint> initial_voters;
  /// Start a new cluster if the data folder is empty.
  bool bootstrap = false;
  /// Voters to be kept up without an operator: control VMs that are heard join
  /// by themselves, and lost ones are replaced. 0 leaves it to operators.
  std::uint32_t wanted_voters = 0;
  SecretSource shared_secret;
  SecretSource operator_token;
  /// Empty for standard error.
  std::string log_file;

  friend bool operator==(const ControlSettings&,
                         const ControlSettings&) = default;
};

/// @brief Parses and checks the settings of an entry daemon.
/// @param text TOML text.
/// @param file_name Name that errors give; paths in the settings are relative
/// to its folder.
/// @return The settings.
/// Errors: kSettingsSyntax, kUnknownSetting, kSettingType, kSettingRange,
/// kSettingMissing, kSettingConflict.
Result<EntrySettings> ParseEntrySettings(std::string_view text,
                                         std::string_view file_name);

/// @brief Parses and checks the settings of a control daemon.
/// @param text TOML text.
/// @param file_name Name that errors give; paths in the settings are relative
/// to its folder.
/// @return The settings.
/// Errors: as ParseEntrySettings.
Result<ControlSettings> ParseControlSettings(std::string_view text,
                                             std::string_view file_name);

/// @brief Reads, parses and checks the settings of an entry daemon.
/// Errors: kSettingsUnreadable, and as ParseEntrySettings.
Result<EntrySettings> LoadEntrySettings(const std::string& file_name);

/// @brief Reads, parses and checks the settings of a control daemon.
/// Errors: kSettingsUnreadable, and as ParseEntrySettings.
Result<ControlSettings> LoadControlSettings(const std::string& file_name);

/// @brief Reads a secret.
/// @param source Where it comes from.
/// @return The secret, without the line end of its file.
/// Errors: kSettingsUnreadable, kSettingRange (fewer than 16 characters).
Result<std::string> ReadSecret(const SecretSource& source);

/// @brief Parses an IPv4 address and port, such as 127.0.0.1:7101.
/// @param text The text.
/// @return The endpoint.
/// Errors: kSettingRange.
Result<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace rattanward::adapter
