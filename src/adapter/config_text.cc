#include "rattanward/adapter/config_text.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include "rattanward/adapter/detail/toml_table.h"

namespace rattanward::adapter {
namespace {

using detail::IntegerRange;
using detail::kNameRule;
using detail::TextRule;
using detail::TomlErrors;
using detail::TomlTable;

constexpr std::uint32_t kWholePermille = 1000;
constexpr std::size_t kSha256HexDigits = 64;
constexpr IntegerRange kTierRange{0, Tier::kCount - 1};
constexpr IntegerRange kPermilleRange{0, kWholePermille};
constexpr IntegerRange kTargetRange{1, 600'000};
constexpr IntegerRange kDeadlineRange{1, 3'600'000};
constexpr IntegerRange kQueueRange{1, 100'000};
constexpr IntegerRange kTokenRange{1, 1'000'000};
constexpr IntegerRange kCountRange{0, 10'000'000};
constexpr IntegerRange kBodyRange{1'024, 64LL << 20U};
constexpr IntegerRange kStoredRange{0, 1LL << 20U};
constexpr IntegerRange kAttemptsRange{1, 10};
constexpr IntegerRange kSilenceRange{50, 600'000};
constexpr IntegerRange kExpiryRange{500, 60'000};
constexpr IntegerRange kClaimWindowRange{60, 604'800};

bool IsModelCharacter(char c) {
  return detail::IsNameCharacter(c) || c == '/' || c == ':';
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

constexpr TextRule kModelRule{
    1, 128, IsModelCharacter,
    "1 to 128 letters, digits, dots, dashes, slashes, colons or '_'", false};
constexpr TextRule kDigestRule{kSha256HexDigits, kSha256HexDigits, IsHexDigit,
                               "64 hexadecimal digits in lower case", true};

std::uint32_t Count(TomlTable& table, std::string_view key, IntegerRange range,
                    std::uint32_t fallback) {
  return static_cast<std::uint32_t>(table.IntegerOr(key, range, fallback));
}

/// Notes an error if the value was there before.
void RequireUnique(std::set<std::string>& seen, const std::string& value,
                   TomlTable& table, std::string_view key, bool secret) {
  if (!seen.insert(value).second) {
    table.Fail(ErrorCode::kSettingConflict, key,
               secret ? "a value that stands twice" : '"' + value + "\" twice",
               "a value that no other table of this kind has");
  }
}

RequestClass ReadClass(TomlTable& table) {
  RequestClass out;
  out.name = RequestClassName(table.Text("name", kNameRule));
  out.tier.value = static_cast<std::uint8_t>(table.Integer("tier", kTierRange));
  out.first_token_target =
      table.Milliseconds("first_token_target_ms", kTargetRange);
  out.between_tokens_target =
      table.Milliseconds("between_tokens_target_ms", kTargetRange);
  out.deadline = table.Milliseconds("deadline_ms", kDeadlineRange);
  out.floor_permille = Count(table, "floor_permille", kPermilleRange, 0);
  out.queue_limit =
      static_cast<std::uint32_t>(table.Integer("queue_limit", kQueueRange));
  out.expected_output_tokens = static_cast<std::uint32_t>(
      table.Integer("expected_output_tokens", kTokenRange));
  out.idempotent = table.BoolOr("idempotent", true);
  if (out.deadline < out.first_token_target) {
    table.Fail(ErrorCode::kSettingConflict, "deadline_ms",
               "less than first_token_target_ms",
               "at least first_token_target_ms");
  }
  table.RejectUnknown();
  return out;
}

std::vector<RequestClass> ReadClasses(TomlTable& root) {
  std::vector<RequestClass> classes;
  std::set<std::string> names;
  std::uint32_t floors = 0;
  for (TomlTable& table : root.Tables("classes")) {
    classes.push_back(ReadClass(table));
    RequireUnique(names, classes.back().name.str(), table, "name", false);
    floors += classes.back().floor_permille;
    if (floors > kWholePermille) {
      table.Fail(ErrorCode::kSettingConflict, "floor_permille",
                 "a sum of " + std::to_string(floors) + " over the classes",
                 "a sum of at most 1000");
    }
  }
  if (classes.empty()) {
    root.Fail(ErrorCode::kSettingMissing, "classes", "no class",
              "at least one [[classes]] table");
  }
  return classes;
}

void RequireClass(const Config& config, const RequestClassName& name,
                  TomlTable& table, std::string_view key) {
  if (FindClass(config, name) != nullptr) {
    return;
  }
  std::string allowed;
  for (const RequestClass& known : config.classes) {
    allowed += (allowed.empty() ? "" : ", ") + known.name.str();
  }
  table.Fail(ErrorCode::kSettingConflict, key, '"' + name.str() + '"',
             "a declared class: " + allowed);
}

ClientAccount ReadAccount(const Config& config, TomlTable& table) {
  ClientAccount out;
  out.id = ClientAccountId(table.Text("id", kNameRule));
  out.key_sha256 = table.Text("key_sha256", kDigestRule);
  for (std::string& name : table.TextList("classes", kNameRule)) {
    out.classes.emplace_back(std::move(name));
    RequireClass(config, out.classes.back(), table, "classes");
  }
  if (out.classes.empty()) {
    table.Fail(ErrorCode::kSettingMissing, "classes", "no class",
               "a list of at least one declared class");
  }
  out.max_in_flight = Count(table, "max_in_flight", kCountRange, 0);
  out.requests_per_minute = Count(table, "requests_per_minute", kCountRange, 0);
  table.RejectUnknown();
  return out;
}

void ReadAccounts(TomlTable& root, Config& config) {
  std::set<std::string> ids;
  std::set<std::string> keys;
  for (TomlTable& table : root.Tables("accounts")) {
    const ClientAccount& account =
        config.accounts.emplace_back(ReadAccount(config, table));
    RequireUnique(ids, account.id.str(), table, "id", false);
    RequireUnique(keys, account.key_sha256, table, "key_sha256", true);
  }
}

void ReadServices(TomlTable& root, Config& config) {
  std::set<std::string> names;
  for (TomlTable& table : root.Tables("services")) {
    ServiceDeclaration service;
    service.name = ServiceName(table.Text("name", kNameRule));
    service.request_class = RequestClassName(table.Text("class", kNameRule));
    service.idempotent = table.BoolOr("idempotent", false);
    RequireUnique(names, service.name.str(), table, "name", false);
    RequireClass(config, service.request_class, table, "class");
    table.RejectUnknown();
    config.services.push_back(std::move(service));
  }
}

void ReadModels(TomlTable& root, Config& config) {
  std::set<std::string> names;
  for (std::string& name : root.TextList("models", kModelRule)) {
    RequireUnique(names, name, root, "models", false);
    config.models.emplace_back(std::move(name));
  }
}

Duration ReadDuration(TomlTable& table, std::string_view key,
                      IntegerRange range, Duration fallback) {
  return table.Has(key) ? table.Milliseconds(key, range) : fallback;
}

Limits ReadLimits(TomlTable& table) {
  Limits out;
  out.max_body_bytes =
      Count(table, "max_body_bytes", kBodyRange, out.max_body_bytes);
  out.max_stored_answer_bytes =
      Count(table, "max_stored_answer_bytes", kStoredRange,
            out.max_stored_answer_bytes);
  out.retry_permille =
      Count(table, "retry_permille", kPermilleRange, out.retry_permille);
  out.max_attempts =
      Count(table, "max_attempts", kAttemptsRange, out.max_attempts);
  out.silence = ReadDuration(table, "silence_ms", kSilenceRange, out.silence);
  out.upstream_expiry = ReadDuration(table, "upstream_expiry_ms", kExpiryRange,
                                     out.upstream_expiry);
  const auto window =
      std::chrono::duration_cast<std::chrono::seconds>(out.claim_window);
  out.claim_window = std::chrono::seconds(
      table.IntegerOr("claim_window_s", kClaimWindowRange, window.count()));
  table.RejectUnknown();
  return out;
}

}  // namespace

Result<Config> ParseConfigText(std::string_view text,
                               std::string_view file_name) {
  auto parsed = detail::ParseToml(text, file_name);
  if (!parsed) {
    return parsed.error();
  }
  TomlErrors errors{std::string(file_name)};
  TomlTable root(parsed.value(), "", errors);
  Config config;
  config.classes = ReadClasses(root);
  ReadModels(root, config);
  ReadAccounts(root, config);
  ReadServices(root, config);
  if (auto limits = root.Table("limits")) {
    config.limits = ReadLimits(*limits);
  }
  root.RejectUnknown();
  if (errors.first()) {
    return *errors.first();
  }
  return config;
}

Result<std::string> ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name, std::ios::binary);
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  if (!file || file.bad()) {
    return MakeError(ErrorCode::kSettingsUnreadable,
                     file_name + ": can't be read (" + std::strerror(errno) +
                         "); allowed is a readable file");
  }
  return text.str();
}

}  // namespace rattanward::adapter
