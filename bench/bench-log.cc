// Measures the replicated log with three voters in one process: commit latency
// and throughput, then the time of a restart and of a learner's catch-up.
//
// usage: bench-log [FOLDER]
//
// The logs are written to FOLDER/rattanward-bench-log, which is emptied before
// each measurement and removed at the end; FOLDER is the working directory by
// default. The voters sync their files one after the other, so a commit waits
// for all three syncs.

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
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kVoters = 3;
/// Size of the log entries that stand for claims.
constexpr std::size_t kClaimBytes = 256;
/// Size of the log entries that stand for configuration changes.
constexpr std::size_t kConfigBytes = 8192;
/// Minimum duration of each commit measurement.
constexpr auto kMeasurementTime = std::chrono::seconds(3);

double Micros(SteadyClock::duration elapsed) {
  return std::chrono::duration<double, std::micro>(elapsed).count();
}

/// @brief A member of the cluster, with its log in files.
struct Replica {
  Replica(FileLogStorage log_storage, consensus::PersistedState state,
          std::uint64_t seed)
      : storage(std::move(log_storage)),
        node(storage.id(), Options(seed), std::move(state), TimePoint()) {}

  static consensus::NodeOptions Options(std::uint64_t seed) {
    consensus::NodeOptions options;
    options.seed = seed;
    return options;
  }

  FileLogStorage storage;
  Node node;
};

/// @brief Replicas in one process, connected by a message queue. There are
/// three voters until AddLearner() is called.
/// @note Each replica syncs its log before its messages are delivered. Time
/// advances only in the constructor, where the first voter's election timeout
/// expires and it becomes leader. No timer expires during a measurement.
class Cluster {
 public:
  explicit Cluster(const std::string& folder) {
    std::vector<FileLogStorage> storages;
    consensus::Membership members;
    for (std::size_t i = 0; i < kVoters; ++i) {
      storages.push_back(
          FileLogStorage::Open(folder + "/" + std::to_string(i)).value());
      members.members.push_back({storages.back().id(),
                                 {"127.0.0.1", static_cast<std::uint16_t>(i)},
                                 consensus::MemberRole::kVoter});
    }
    for (std::size_t i = 0; i < kVoters; ++i) {
      Output initial_output;
      initial_output.snapshot = consensus::InitialState(members).snapshot;
      storages[i].Save(initial_output).value();
      replicas_.emplace_back(std::move(storages[i]),
                             consensus::InitialState(members), i);
    }
    now_ += std::chrono::seconds(3);
    leader().node.Tick(now_);
    RunUntilIdle();
  }

  Replica& leader() { return replicas_.front(); }

  /// @brief Proposes a batch and runs the cluster until the leader knows that
  /// it is committed.
  /// @param batch Number of log entries.
  /// @param bytes Size of each entry.
  void Commit(std::size_t batch, std::size_t bytes) {
    for (std::size_t i = 0; i < batch; ++i) {
      leader().node.Propose(std::string(bytes, 'x'), now_).value();
    }
    RunUntilCommitted(leader().node.last_index());
  }

  /// @brief Adds a learner with an empty log and runs the cluster until the
  /// learner has stored every committed entry.
  /// @param folder Folder of the learner's log.
  void AddLearner(const std::string& folder) {
    FileLogStorage log_storage = FileLogStorage::Open(folder).value();
    const VoterId id = log_storage.id();
    replicas_.emplace_back(std::move(log_storage), consensus::PersistedState(),
                           kVoters);
    leader()
        .node
        .ChangeMembership(
            {consensus::MembershipChange::Kind::kAddLearner, id, {}}, now_)
        .value();
    RunUntilIdle();
    for (const consensus::MemberProgress& progress :
         leader().node.Progress(now_)) {
      if (progress.match < leader().node.commit_index()) {
        std::printf("catch-up incomplete: a member lacks committed entries\n");
      }
    }
  }

  /// @brief Runs the cluster until no messages or unsaved output are left.
  void RunUntilIdle() { RunUntilCommitted(~consensus::LogIndex{0}); }

 private:
  /// @brief Runs the replicas in turn until the leader's commit index reaches
  /// `index` or no replica makes progress.
  void RunUntilCommitted(consensus::LogIndex index) {
    for (bool progressed = true; progressed;) {
      progressed = false;
      for (Replica& replica : replicas_) {
        progressed |= Step(&replica);
        if (leader().node.commit_index() >= index) {
          return;
        }
      }
    }
  }

