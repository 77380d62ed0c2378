#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_log_storage.h"

namespace rattanward::adapter {
namespace {

using consensus::Entry;
using consensus::EntryType;
using consensus::Output;
using consensus::PersistedState;
using fakes::TemporaryFolder;

constexpr char kLog[] = "/data/log-1";
constexpr char kSnapshot[] = "/data/snapshot";

Entry Command(consensus::LogIndex index, consensus::Term term,
              std::size_t bytes = 24) {
  return {index, term, EntryType::kCommand, std::string(bytes, 'x')};
}

Output Write(consensus::Term term, std::vector<Entry> entries) {
  Output output;
  output.hard_state = {term, VoterId("candidate")};
  output.entries = std::move(entries);
  return output;
}

FileLogStorage Open(const TemporaryFolder& home) {
  return FileLogStorage::Open(home.path() + "/data").value();
}

ErrorCode OpenError(const TemporaryFolder& home) {
  const auto opened = FileLogStorage::Open(home.path() + "/data");
  REQUIRE(opened.has_error());
  return opened.error().code;
}

std::string ReadBytes(const std::string& path) {
  return ReadFile(path).value();
}

void WriteBytes(const std::string& path, const std::string& bytes) {
  REQUIRE(WriteFile(path, bytes).has_value());
}

/// Two whole batches, entries 1 to 3; returns the log's size.
std::size_t WriteTwoBatches(const TemporaryFolder& home) {
  FileLogStorage storage = Open(home);
  REQUIRE(storage.Save(Write(1, {Command(1, 1), Command(2, 1)})).has_value());
  REQUIRE(storage.Save(Write(2, {Command(3, 2)})).has_value());
  return storage.log_bytes();
}

}  // namespace

TEST_CASE("a folder keeps its id and a new folder gets another") {
  const TemporaryFolder home;
  const TemporaryFolder other;
  const VoterId id = Open(home).id();
  CHECK(id.str().size() == 32);
  CHECK(Open(home).id() == id);
  CHECK_FALSE(Open(home).created());
  CHECK(Open(other).id() != id);
  std::filesystem::remove_all(home.path() + "/data");
  CHECK(Open(home).id() != id);
}

TEST_CASE("what was saved comes back after a restart") {
  const TemporaryFolder home;
  WriteTwoBatches(home);
  {
    FileLogStorage storage = Open(home);
    const PersistedState state = storage.TakeState();
    CHECK(state.hard_state.term == 2);
    CHECK(state.hard_state.voted_for == VoterId("candidate"));
    CHECK(state.entries ==
          std::vector<Entry>{Command(1, 1), Command(2, 1), Command(3, 2)});
    REQUIRE(storage.Save(Write(3, {Command(2, 3)})).has_value());
  }
  CHECK(Open(home).TakeState().entries ==
        std::vector<Entry>{Command(1, 1), Command(2, 3)});
}

TEST_CASE("a tail torn at any byte is cut and the rest is whole") {
  const TemporaryFolder home;
  const std::size_t whole = WriteTwoBatches(home);
  REQUIRE(Open(home).Save(Write(3, {Command(4, 3, 2000)})).has_value());
  const std::string bytes = ReadBytes(home.path() + kLog);
  for (std::size_t size = whole; size < bytes.size(); ++size) {
    WriteBytes(home.path() + kLog, bytes.substr(0, size));
    FileLogStorage storage = Open(home);
    REQUIRE(storage.cut_bytes() == size - whole);
    REQUIRE(storage.TakeState().entries.size() == 3);
    REQUIRE(storage.Save(Write(4, {Command(4, 4)})).has_value());
  }
  CHECK(Open(home).TakeState().entries.back() == Command(4, 4));
}

TEST_CASE("a last write of which some sector never arrived is cut") {
  constexpr std::size_t kSector = 512;
  const TemporaryFolder home;
  const std::size_t whole = WriteTwoBatches(home);
  REQUIRE(Open(home).Save(Write(3, {Command(4, 3, 2000)})).has_value());
  const std::string bytes = ReadBytes(home.path() + kLog);
  for (std::size_t begin = whole; begin < bytes.size();) {
    const std::size_t end =
        std::min(bytes.size(), (begin / kSector + 1) * kSector);
    std::string torn = bytes;
    torn.replace(begin, end - begin, end - begin, '\0');
    WriteBytes(home.path() + kLog, torn);
    CHECK(Open(home).TakeState().entries.size() == 3);
    begin = end;
  }
}

TEST_CASE("a flipped byte anywhere in the log or snapshot is refused") {
  const TemporaryFolder home;
  WriteTwoBatches(home);
  for (const std::string name : {kLog, kSnapshot}) {
    const std::string bytes = ReadBytes(home.path() + name);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string flipped = bytes;
      flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
      WriteBytes(home.path() + name, flipped);
      REQUIRE(OpenError(home) == ErrorCode::kDamagedRecord);
    }
    WriteBytes(home.path() + name, bytes);
  }
  CHECK(Open(home).TakeState().entries.size() == 3);
}

