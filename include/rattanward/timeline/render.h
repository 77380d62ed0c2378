#pragma once

#include <string>
#include <vector>

#include "rattanward/timeline/timeline.h"

namespace rattanward::timeline {

/// @brief Formats a time line as text for narrow screens, such as a phone's.
/// @return One line per record with time of day, process and event name. Its
/// fields, if any, follow on an indented line.
std::string ToText(const std::vector<Record>& records);

/// @brief Formats a time line as JSON, one object per line, as in the logs.
std::string ToJsonLines(const std::vector<Record>& records);

/// @brief Formats a time line as a self-contained HTML page with an SVG
/// diagram.
/// @note The diagram has one column per process, one row per record, and a line
/// through the records of each request. It shows at most the first 5000
/// records.
std::string ToHtml(const std::vector<Record>& records);

}  // namespace rattanward::timeline
