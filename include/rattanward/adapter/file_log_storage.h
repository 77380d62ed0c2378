#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattanward/adapter/file_io.h"
#include "rattanward/consensus/node.h"
#include "rattanward/domain/result.h"

namespace rattanward::adapter {

/// @brief The replicated log in one data folder.
/// @note `snapshot` holds the voter's id, the newest snapshot and the number G
/// of the log file that goes with it; `log-G` holds one checksummed record per
/// Save(). A new snapshot comes with a new log file, and replacing `snapshot`
/// switches to both at once.
class FileLogStorage {
 public:
  /// @brief Opens a folder, or makes it a new home with a new random id.
  /// @param folder The data folder; made unless it is there.
  /// @return The storage, holding the folder's lock.
  /// Errors: kDamagedRecord; kWrongDataFolder if the folder holds anything
  /// else, or a log without its snapshot; kStorageFailed.
  static Result<FileLogStorage> Open(const std::string& folder);

  /// @brief Opens the folder anew after a refused write and proves that it
  /// takes writes: reads and checks it like Open(), then saves a record that
  /// repeats the hard state.
  /// @return A storage that replaces this one. TakeState() is what is on disk.
  /// Errors: as Open() and Save(); then this storage stays closed, without the
  /// folder's lock, and after kStorageRefused the call can be repeated.
  Result<FileLogStorage> Reopen();

  const VoterId& id() const { return id_; }
  /// @brief Whether Open() made a new home.
  bool created() const { return created_; }
  /// @brief Bytes of a torn tail that Open() cut off.
  std::uint64_t cut_bytes() const { return cut_bytes_; }
  /// @brief Bytes of the snapshot and of the log on disk.
  std::uint64_t snapshot_bytes() const { return snapshot_bytes_; }
  std::uint64_t log_bytes() const { return log_bytes_; }

  /// @brief What was found on disk; call it once.
  consensus::PersistedState TakeState() { return std::move(state_); }

  /// @brief Writes and syncs the durable part of an output.
  /// @return Success once it is all on disk.
  /// Errors: kStorageRefused if the write was refused before anything of it was
  /// synced, so that the folder holds what it held before, perhaps with a torn
  /// tail; see Reopen(). kStorageFailed if a sync failed: what is on disk is
  /// unknown. After either, every later call fails.
  Status Save(const consensus::Output& output);

 private:
  explicit FileLogStorage(std::string folder) : folder_(std::move(folder)) {}

  Status Create();
  Status Load();
  Status LoadLog(const std::vector<std::string>& names);
  Status Append(const consensus::Output& output);
  void CutRecord() const;
  Status Switch(const consensus::Output& output);
  Result<std::vector<consensus::Entry>> EntriesAfter(
      const consensus::Output& output) const;
  Status WriteGeneration(const consensus::Snapshot& snapshot,
                         std::vector<consensus::Entry> entries);
  std::string LogName() const;
  std::string LogPath() const { return folder_ + "/" + LogName(); }

  std::string folder_;
  FileDescriptor lock_;
  FileDescriptor log_;
  VoterId id_;
  consensus::HardState hard_state_;
  std::uint64_t generation_ = 0;
  std::uint64_t snapshot_bytes_ = 0;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t cut_bytes_ = 0;
  bool created_ = false;
  bool failed_ = false;
  consensus::PersistedState state_;
};

}  // namespace rattanward::adapter
