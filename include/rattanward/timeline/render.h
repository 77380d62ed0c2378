#pragma once

#include <string>
#include <vector>

#include "rattanward/timeline/timeline.h"

namespace rattanward::timeline {

/// @brief A time line as text that fits a phone: a line for each record and,
/// indented below, its fields.
std::string ToText(const std::vector<Record>& records);

/// @brief A time line as one JSON object a line, as in the logs.
std::string ToJsonLines(const std::vector<Record>& records);

/// @brief A time line as a self-contained page with a picture.
/// @note One column for each process, one row for each record, and a line
/// through the records of each request.
std::string ToHtml(const std::vector<Record>& records);

}  // namespace rattanward::timeline
