#pragma once

#include <string>

namespace rattanward::adapter {

/// @brief What --help and --version print of a program.
struct ProgramInfo {
  std::string name;
  std::string version;
  /// One or more lines: usage and purpose.
  std::string summary;
};

/// @brief Parses the command line by gflags and serves --help and --version.
/// @param info The program.
/// @param argc Count of arguments; flags are taken out of it.
/// @param argv Arguments; flags are taken out of it.
/// @return True if the program shall run; false if it shall exit with 0.
/// @note An unknown flag ends the process with status 1.
bool ParseCommandLine(const ProgramInfo& info, int* argc, char*** argv);

}  // namespace rattanward::adapter
