#pragma once

#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/domain/upstream.h"

namespace rattanward::adapter {

/// @brief The JSON body by which an upstream announces itself.
/// @param announcement What the upstream says of itself.
/// @return One JSON object, as docs/upstream-protocol.md describes it.
std::string AnnouncementToJson(const Announcement& announcement);

/// @brief Reads and checks an announcement's body.
/// @param body The JSON text as it arrived.
/// @return The announcement.
/// Errors: kMalformedBody if the text is not JSON, a required field is missing
/// or a value is out of range; the message names the field.
Result<Announcement> AnnouncementFromJson(std::string_view body);

}  // namespace rattanward::adapter
