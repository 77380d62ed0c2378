#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "fakes/crash_disk.h"
#include "fakes/temporary_folder.h"
#include "rattanward/adapter/file_log_storage.h"

namespace rattanward::fakes {

/// @brief The real log storage on a folder that loses what was not synced.
class FileDisk {
 public:
  FileDisk(const VoterId& /*id*/, std::uint64_t seed) : random_(seed) {
    std::filesystem::create_directory(folder_->path() + "/data");
    disk_ = std::make_unique<CrashDisk>(folder_->path() + "/data/log");
    storage_.emplace(Storage::Open(Path()).value());
    id_ = storage_->id();
  }

  const VoterId& id() const { return id_; }

  /// @brief Writes the initial state of a new log, as control::Replica does.
  void Initialize(const consensus::PersistedState& state) {
    consensus::Output first;
    first.hard_state = state.hard_state;
    first.snapshot = state.snapshot;
    first.discard_log = true;
    first.entries = state.entries;
    std::ignore = storage_->Save(first);
    storage_.reset();
  }

  /// @brief Starts a process on the folder.
  Result<consensus::PersistedState> Open() {
    if (!storage_) {
      disk_->Revive();
      Result<Storage> opened = Storage::Open(Path());
      if (!opened) {
        return opened.error();
      }
      storage_.emplace(std::move(opened.value()));
      if (storage_->id() != id_) {
        return MakeError(ErrorCode::kWrongDataFolder, "another voter's id");
      }
    }
    return storage_->TakeState();
  }

  void Write(const consensus::Output& output) { output_ = output; }
  /// @brief Returns false if the process was killed in the middle of the write.
  bool Sync() { return storage_->Save(output_).has_value(); }

  /// @brief Kills the process after some more operations on its files.
  void KillAfter(int operations) { disk_->KillAfter(operations); }
  void Kill() { storage_.reset(); }
  void Crash() {
    storage_.reset();
    disk_->LosePower(random_);
  }

 private:
  using Storage = adapter::FileLogStorage;

  std::string Path() const { return folder_->path() + "/data/log"; }

  std::unique_ptr<TemporaryFolder> folder_ =
      std::make_unique<TemporaryFolder>();
  std::unique_ptr<CrashDisk> disk_;
  std::optional<Storage> storage_;
  std::mt19937_64 random_;
  VoterId id_;
  consensus::Output output_;
};

}  // namespace rattanward::fakes
