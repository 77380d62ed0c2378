#pragma once

#include <map>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

/// @brief Caches the newest routes as text, and encodes the pushes that bring
/// entries from older versions to it.
class RoutingTexts {
 public:
  /// @brief Stores newer routes. Ignored unless the version is newer than
  /// newest().
  void Update(ConfigVersion version, const std::string& text);

  ConfigVersion newest() const { return newest_; }

  /// @brief The encoded push that brings an entry to the newest routes.
  /// @param entry_version Version that the entry runs.
  /// @return A difference if the text of `entry_version` is retained and the
  /// difference is shorter when encoded, otherwise the full text.
  /// @note Encoded once for each version that entries run.
  const std::string& EncodedPushFrom(ConfigVersion entry_version);

  /// @brief The encoded push of the full text, for an entry on which a
  /// difference had no effect.
  const std::string& EncodedFullPush() {
    return EncodedPushFrom(ConfigVersion{});
  }

 private:
  std::string MakePush(ConfigVersion entry_version) const;

  ConfigVersion newest_;
  /// Text of the last versions, including the newest.
  std::map<ConfigVersion, std::string> texts_;
  /// Encoded pushes to the newest version, by the version that the entry runs.
  std::map<ConfigVersion, std::string> encoded_pushes_;
};

}  // namespace rattanward::control
