#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/consensus/node.h"
#include "rattanward/consensus/repair.h"

namespace rattanward {
namespace {

using adapter::FileLogStorage;
using consensus::Message;
using consensus::Node;
using consensus::Output;
using WallClock = std::chrono::steady_clock;

constexpr std::size_t kVoters = 3;
constexpr std::size_t kClaimBytes = 256;
constexpr std::size_t kConfigBytes = 8192;
constexpr auto kMeasuringTime = std::chrono::seconds(3);

double Micros(WallClock::duration span) {
  return std::chrono::duration<double, std::micro>(span).count();
}

/// One voter; its disk is real, its time stands still but for the election.
struct Voter {
  Voter(FileLogStorage home, consensus::PersistedState state, std::uint64_t n)
      : storage(std::move(home)),
        node(storage.id(), Options(n), std::move(state), TimePoint()) {}

  static consensus::NodeOptions Options(std::uint64_t seed) {
    consensus::NodeOptions options;
    options.seed = seed;
    return options;
  }

  FileLogStorage storage;
  Node node;
};

/// Three voters on one disk; each syncs before it sends.
class Voters {
 public:
  explicit Voters(const std::string& folder) {
    std::vector<FileLogStorage> homes;
    consensus::Membership members;
    for (std::size_t i = 0; i < kVoters; ++i) {
      homes.push_back(
          FileLogStorage::Open(folder + "/" + std::to_string(i)).value());
      members.members.push_back({homes.back().id(),
                                 {"127.0.0.1", static_cast<std::uint16_t>(i)},
                                 consensus::MemberRole::kVoter});
    }
    for (std::size_t i = 0; i < kVoters; ++i) {
      Output first;
      first.snapshot = consensus::InitialState(members).snapshot;
      homes[i].Save(first).value();
      voters_.emplace_back(std::move(homes[i]),
                           consensus::InitialState(members), i);
    }
    now_ += std::chrono::seconds(3);
    leader().node.Tick(now_);
    Pump();
  }

  Voter& leader() { return voters_.front(); }

  /// Commits a batch; returns once the leader knows that it is committed.
  void Commit(std::size_t batch, std::size_t bytes) {
    for (std::size_t i = 0; i < batch; ++i) {
      leader().node.Propose(std::string(bytes, 'x'), now_).value();
    }
    PumpUntil(leader().node.last_index());
  }

  /// Adds a blank folder as a learner; returns once its disk holds everything.
  void CatchUp(const std::string& folder) {
    FileLogStorage home = FileLogStorage::Open(folder).value();
    const VoterId id = home.id();
    voters_.emplace_back(std::move(home), consensus::PersistedState(), kVoters);
    leader()
        .node
        .ChangeMembership(
            {consensus::MembershipChange::Kind::kAddLearner, id, {}}, now_)
        .value();
    Pump();
    for (const consensus::MemberProgress& progress :
         leader().node.Progress(now_)) {
      if (progress.match < leader().node.commit_index()) {
        std::printf("a member did not catch up\n");
      }
    }
  }

  /// Handles every message that is left.
  void Pump() { PumpUntil(~consensus::LogIndex{0}); }

 private:
  void PumpUntil(consensus::LogIndex index) {
    for (bool moved = true; moved;) {
      moved = false;
      for (Voter& voter : voters_) {
        moved |= Step(&voter);
        if (leader().node.commit_index() >= index) {
          return;
        }
      }
    }
  }

  bool Step(Voter* voter) {
    std::vector<Message> rest;
    for (Message& message : std::exchange(messages_, {})) {
      if (message.to == voter->node.id()) {
        voter->node.Receive(message, now_);
      } else {
        rest.push_back(std::move(message));
      }
    }
    messages_ = std::move(rest);
    Output output = voter->node.TakeOutput();
    voter->storage.Save(output).value();
    const bool moved = output.NeedsSync() || !output.messages.empty();
    for (Message& message : output.messages) {
      messages_.push_back(std::move(message));
    }
    return moved;
  }

