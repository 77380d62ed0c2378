#pragma once

#include <cstdint>
#include <tuple>
#include <utility>

#include "rattanward/consensus/node.h"
#include "rattanward/port/storage.h"

namespace rattanward::fakes {

/// @brief In-memory log storage that loses unsynced writes in a crash.
class MemoryDisk {
 public:
  explicit MemoryDisk(VoterId id, std::uint64_t /*seed*/ = 0)
      : id_(std::move(id)) {}

  const VoterId& id() const { return id_; }
  /// @brief Writes the initial state of a new log.
  void Initialize(consensus::PersistedState state) {
    synced_ = std::move(state);
    written_ = synced_;
  }
  consensus::PersistedState TakeState() { return synced_; }
  Result<consensus::PersistedState> Open() { return synced_; }

  /// @brief Applies an output to the stored state without syncing.
  void Write(const consensus::Output& output) {
    if (output.hard_state.has_value()) {
      written_.hard_state = *output.hard_state;
    }
    auto& entries = written_.entries;
    if (output.discard_log) {
      entries.clear();
    }
    for (const consensus::Entry& entry : output.entries) {
      while (!entries.empty() && entries.back().index >= entry.index) {
        entries.pop_back();
      }
      entries.push_back(entry);
    }
    if (output.snapshot.has_value()) {
      written_.snapshot = *output.snapshot;
      while (!entries.empty() &&
             entries.front().index <= output.snapshot->last.index) {
        entries.erase(entries.begin());
      }
    }
  }
  bool Sync() {
    synced_ = written_;
    return true;
  }
  void Kill() {}
  /// @brief Discards all writes since the last sync.
  void Crash() { written_ = synced_; }

  Status Save(const consensus::Output& output) {
    Write(output);
    std::ignore = Sync();
    return outcome::success();
  }

 private:
  VoterId id_;
  consensus::PersistedState synced_;
  consensus::PersistedState written_;
};

static_assert(
    port::LogStorage<MemoryDisk, consensus::PersistedState, consensus::Output>);

}  // namespace rattanward::fakes
