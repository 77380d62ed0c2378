#include "rattanward/adapter/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <set>

#include "rattanward/adapter/config_text.h"
#include "rattanward/adapter/detail/toml_table.h"

namespace rattanward::adapter {
namespace {

using detail::IntegerRange;
using detail::kNameRule;
using detail::TextRule;
using detail::TomlErrors;
using detail::TomlTable;

constexpr std::size_t kMinSecretCharacters = 16;
constexpr std::string_view kEndpointWords =
    "an IPv4 address and port, such as 127.0.0.1:7101";
constexpr TextRule kEndpointRule{1, 21, nullptr, kEndpointWords, false};
constexpr TextRule kPathRule{1, 1024, nullptr, "a path", false};
constexpr TextRule kSecretRule{kMinSecretCharacters, 256, nullptr,
                               "a text of 16 to 256 characters", true};
constexpr TextRule kLogFileRule{0, 1024, nullptr,
                                "a path, or \"\" for standard error", false};
constexpr TextRule kProfileRule{1, 64, nullptr, "\"standard\" or \"baseline\"",
                                false};
constexpr IntegerRange kOpenRequestsRange{1, 4'096};
/// 64 MiB is the least for one request within all limits.
constexpr IntegerRange kMemoryMbRange{64, 1'048'576};
constexpr IntegerRange kGraceRange{0, 600'000};
constexpr std::int64_t kDefaultOpenRequests = 512;
constexpr std::int64_t kDefaultMemoryMb = 1'024;
constexpr std::int64_t kDefaultGraceMs = 5'000;
constexpr IntegerRange kShutdownLimitRange{1'000, 3'600'000};
/// Common process managers kill a process 10 s after the signal or later.
constexpr std::int64_t kDefaultShutdownLimitMs = 9'000;
/// Time after the grace time, at least, for requests to end.
constexpr std::int64_t kDefaultDrainMs = 4'000;

/// Reads the keys that the settings of all daemons share.
class SettingsReader {
 public:
  SettingsReader(TomlTable& root, std::string_view file_name)
      : root_(root),
        folder_(std::filesystem::path(std::string(file_name)).parent_path()) {}

  ProcessIdentity Identity() {
    return {ProcessId(root_.Text("process", kNameRule)),
            VmName(root_.Text("vm", kNameRule)),
            FailureDomain(root_.Text("failure_domain", kNameRule))};
  }

  /// An endpoint to listen on; port 0 lets the system choose one.
  Endpoint Listen(std::string_view key) {
    return Check(key, root_.Text(key, kEndpointRule), true);
  }

  std::vector<Endpoint> Remotes(std::string_view key) {
    std::vector<Endpoint> endpoints;
    std::set<std::string> seen;
    for (const std::string& text : root_.TextList(key, kEndpointRule)) {
      endpoints.push_back(Check(key, text, false));
      if (!seen.insert(text).second) {
        root_.Fail(ErrorCode::kSettingConflict, key, text + " twice",
                   "each endpoint once");
      }
    }
    return endpoints;
  }

  /// Reads the [[peers]] tables of an entry.
  std::vector<PeerEntry> Peers() {
    std::vector<PeerEntry> peers;
    std::set<std::string> seen;
    for (TomlTable& table : root_.Tables("peers")) {
      PeerEntry peer{
          ProcessId(table.Text("process", kNameRule)),
          FailureDomain(table.Text("failure_domain", kNameRule)),
          Check("endpoint", table.Text("endpoint", kEndpointRule), false),
          {}};
      if (table.Has("http")) {
        peer.http = Check("http", table.Text("http", kEndpointRule), false);
      }
      if (!seen.insert(peer.process.str()).second) {
        table.Fail(ErrorCode::kSettingConflict, "process",
                   peer.process.str() + " twice", "each process once");
      }
      peers.push_back(std::move(peer));
    }
    return peers;
  }

  std::string Path(std::string_view key) {
    return Resolve(root_.Text(key, kPathRule));
  }

  std::string LogFile() {
    return Resolve(root_.TextOr("log_file", kLogFileRule, ""));
  }

  /// Reads KEY_file or KEY; just one of them must be there.
  SecretSource Secret(const std::string& key) {
    const std::string file_key = key + "_file";
    if (root_.Has(key) && root_.Has(file_key)) {
      root_.Fail(ErrorCode::kSettingConflict, key, "a second source",
                 "only one of " + key + " and " + file_key);
    }
    SecretSource source;
    source.text = root_.TextOr(key, kSecretRule, "");
    source.file = Resolve(root_.TextOr(file_key, kPathRule, ""));
    if (!root_.Has(key) && !root_.Has(file_key)) {
      root_.Fail(ErrorCode::kSettingMissing, file_key, "no such key",
                 "one of " + key + " and " + file_key);
    }
    return source;
  }

 private:
  std::string Resolve(const std::string& path) const {
    const std::filesystem::path given(path);
    return path.empty() || given.is_absolute() ? path
                                               : (folder_ / given).string();
  }

  Endpoint Check(std::string_view key, const std::string& text, bool any_port) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      root_.Fail(ErrorCode::kSettingRange, key, '"' + text + '"',
                 kEndpointWords);
      return {};
    }
    if (endpoint.value().port == 0 && !any_port) {
      root_.Fail(ErrorCode::kSettingRange, key, '"' + text + '"',
                 "a port from 1 to 65535");
    }
    return endpoint.value();
  }

  TomlTable& root_;
  std::filesystem::path folder_;
};

policy::Profile ReadProfile(TomlTable& root) {
  const std::string name = root.TextOr("profile", kProfileRule, "standard");
  if (name == "baseline") {
    return policy::Profile::kBaseline;
  }
  if (name != "standard") {
    root.Fail(ErrorCode::kSettingRange, "profile", '"' + name + '"',
              kProfileRule.words);
  }
  return policy::Profile::kStandard;
}

/// Settings of an older release have a grace time only.
void ReadShutdown(TomlTable& root, EntrySettings& out) {
  const std::int64_t grace_ms =
      root.IntegerOr("shutdown_grace_ms", kGraceRange, kDefaultGraceMs);
  const std::int64_t limit_ms = root.IntegerOr(
      "shutdown_limit_ms", kShutdownLimitRange,
      std::max(kDefaultShutdownLimitMs, grace_ms + kDefaultDrainMs));
  if (limit_ms <= grace_ms) {
    root.Fail(
        ErrorCode::kSettingConflict, "shutdown_limit_ms",
        std::to_string(limit_ms),
        "more than shutdown_grace_ms, which is " + std::to_string(grace_ms));
  }
  out.shutdown_grace = std::chrono::milliseconds(grace_ms);
  out.shutdown_limit = std::chrono::milliseconds(limit_ms);
}

EntrySettings ReadEntry(TomlTable& root, SettingsReader& reader) {
  EntrySettings out;
  out.identity = reader.Identity();
  out.http_listen = reader.Listen("http_listen");
  out.announce_listen = reader.Listen("announce_listen");
  out.peer_listen = reader.Listen("peer_listen");
  out.control_endpoints = reader.Remotes("control_endpoints");
  if (out.control_endpoints.empty()) {
    root.Fail(ErrorCode::kSettingMissing, "control_endpoints", "no endpoint",
              "a list of at least one control VM's endpoint");
  }
  out.peers = reader.Peers();
  out.shared_secret = reader.Secret("shared_secret");
  out.announce_token = reader.Secret("announce_token");
  out.log_file = reader.LogFile();
  out.max_open_requests = static_cast<std::uint32_t>(root.IntegerOr(
      "max_open_requests", kOpenRequestsRange, kDefaultOpenRequests));
  out.memory_mb = static_cast<std::uint32_t>(
      root.IntegerOr("memory_mb", kMemoryMbRange, kDefaultMemoryMb));
  ReadShutdown(root, out);
  out.profile = ReadProfile(root);
  return out;
}

ControlSettings ReadControl(TomlTable& root, SettingsReader& reader) {
  ControlSettings out;
  out.identity = reader.Identity();
  out.data_folder = reader.Path("data_folder");
  out.peer_listen = reader.Listen("peer_listen");
  out.operator_listen = reader.Listen("operator_listen");
  out.initial_voters = reader.Remotes("initial_voters");
  out.bootstrap = root.BoolOr("bootstrap", false);
  if (out.bootstrap && out.initial_voters.empty()) {
    root.Fail(ErrorCode::kSettingConflict, "bootstrap",
              "true without initial_voters",
              "true only with a list of initial_voters");
  }
  out.shared_secret = reader.Secret("shared_secret");
  out.operator_token = reader.Secret("operator_token");
  out.log_file = reader.LogFile();
  return out;
}

template <class T>
Result<T> ParseSettings(std::string_view text, std::string_view file_name,
                        T (*read)(TomlTable&, SettingsReader&)) {
  auto parsed = detail::ParseToml(text, file_name);
  if (!parsed) {
    return parsed.error();
  }
  TomlErrors errors{std::string(file_name)};
  TomlTable root(parsed.value(), "", errors);
  SettingsReader reader(root, file_name);
  T settings = read(root, reader);
  root.RejectUnknown();
  if (errors.first()) {
    return *errors.first();
  }
  return settings;
}

}  // namespace

Result<EntrySettings> ParseEntrySettings(std::string_view text,
                                         std::string_view file_name) {
  return ParseSettings<EntrySettings>(text, file_name, ReadEntry);
}

Result<ControlSettings> ParseControlSettings(std::string_view text,
                                             std::string_view file_name) {
  return ParseSettings<ControlSettings>(text, file_name, ReadControl);
}

Result<EntrySettings> LoadEntrySettings(const std::string& file_name) {
  const auto text = ReadTextFile(file_name);
  if (!text) {
    return text.error();
  }
  return ParseEntrySettings(text.value(), file_name);
}

Result<ControlSettings> LoadControlSettings(const std::string& file_name) {
  const auto text = ReadTextFile(file_name);
  if (!text) {
    return text.error();
  }
  return ParseControlSettings(text.value(), file_name);
}

Result<std::string> ReadSecret(const SecretSource& source) {
  if (source.file.empty()) {
    return source.text;
  }
  auto text = ReadTextFile(source.file);
  if (!text) {
    return text;
  }
  std::string secret = std::move(text).value();
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.size() < kMinSecretCharacters) {
    return MakeError(ErrorCode::kSettingRange,
                     source.file + ": saw a secret of " +
                         std::to_string(secret.size()) +
                         " characters; allowed is at least 16");
  }
  return secret;
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const Error wrong =
      MakeError(ErrorCode::kSettingRange, "saw \"" + std::string(text) +
                                              "\"; allowed is " +
                                              std::string(kEndpointWords));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return wrong;
  }
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, endpoint.port);
  in_addr address{};
  if (digits.empty() || error != std::errc() || stop != end ||
      inet_pton(AF_INET, endpoint.address.c_str(), &address) != 1) {
    return wrong;
  }
  return endpoint;
}

}  // namespace rattanward::adapter
