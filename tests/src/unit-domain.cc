#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "rattanward/rattanward.h"

namespace rattanward {
namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream file(std::string(RATTANWARD_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::size_t CountRows(const std::string& doc) {
  std::istringstream lines(doc);
  std::size_t rows = 0;
  for (std::string line; std::getline(lines, line);) {
    rows += line.size() > 6 && line.rfind("| ", 0) == 0 && line[2] >= '0' &&
                    line[2] <= '9'
                ? 1
                : 0;
  }
  return rows;
}

}  // namespace

TEST_CASE("verdicts combine to the stronger one") {
  CHECK(Strongest(Verdict::kNotRun, Verdict::kRan) == Verdict::kRan);
  CHECK(Strongest(Verdict::kMayHaveRun, Verdict::kNotRun) ==
        Verdict::kMayHaveRun);
  CHECK(ToString(Verdict::kNotRun) == "not-run");
}

TEST_CASE("every error has a page entry, and every entry an error") {
  const std::string doc = ReadDoc("errors.md");
  for (const ErrorInfo* info = ErrorTableBegin(); info != ErrorTableEnd();
       ++info) {
    const std::string row = "| " +
                            std::to_string(static_cast<int>(info->code)) +
                            " | " + std::string(info->name) + " |";
    CHECK_MESSAGE(doc.find(row) != std::string::npos, row);
  }
  CHECK(CountRows(doc) ==
        static_cast<std::size_t>(ErrorTableEnd() - ErrorTableBegin()));
}

TEST_CASE("every event has a catalogue entry, and every entry an event") {
  const std::string doc = ReadDoc("events.md");
  for (const EventInfo& info : EventTable()) {
    const std::string row = "| " + std::to_string(static_cast<int>(info.id)) +
                            " | " + std::string(info.name) + " |";
    CHECK_MESSAGE(doc.find(row) != std::string::npos, row);
  }
  CHECK(CountRows(doc) == EventTable().size());
}

}  // namespace rattanward