TEST_CASE("a missing snapshot or log is refused, not started anew") {
  const TemporaryFolder home;
  WriteTwoBatches(home);
  const std::string snapshot = ReadBytes(home.path() + kSnapshot);
  std::filesystem::remove(home.path() + kSnapshot);
  CHECK(OpenError(home) == ErrorCode::kWrongDataFolder);
  WriteBytes(home.path() + kSnapshot, snapshot);
  std::filesystem::remove(home.path() + kLog);
  CHECK(OpenError(home) == ErrorCode::kDamagedRecord);
}

TEST_CASE("another kind of folder and another voter's log are refused") {
  const TemporaryFolder home;
  const TemporaryFolder other;
  WriteTwoBatches(home);
  WriteTwoBatches(other);
  WriteBytes(other.path() + kLog, ReadBytes(home.path() + kLog));
  CHECK(OpenError(other) == ErrorCode::kDamagedRecord);
  WriteBytes(home.path() + "/data/notes.txt", "x");
  CHECK(OpenError(home) == ErrorCode::kWrongDataFolder);
}

TEST_CASE("a folder in use is refused") {
  const TemporaryFolder home;
  const FileLogStorage storage = Open(home);
  CHECK(OpenError(home) == ErrorCode::kStorageFailed);
}

TEST_CASE("a snapshot drops the log behind it and keeps what follows") {
  const TemporaryFolder home;
  WriteTwoBatches(home);
  Output output = Write(2, {Command(4, 2)});
  output.snapshot = consensus::Snapshot{{2, 1}, {}, "state"};
  {
    FileLogStorage storage = Open(home);
    REQUIRE(storage.Save(output).has_value());
    REQUIRE(storage.Save(Write(2, {Command(5, 2)})).has_value());
  }
  CHECK_FALSE(std::filesystem::exists(home.path() + kLog));
  PersistedState state = Open(home).TakeState();
  CHECK(state.snapshot == *output.snapshot);
  CHECK(state.hard_state.term == 2);
  CHECK(state.entries ==
        std::vector<Entry>{Command(3, 2), Command(4, 2), Command(5, 2)});

  output.snapshot = consensus::Snapshot{{9, 3}, {}, "leader's"};
  output.discard_log = true;
  output.entries = {Command(10, 3)};
  REQUIRE(Open(home).Save(output).has_value());
  state = Open(home).TakeState();
  CHECK(state.snapshot.state == "leader's");
  CHECK(state.entries == std::vector<Entry>{Command(10, 3)});
}

TEST_CASE("a crash on either side of the switch leaves one whole state") {
  const TemporaryFolder home;
  WriteTwoBatches(home);
  const std::string old_root = ReadBytes(home.path() + kSnapshot);
  const std::string old_log = ReadBytes(home.path() + kLog);
  Output output = Write(3, {});
  output.snapshot = consensus::Snapshot{{2, 1}, {}, "state"};
  REQUIRE(Open(home).Save(output).has_value());
  SUBCASE("before: the new log file is there, the snapshot is the old one") {
    WriteBytes(home.path() + kSnapshot, old_root);
    WriteBytes(home.path() + kLog, old_log);
    CHECK(Open(home).TakeState().entries.size() == 3);
    CHECK_FALSE(std::filesystem::exists(home.path() + "/data/log-2"));
  }
  SUBCASE("after: the old log file is still there") {
    WriteBytes(home.path() + kLog, old_log);
    CHECK(Open(home).TakeState().entries.size() == 1);
    CHECK_FALSE(std::filesystem::exists(home.path() + kLog));
  }
}

TEST_CASE("a folder whose making was interrupted is made anew") {
  const TemporaryFolder home;
  std::filesystem::create_directory(home.path() + "/data");
  WriteBytes(home.path() + kLog, "");
  WriteBytes(home.path() + "/data/snapshot.tmp", "half");
  CHECK(Open(home).created());
}

TEST_CASE("a failed write makes every later one fail") {
  const TemporaryFolder home;
  FileLogStorage storage = Open(home);
  std::filesystem::remove_all(home.path() + "/data");
  Output output = Write(1, {});
  output.snapshot = consensus::Snapshot{{1, 1}, {}, "state"};
  CHECK(storage.Save(output).error().code == ErrorCode::kStorageFailed);
  CHECK(storage.Save(Write(1, {Command(2, 1)})).error().code ==
        ErrorCode::kStorageFailed);
}

}  // namespace rattanward::adapter
