#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_io.h"
#include "rattanward/consensus/repair.h"
#include "rattanward/control/replica.h"
#include "rattanward/ledger/commands.h"

namespace rattanward::control {
namespace {

/// Limits the size of the files that this process writes, as a full disk does.
class FullDisk {
 public:
  explicit FullDisk(std::uint64_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit limited{bytes, before_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limited);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &before_); }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

 private:
  rlimit before_{};
};

/// The only member of its group, on a folder of its own.
class SingleReplica {
 public:
  SingleReplica() {
    ReplicaHooks hooks;
    hooks.send = [](const consensus::Message&) {};
    hooks.on_state_change = [] {};
    hooks.on_storage_failure = [this](const Error&) { ++failures; };
    hooks.events = [this](const Event& event) { events.push_back(event.id); };
    replica = std::make_unique<Replica>(
        io, adapter::FileLogStorage::Open(folder.path() + "/log").value(),
        consensus::NodeOptions(), hooks);
    consensus::Membership membership;
    membership.members = {
        {replica->id(), {"127.0.0.1", 1}, consensus::MemberRole::kVoter}};
    REQUIRE(replica->Bootstrap(consensus::InitialState(membership)));
  }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end) {
      replica->Tick();
      io.restart();
      io.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return done();
  }

  bool Leads() {
    return RunUntil([this] { return replica->ConfirmedLeader(); });
  }

  /// Declares routes of a version. Returns the error if that fails.
  std::optional<Error> Declare(std::uint64_t version) {
    std::optional<Result<ledger::Outcome>> outcome;
    replica->Propose(
        ledger::RoutingDeclare{ConfigVersion{version}, "text"},
        [&](const Result<ledger::Outcome>& result) { outcome = result; });
    RunUntil([&] { return outcome.has_value(); });
    REQUIRE(outcome);
    return *outcome ? std::nullopt : std::optional(outcome->error());
  }

  std::uint64_t LogBytes() const {
    std::uint64_t largest = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(folder.path() + "/log")) {
      largest = std::max<std::uint64_t>(largest, file.file_size());
    }
    return largest;
  }

  bool Logged(EventId id) const {
    return std::find(events.begin(), events.end(), id) != events.end();
  }

  asio::io_context io;
  fakes::TemporaryFolder folder;
  std::unique_ptr<Replica> replica;
  int failures = 0;
  std::vector<EventId> events;
};

}  // namespace

TEST_CASE(
    "a replica whose disk is full is suspended and comes back by itself") {
  SingleReplica single;
  REQUIRE(single.Leads());
  REQUIRE_FALSE(single.Declare(1));
  {
    const FullDisk full(single.LogBytes());
    const auto error = single.Declare(2);
    REQUIRE(error);
    CHECK(error->code == ErrorCode::kOutcomeUnknown);
    CHECK(error->verdict == Verdict::kMayHaveRun);
    CHECK(single.replica->suspended());
    CHECK_FALSE(single.replica->HoldsLease());
    CHECK_FALSE(single.replica->ConfirmedLeader());
    // What was accepted can still be read here; new commands are refused.
    CHECK(single.replica->ledger().routing().version == ConfigVersion{1});
    const auto refused = single.Declare(3);
    REQUIRE(refused);
    CHECK(refused->code == ErrorCode::kNoQuorum);
    std::optional<Status> read;
    single.replica->Read([&](const Status& status) { read = status; });
    REQUIRE(read);
    CHECK_FALSE(*read);
    // Several attempts to resume fail without harm.
    single.RunUntil([until = std::chrono::steady_clock::now() +
                             std::chrono::milliseconds(500)] {
      return std::chrono::steady_clock::now() > until;
    });
    CHECK(single.replica->suspended());
  }
  REQUIRE(single.Leads());
  CHECK(single.Logged(EventId::kStorageRefused));
  CHECK(single.Logged(EventId::kStorageResumed));
  CHECK(single.replica->ledger().routing().version == ConfigVersion{1});
  CHECK_FALSE(single.Declare(4));
  CHECK(single.replica->ledger().routing().version == ConfigVersion{4});
  CHECK(single.failures == 0);
}

TEST_CASE("a suspended replica retries a refused write and nothing else") {
  SingleReplica single;
  REQUIRE(single.Leads());
  const FullDisk full(single.LogBytes());
  REQUIRE(single.Declare(1));
  REQUIRE(single.replica->suspended());
  // Another process takes the folder between two attempts.
  std::optional<adapter::FileDescriptor> lock;
  REQUIRE(single.RunUntil([&] {
    auto taken = adapter::LockFile(single.folder.path() + "/log/lock");
    if (taken) {
      lock = std::move(taken.value());
    }
    return lock.has_value();
  }));
  CHECK(single.RunUntil([&] { return single.failures > 0; }));
  CHECK(single.failures == 1);
}

TEST_CASE("what a suspended replica had accepted is there after a restart") {
  SingleReplica single;
  REQUIRE(single.Leads());
  REQUIRE_FALSE(single.Declare(7));
  {
    const FullDisk full(single.LogBytes() + 3);  // A torn record remains.
    CHECK(single.Declare(8));
  }
  const VoterId id = single.replica->id();
  single.replica.reset();
  auto storage = adapter::FileLogStorage::Open(single.folder.path() + "/log");
  REQUIRE(storage);
  CHECK(storage.value().id() == id);
  CHECK_FALSE(storage.value().TakeState().entries.empty());
}

}  // namespace rattanward::control
