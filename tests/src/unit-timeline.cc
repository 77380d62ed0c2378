#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "rattanward/timeline/command.h"
#include "rattanward/timeline/render.h"
#include "rattanward/timeline/timeline.h"

namespace rattanward::timeline {
namespace {

Record MakeRecord(const std::string& process, std::uint64_t sequence,
                  const std::string& time, const std::string& name,
                  std::vector<EventField> fields = {}) {
  Record record;
  record.time = "2026-12-03T" + time + "Z";
  record.process = ProcessId(process);
  record.vm = VmName("vm-" + process);
  record.failure_domain = FailureDomain("quay");
  record.sequence = sequence;
  record.event = 2001;
  record.name = name;
  record.fields = std::move(fields);
  return record;
}

/// Event names in order, each followed by a space.
std::string Names(const std::vector<Record>& records) {
  std::string names;
  for (const Record& record : records) {
    names += record.name + " ";
  }
  return names;
}

}  // namespace

TEST_CASE("a cause precedes its effect when the clocks of VMs differ") {
  // The clock of the control VM is 5 s behind that of the entry's VM. Sorted by
  // time, the commit would precede the proposal that caused it.
  const std::vector<Record> entry = {
      MakeRecord("entry", 10, "22:00:05.0", "propose"),
      MakeRecord("entry", 14, "22:00:05.2", "answer")};
  const std::vector<Record> control = {
      MakeRecord("control", 12, "22:00:00.1", "commit")};
  CHECK(Names(MergeLogs({control, entry})) == "propose commit answer ");
  CHECK(MergeLogs({control, entry}) == MergeLogs({entry, control}));
}

TEST_CASE("events with equal Lamport clocks are sorted by time") {
  CHECK(Names(MergeLogs({{MakeRecord("a", 3, "22:00:01.0", "later")},
                         {MakeRecord("b", 3, "22:00:00.0", "sooner")}})) ==
        "sooner later ");
}

TEST_CASE("events after a process restart follow those before it") {
  CHECK(Names(MergeLogs({{MakeRecord("a", 50, "22:00:00.0", "old"),
                          MakeRecord("a", 1, "22:00:01.0", "started"),
                          MakeRecord("a", 2, "22:00:02.0", "ready")}})) ==
        "old started ready ");
}

TEST_CASE("filters match fields, and an account all records of its requests") {
  const std::vector<Record> all = {
      MakeRecord("e", 1, "22:00:00.0", "arrived",
                 {{"request", "r1"}, {"account", "port"}}),
      MakeRecord("e", 2, "22:00:00.1", "dispatched",
                 {{"request", "r1"}, {"upstream", "u1"}}),
      MakeRecord("e", 3, "22:00:00.2", "arrived",
                 {{"request", "r2"}, {"account", "tuul"}}),
      MakeRecord("e", 4, "22:00:00.3", "in-force", {{"version", "7"}})};
  const auto count_selected = [&](const Filter& filter) {
    return FilterRecords(all, filter).size();
  };
  CHECK(count_selected({}) == 4);
  CHECK(count_selected({RequestId("r1"), {}, {}, ""}) == 2);
  CHECK(count_selected({{}, ClientAccountId("port"), {}, ""}) == 2);
  CHECK(count_selected({{}, {}, UpstreamId("u1"), ""}) == 1);
  CHECK(count_selected({{}, {}, {}, "7"}) == 1);
  CHECK(count_selected({RequestId("r2"), {}, UpstreamId("u1"), ""}) == 0);
}

TEST_CASE("a log is parsed as written, and invalid lines are counted") {
  const std::vector<Record> records = {
      MakeRecord("e", 1, "22:00:00.0", "arrived", {{"request", "r\"1"}}),
      MakeRecord("e", 2, "22:00:00.1", "finished")};
  const std::string text = ToJsonLines(records);
  const ParsedLog log = ParseLog(text + "{\"time\":\"2026\nnoise\n");
  CHECK(log.records == records);
  CHECK(log.skipped_lines == 2);
}

TEST_CASE("text and HTML contain each event, and HTML is escaped") {
  const std::vector<Record> records = {
      MakeRecord("e", 1, "22:00:00.5", "arrived", {{"request", "<r1>"}})};
  CHECK(ToText(records) == "22:00:00.5 e arrived\n  request=<r1>\n");
  const std::string html = ToHtml(records);
  CHECK(html.find("&lt;r1&gt;") != std::string::npos);
  CHECK(html.find("<r1>") == std::string::npos);
  CHECK(html.find("<circle") != std::string::npos);
}

TEST_CASE("the command rejects invalid arguments and unreadable files") {
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunTimeline({}, out, err) == 2);
  CHECK(RunTimeline({"--request"}, out, err) == 2);
  CHECK(RunTimeline({"--colour", "red", "f"}, out, err) == 2);
  CHECK(RunTimeline({"/nowhere/log"}, out, err) == 2);
  CHECK(out.str().empty());
  const std::string not_a_log =
      std::string(RATTANWARD_SOURCE_DIR) + "/.gitignore";
  CHECK(RunTimeline({"--json", not_a_log}, out, err) == 0);
}

}  // namespace rattanward::timeline
