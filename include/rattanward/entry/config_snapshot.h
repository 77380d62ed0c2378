#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "rattanward/domain/config.h"
#include "rattanward/domain/result.h"

namespace rattanward::entry {

/// @brief One version of the configuration with the look-ups of its traffic.
/// @note Immutable: what a request began with stays as it was.
class ConfigSnapshot {
 public:
  ConfigSnapshot(ConfigVersion version, Config config);

  ConfigVersion version() const { return version_; }
  const Config& config() const { return config_; }

  /// @brief Finds the client account of a bearer key.
  /// @param key The key as the caller sent it.
  /// @return The account, or null if no account has this key.
  /// Complexity: constant on average; the hashes are compared in constant time.
  const ClientAccount* FindAccountByKey(std::string_view key) const;

  /// @brief Whether the model is declared.
  bool HasModel(const ModelName& model) const;

 private:
  ConfigVersion version_;
  Config config_;
  std::unordered_map<std::string, const ClientAccount*> accounts_;
  std::unordered_set<ModelName> models_;
};

/// @brief SHA-256 of a text.
/// @param text Any bytes.
/// @return 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// @brief Compares secrets without telling where they differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace rattanward::entry
