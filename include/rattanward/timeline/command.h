#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattanward::timeline {

/// @brief Runs "rattanctl timeline [FLAGS] FILE...".
/// @param args The arguments after "timeline": --request, --account,
/// --upstream, --version (each with a value), --json, --html, and log files.
/// @param out Gets the time line.
/// @param err Gets errors and the count of unreadable lines.
/// @return Exit code: 0 done, 2 bad usage or an unreadable file.
int RunTimeline(const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err);

}  // namespace rattanward::timeline
