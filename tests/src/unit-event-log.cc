#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "rattanward/adapter/event_log.h"

namespace rattanward::adapter {
namespace {

/// A file that is removed again.
class ScratchFile {
 public:
  explicit ScratchFile(const std::string& name)
      : path_((std::filesystem::temp_directory_path() /
               (name + std::to_string(::getpid())))
                  .string()) {
    std::filesystem::remove(path_);
  }
  ~ScratchFile() { std::filesystem::remove(path_); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  const std::string& path() const { return path_; }

  std::vector<nlohmann::json> Records() const {
    std::vector<nlohmann::json> records;
    std::ifstream file(path_);
    for (std::string line; std::getline(file, line);) {
      records.push_back(nlohmann::json::parse(line));
    }
    return records;
  }

 private:
  std::string path_;
};

const ProcessIdentity kIdentity{ProcessId("entry-1"), VmName("vm-1"),
                                FailureDomain("quay")};

}  // namespace

TEST_CASE("a record carries who, when, what and its place in the order") {
  const ScratchFile file("rattanward-log-a");
  const auto log = EventLog::Open(kIdentity, file.path());
  REQUIRE(log.has_value());
  const std::string odd = "quote \" line\n tab\t bad \xff";
  log.value()->Write({EventId::kRequestArrived, {{"request", odd}}});
  log.value()->clock().Merge(40);
  MakeEventSink(log.value())({EventId::kRequestFinished, {}});
  const auto records = file.Records();
  REQUIRE(records.size() == 2);
  CHECK(records[0]["process"] == "entry-1");
  CHECK(records[0]["vm"] == "vm-1");
  CHECK(records[0]["failure_domain"] == "quay");
  CHECK(records[0]["event"] == 2001);
  CHECK(records[0]["name"] == "request-arrived");
  CHECK(records[0]["seq"] == 1);
  CHECK(records[0]["time"].get<std::string>().size() ==
        std::string("2026-12-03T22:00:00.123456Z").size());
  const auto text = records[0]["fields"]["request"].get<std::string>();
  CHECK(text.rfind("quote \" line\n tab\t bad ", 0) == 0);
  CHECK(records[1]["seq"] == 41);
}

TEST_CASE("the clock goes on after a restart, in the order of the file") {
  const ScratchFile file("rattanward-log-e");
  {
    const auto log = EventLog::Open(kIdentity, file.path());
    log.value()->clock().Merge(500);
    log.value()->Write({EventId::kProcessStarted, {}});
  }
  std::ofstream(file.path(), std::ios::app) << "{\"seq\":9999,\"torn";
  std::ofstream(file.path(), std::ios::app) << "\n";
  const auto log = EventLog::Open(kIdentity, file.path());
  CHECK(log.value()->clock().Now() == 501);
}

TEST_CASE("two logs of one process are kept apart") {
  const ScratchFile one("rattanward-log-b");
  const ScratchFile two("rattanward-log-c");
  const auto first = EventLog::Open(kIdentity, one.path());
  const auto second = EventLog::Open(kIdentity, two.path());
  first.value()->Write({EventId::kProcessStarted, {}});
  CHECK(one.Records().size() == 1);
  CHECK(two.Records().empty());
}

TEST_CASE("records of many threads are whole and numbered once") {
  constexpr int kThreads = 4;
  constexpr int kEach = 250;
  const ScratchFile file("rattanward-log-d");
  const auto log = EventLog::Open(kIdentity, file.path());
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&log] {
      for (int i = 0; i < kEach; ++i) {
        log.value()->Write({EventId::kRequestArrived, {{"request", "r"}}});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto records = file.Records();
  REQUIRE(records.size() == kThreads * kEach);
  for (std::size_t i = 0; i < records.size(); ++i) {
    CHECK(records[i]["seq"] == i + 1);
  }
}

TEST_CASE("a log that can't be opened is an error") {
  const auto log = EventLog::Open(kIdentity, "/nowhere/log");
  REQUIRE(log.has_error());
  CHECK(log.error().code == ErrorCode::kSettingsUnreadable);
}

}  // namespace rattanward::adapter