  /// @brief Delivers a replica's pending messages, saves its output and queues
  /// the messages that it sends.
  /// @return Whether the replica saved or sent anything.
  bool Step(Replica* replica) {
    std::vector<Message> undelivered;
    for (Message& message : std::exchange(messages_, {})) {
      if (message.to == replica->node.id()) {
        replica->node.Receive(message, now_);
      } else {
        undelivered.push_back(std::move(message));
      }
    }
    messages_ = std::move(undelivered);
    Output output = replica->node.TakeOutput();
    replica->storage.Save(output).value();
    const bool progressed = output.NeedsSync() || !output.messages.empty();
    for (Message& message : output.messages) {
      messages_.push_back(std::move(message));
    }
    return progressed;
  }

  std::vector<Replica> replicas_;
  std::vector<Message> messages_;
  TimePoint now_;
};

/// @brief Returns a quantile of sorted values.
/// @param sorted Values in ascending order; must not be empty.
/// @param q Quantile between 0 and 1.
double Quantile(std::vector<double>* sorted, double q) {
  return (*sorted)[static_cast<std::size_t>(
      q * static_cast<double>(sorted->size() - 1))];
}

/// @brief Prints a table row with commit rate, latencies and log size.
/// @param batch Log entries proposed at once.
/// @param bytes Size of each entry.
/// @note A latency is that of a whole batch. The followers' last messages are
/// processed between batches; this counts towards the rate, not the latency.
void MeasureCommits(const std::string& folder, std::size_t batch,
                    std::size_t bytes) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  Cluster cluster(folder);
  std::vector<double> latencies_us;
  const std::uint64_t initial_log_bytes = cluster.leader().storage.log_bytes();
  const auto start = SteadyClock::now();
  while (SteadyClock::now() - start < kMeasurementTime) {
    const auto begin = SteadyClock::now();
    cluster.Commit(batch, bytes);
    latencies_us.push_back(Micros(SteadyClock::now() - begin));
    cluster.RunUntilIdle();
  }
  const double seconds = Micros(SteadyClock::now() - start) / 1e6;
  const double changes = static_cast<double>(latencies_us.size() * batch);
  const double log_bytes = static_cast<double>(
      cluster.leader().storage.log_bytes() - initial_log_bytes);
  std::sort(latencies_us.begin(), latencies_us.end());
  std::printf("| %zu | %zu | %.0f | %.2f | %.2f | %.0f |\n", bytes, batch,
              changes / seconds, Quantile(&latencies_us, 0.5) / 1e3,
              Quantile(&latencies_us, 0.99) / 1e3, log_bytes / changes);
}

/// @brief Prints a table row with the size of the leader's files, the time to
/// open them again and the time in which a learner catches up.
/// @param changes Log entries to commit first.
/// @param compacted Whether the leader replaces its log by a snapshot that has
/// the size of all entries.
void MeasureRestart(const std::string& folder, std::size_t changes,
                    bool compacted) {
  constexpr std::size_t kBatch = 64;
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::uint64_t log_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
  double catch_up_ms = 0;
  {
    Cluster cluster(folder);
    for (std::size_t done = 0; done < changes; done += kBatch) {
      cluster.Commit(std::min(kBatch, changes - done), kClaimBytes);
      cluster.RunUntilIdle();
    }
    Replica& leader = cluster.leader();
    if (compacted) {
      leader.node.Compact(leader.node.commit_index(),
                          std::string(changes * kClaimBytes, 's'));
      leader.storage.Save(leader.node.TakeOutput()).value();
    }
    log_bytes = leader.storage.log_bytes();
    snapshot_bytes = leader.storage.snapshot_bytes();
    const auto begin = SteadyClock::now();
    cluster.AddLearner(folder + "/learner");
    catch_up_ms = Micros(SteadyClock::now() - begin) / 1e3;
  }
  const auto begin = SteadyClock::now();
  FileLogStorage storage = FileLogStorage::Open(folder + "/0").value();
  const Node node(storage.id(), {}, storage.TakeState(), TimePoint());
  const double restart_ms = Micros(SteadyClock::now() - begin) / 1e3;
  std::printf("| %zu | %s | %lu | %lu | %.1f | %.1f |\n", changes,
              compacted ? "snapshot" : "log", log_bytes, snapshot_bytes,
              restart_ms, catch_up_ms);
}

/// @brief Prints the load of this machine, as other processes affect the times.
void PrintLoadAverage(const char* when) {
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
  PrintLoadAverage("at the start");
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
  PrintLoadAverage("at the end");
  return 0;
}