  std::vector<Voter> voters_;
  std::vector<Message> messages_;
  TimePoint now_;
};

double Quantile(std::vector<double>* sorted, double q) {
  return (*sorted)[static_cast<std::size_t>(
      q * static_cast<double>(sorted->size() - 1))];
}

void MeasureCommits(const std::string& folder, std::size_t batch,
                    std::size_t bytes) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  Voters voters(folder);
  std::vector<double> times;
  const std::uint64_t log_before = voters.leader().storage.log_bytes();
  const auto start = WallClock::now();
  while (WallClock::now() - start < kMeasuringTime) {
    const auto begin = WallClock::now();
    voters.Commit(batch, bytes);
    times.push_back(Micros(WallClock::now() - begin));
    voters.Pump();
  }
  const double seconds = Micros(WallClock::now() - start) / 1e6;
  const double changes = static_cast<double>(times.size() * batch);
  const double log_bytes =
      static_cast<double>(voters.leader().storage.log_bytes() - log_before);
  std::sort(times.begin(), times.end());
  std::printf("| %zu | %zu | %.0f | %.2f | %.2f | %.0f |\n", bytes, batch,
              changes / seconds, Quantile(&times, 0.5) / 1e3,
              Quantile(&times, 0.99) / 1e3, log_bytes / changes);
}

void MeasureRestart(const std::string& folder, std::size_t changes,
                    bool compacted) {
  constexpr std::size_t kBatch = 64;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::uint64_t log_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
  double catch_up = 0;
  {
    Voters voters(folder);
    for (std::size_t done = 0; done < changes; done += kBatch) {
      voters.Commit(std::min(kBatch, changes - done), kClaimBytes);
      voters.Pump();
    }
    Voter& leader = voters.leader();
    if (compacted) {
      leader.node.Compact(leader.node.commit_index(),
                          std::string(changes * kClaimBytes, 's'));
      leader.storage.Save(leader.node.TakeOutput()).value();
    }
    log_bytes = leader.storage.log_bytes();
    snapshot_bytes = leader.storage.snapshot_bytes();
    const auto begin = WallClock::now();
    voters.CatchUp(folder + "/learner");
    catch_up = Micros(WallClock::now() - begin) / 1e3;
  }
  const auto begin = WallClock::now();
  FileLogStorage storage = FileLogStorage::Open(folder + "/0").value();
  const Node node(storage.id(), {}, storage.TakeState(), TimePoint());
  const double millis = Micros(WallClock::now() - begin) / 1e3;
  std::printf("| %zu | %s | %lu | %lu | %.1f | %.1f |\n", changes,
              compacted ? "snapshot" : "log", log_bytes, snapshot_bytes, millis,
              catch_up);
}

void PrintLoad(const char* when) {
  std::string load;
  std::getline(std::ifstream("/proc/loadavg"), load);
  std::printf("load average %s: %s\n", when, load.c_str());
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  using namespace rattanward;  // NOLINT(google-build-using-namespace)
  const std::string folder =
      (argc > 1 ? std::string(argv[1]) : std::string(".")) +
      "/rattanward-bench-log";
  PrintLoad("at the start");
  std::printf(
      "\n| bytes a change | batch | commits/s | p50 ms | p99 ms | log bytes a "
      "change |\n|---|---|---|---|---|---|\n");
  for (const std::size_t batch : {1, 4, 16, 64, 256}) {
    MeasureCommits(folder, batch, kClaimBytes);
  }
  for (const std::size_t batch : {1, 16}) {
    MeasureCommits(folder, batch, kConfigBytes);
  }
  std::printf(
      "\n| changes of 256 bytes | kept as | log bytes | snapshot bytes | "
      "restart ms | catch-up ms |\n|---|---|---|---|---|---|\n");
  for (const std::size_t changes : {600, 6000, 60000}) {
    MeasureRestart(folder, changes, false);
    MeasureRestart(folder, changes, true);
  }
  std::filesystem::remove_all(folder);
  PrintLoad("at the end");
  return 0;
}
