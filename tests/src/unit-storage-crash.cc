#include <doctest/doctest.h>

#include <random>
#include <string>
#include <tuple>
#include <utility>

#include "fakes/crash_disk.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_log_storage.h"

namespace rattanward::adapter {
namespace {

using consensus::EntryType;
using consensus::Output;
using fakes::CrashDisk;
using fakes::TemporaryFolder;

/// More than the operations on files of any one write.
constexpr int kMaxOperations = 12;
constexpr unsigned kPowerLosses = 16;

Output Write(consensus::LogIndex index) {
  Output output;
  output.hard_state = {1, VoterId("candidate")};
  output.entries = {{index, 1, EntryType::kCommand, std::string(700, 'x')}};
  return output;
}

Output Compact(consensus::LogIndex index) {
  Output output;
  output.snapshot = consensus::Snapshot{{index, 1}, {}, "state"};
  return output;
}

/// A folder of which a power loss takes what wasn't synced.
struct Home {
  TemporaryFolder folder;
  CrashDisk disk{folder.path() + "/log"};

  Result<FileLogStorage> Open() {
    disk.Revive();
    return FileLogStorage::Open(folder.path() + "/log");
  }
};

/// Index of the last entry or of the snapshot that the storage holds.
consensus::LogIndex LastIndex(FileLogStorage storage) {
  const consensus::PersistedState state = storage.TakeState();
  return state.entries.empty() ? state.snapshot.last.index
                               : state.entries.back().index;
}

/// Kills a process at each operation of a write, starts it again, and takes the
/// power from what it then holds: that must be there afterwards.
void CheckRestartHolds(const Output& killed_write) {
  for (int operations = 0; operations < kMaxOperations; ++operations) {
    for (unsigned seed = 0; seed < kPowerLosses; ++seed) {
      std::mt19937_64 random(seed);
      Home home;
      {
        FileLogStorage storage = home.Open().value();
        REQUIRE(storage.Save(Write(1)));
        REQUIRE(storage.Save(Write(2)));
        home.disk.KillAfter(operations);
        std::ignore = storage.Save(killed_write);
      }
      auto restarted = home.Open();
      REQUIRE(restarted);
      const consensus::LogIndex held = LastIndex(std::move(restarted.value()));
      REQUIRE(held >= 2);
      home.disk.LosePower(random);
      auto opened = home.Open();
      REQUIRE_MESSAGE(opened, opened.error().message);
      REQUIRE(LastIndex(std::move(opened.value())) == held);
    }
  }
}

}  // namespace

TEST_CASE("an entry that a killed process left unsynced is synced at a start") {
  CheckRestartHolds(Write(3));
}

TEST_CASE(
    "a snapshot that a killed process put in place is synced at a start") {
  CheckRestartHolds(Compact(2));
}

TEST_CASE(
    "an entry whose sync failed is not taken for synced after a restart") {
  Home home;
  {
    FileLogStorage storage = home.Open().value();
    REQUIRE(storage.Save(Write(1)));
    home.disk.FailNextSync();
    CHECK(storage.Save(Write(2)).error().code == ErrorCode::kStorageFailed);
  }
  CHECK(LastIndex(home.Open().value()) == 1);
}

}  // namespace rattanward::adapter
