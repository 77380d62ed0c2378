#include "rattanward/adapter/command_line.h"

#include <gflags/gflags.h>

#include <iostream>
#include <vector>

namespace rattanward::adapter {
namespace {

bool IsSet(const char* flag) {
  std::string value;
  return gflags::GetCommandLineOption(flag, &value) && value == "true";
}

/// Whether a flag is one of the gflags library's own.
bool IsBuiltIn(const gflags::CommandLineFlagInfo& flag) {
  const std::size_t slash = flag.filename.rfind('/');
  const std::size_t start = slash == std::string::npos ? 0 : slash + 1;
  return flag.filename.compare(start, 6, "gflags") == 0;
}

void PrintHelp(const ProgramInfo& info) {
  std::cout << info.name << " " << info.version << "\n"
            << info.summary << "\n\n"
            << "  --help     print this and exit\n"
            << "  --version  print the version and exit\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (!IsBuiltIn(flag)) {
      std::cout << "  --" << flag.name << "  " << flag.description << " ("
                << flag.type << ", default \"" << flag.default_value << "\")\n";
    }
  }
}

}  // namespace

bool ParseCommandLine(const ProgramInfo& info, int* argc, char*** argv) {
  constexpr bool kRemoveFlags = true;
  gflags::SetUsageMessage(info.summary);
  gflags::SetVersionString(info.version);
  gflags::ParseCommandLineNonHelpFlags(argc, argv, kRemoveFlags);
  if (IsSet("help")) {
    PrintHelp(info);
    return false;
  }
  if (IsSet("version")) {
    std::cout << info.name << " " << info.version << "\n";
    return false;
  }
  return true;
}

}  // namespace rattanward::adapter
