#include "rattanward/timeline/command.h"

#include "rattanward/adapter/config_text.h"
#include "rattanward/timeline/render.h"
#include "rattanward/timeline/timeline.h"

namespace rattanward::timeline {
namespace {

constexpr int kExitBadUsage = 2;
constexpr const char* kUsage =
    "rattanctl timeline [--request ID] [--account ID] [--upstream ID]\n"
    "  [--version N] [--json | --html] FILE...\n";

enum class OutputFormat { kText, kJson, kHtml };

struct Options {
  Filter filter;
  OutputFormat format = OutputFormat::kText;
  std::vector<std::string> files;
};

/// Parses the arguments. A flag's value is given as "--flag VALUE" or
/// "--flag=VALUE".
class ArgumentParser {
 public:
  explicit ArgumentParser(const std::vector<std::string>& args) : args_(args) {}

  /// @return False for an unknown flag, a missing or empty value, or no file.
  bool Parse(Options& options) {
    while (next_ < args_.size()) {
      const std::string& arg = args_[next_++];
      if (arg.rfind("--", 0) != 0) {
        options.files.push_back(arg);
      } else if (arg == "--json") {
        options.format = OutputFormat::kJson;
      } else if (arg == "--html") {
        options.format = OutputFormat::kHtml;
      } else if (!ParseFilterFlag(arg, options.filter)) {
        return false;
      }
    }
    return !options.files.empty();
  }

 private:
  bool ParseFilterFlag(const std::string& arg, Filter& filter) {
    const std::size_t equals = arg.find('=');
    const std::string name = arg.substr(0, equals);
    std::string value;
    if (equals != std::string::npos) {
      value = arg.substr(equals + 1);
    } else if (next_ < args_.size()) {
      value = args_[next_++];
    }
    if (name == "--request") {
      filter.request = RequestId(value);
    } else if (name == "--account") {
      filter.account = ClientAccountId(value);
    } else if (name == "--upstream") {
      filter.upstream = UpstreamId(value);
    } else if (name == "--version") {
      filter.version = value;
    } else {
      return false;
    }
    return !value.empty();
  }

  const std::vector<std::string>& args_;
  std::size_t next_ = 0;
};

std::string Render(const std::vector<Record>& records, OutputFormat format) {
  switch (format) {
    case OutputFormat::kJson:
      return ToJsonLines(records);
    case OutputFormat::kHtml:
      return ToHtml(records);
    default:
      return ToText(records);
  }
}

}  // namespace

int RunTimeline(const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err) {
  Options options;
  if (!ArgumentParser(args).Parse(options)) {
    err << kUsage;
    return kExitBadUsage;
  }
  std::vector<std::vector<Record>> logs;
  std::size_t skipped_lines = 0;
  for (const std::string& file : options.files) {
    const auto text = adapter::ReadTextFile(file);
    if (!text) {
      err << text.error().message << "\n";
      return kExitBadUsage;
    }
    ParsedLog log = ParseLog(text.value());
    skipped_lines += log.skipped_lines;
    logs.push_back(std::move(log.records));
  }
  out << Render(FilterRecords(MergeLogs(logs), options.filter), options.format);
  if (skipped_lines > 0) {
    err << skipped_lines << " lines skipped: not valid log records\n";
  }
  return 0;
}

}  // namespace rattanward::timeline
