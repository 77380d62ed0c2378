#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/config.h"
#include "rattanward/domain/result.h"

namespace rattanward::adapter {

/// @brief Parses and checks the declared configuration.
/// @param text TOML text, as kept in version control.
/// @param file_name Name that errors give.
/// @return The configuration as a value.
/// Errors: kSettingsSyntax, kUnknownSetting, kSettingType, kSettingRange,
/// kSettingMissing, kSettingConflict; the message names file, line, key, the
/// value seen and what is allowed.
/// Complexity: linear in the text, but for logarithmic look-ups.
Result<Config> ParseConfigText(std::string_view text,
                               std::string_view file_name);

/// @brief Reads a whole file.
/// @param file_name Path of the file.
/// @return Its bytes.
/// Errors: kSettingsUnreadable, with the path and the system's reason.
Result<std::string> ReadTextFile(const std::string& file_name);

}  // namespace rattanward::adapter
