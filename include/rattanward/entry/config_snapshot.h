#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "rattanward/domain/config.h"
#include "rattanward/domain/result.h"

namespace rattanward::entry {

/// @brief One version of the configuration, with indexes for request handling.
/// @note Immutable, so that a request keeps the version that it started with.
class ConfigSnapshot {
 public:
  ConfigSnapshot(ConfigVersion version, Config config);

  ConfigVersion version() const { return version_; }
  const Config& config() const { return config_; }

  /// @brief Finds the client account that a bearer key belongs to.
  /// @param key The key as sent by the caller.
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

/// @brief Computes the SHA-256 digest of a byte string.
/// @param text The bytes to hash; need not be text.
/// @return 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// @brief Compares two secrets in time that does not depend on where they
/// differ; secrets of unequal length compare unequal at once.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace rattanward::entry
