#pragma once

#include <map>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

/// @brief The newest routes as text, and how to tell them to an entry that runs
/// an older version.
class RoutingTexts {
 public:
  /// @brief Takes newer routes; older ones are ignored.
  void Update(ConfigVersion version, const std::string& text);

  ConfigVersion newest() const { return newest_; }

  /// @brief The push, encoded, that brings an entry to the newest routes.
  /// @param runs Version that the entry runs.
  /// @return A difference where `runs` is one of the last versions and that is
  /// shorter, else the whole text.
  /// @note Made once for each version that entries run.
  const std::string& EncodedPushFrom(ConfigVersion entry_version);

  /// @brief The same as whole text, for an entry on which a difference had no
  /// effect.
  const std::string& EncodedFullPush() {
    return EncodedPushFrom(ConfigVersion{});
  }

 private:
  std::string MakePush(ConfigVersion entry_version) const;

  ConfigVersion newest_;
  /// The last versions, the newest included.
  std::map<ConfigVersion, std::string> texts_;
  /// By the version that the entry runs.
  std::map<ConfigVersion, std::string> encoded_pushes_;
};

}  // namespace rattanward::control
