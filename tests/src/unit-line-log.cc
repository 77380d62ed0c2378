#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "rattanward/adapter/line_log.h"

namespace rattanward::adapter {
namespace {

/// Both ends of a pipe, closed at the end.
struct Pipe {
  Pipe() { REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string Read() const {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (ssize_t n = 0;
         (n = read(ends[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> ends{};
};

ProcessIdentity Identity() {
  return {ProcessId("p\"1"), VmName("v"), FailureDomain("d")};
}

}  // namespace

TEST_CASE("records are JSON lines, whatever their fields hold") {
  Pipe pipe;
  asio::io_context io;
  const auto log = std::make_shared<LineLog>(io, Identity(), pipe.ends[1]);
  log->Write({EventId::kRequestShed, {{"reason", "a \"quoted\"\nline \xff"}}});
  log->Flush();
  const auto record = nlohmann::json::parse(pipe.Read());
  CHECK(record["process"] == "p\"1");
  CHECK(record["name"] == "request-shed");
  CHECK(record["seq"] == 1);
}

TEST_CASE("a reader that does not read costs records, not time") {
  Pipe pipe;
  asio::io_context io;
  const auto log = std::make_shared<LineLog>(io, Identity(), pipe.ends[1]);
  const std::string large(2000, 'x');
  constexpr int kRecords = 2000;
  for (int i = 0; i < kRecords; ++i) {
    log->Write({EventId::kRequestShed, {{"reason", large}}});
  }
  CHECK(log->dropped() > 0);
  CHECK(log->dropped() < kRecords);
  std::string all = pipe.Read();
  for (int i = 0; i < 20; ++i) {
    log->Flush();
    all += pipe.Read();
  }
  log->Write({EventId::kProcessStopped, {}});
  log->Flush();
  all += pipe.Read();
  std::istringstream lines(all);
  std::uint64_t last = 0;
  bool told = false;
  for (std::string line; std::getline(lines, line);) {
    const auto record = nlohmann::json::parse(line);
    CHECK(record["seq"].get<std::uint64_t>() == last + 1);
    last = record["seq"].get<std::uint64_t>();
    told = told || (record["name"] == "records-dropped" &&
                    record["total"] == std::to_string(log->dropped()));
  }
  CHECK(told);
}

}  // namespace rattanward::adapter
