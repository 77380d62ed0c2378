#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rattanward/domain/result.h"

namespace rattanward::adapter {

/// @brief Owner of a file descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int value) : value_(value) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : value_(std::exchange(other.value_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  ~FileDescriptor();

  int value() const { return value_; }
  bool valid() const { return value_ >= 0; }

 private:
  int value_ = -1;
};

/// @brief Opens a file with open(2) flags, mode 0600.
/// Errors: kStorageRefused if the disk or the process has no room for it,
/// kStorageFailed.
Result<FileDescriptor> OpenFile(const std::string& path, int flags);

/// @brief Writes all bytes at the descriptor's position.
/// Errors: kStorageRefused if the disk takes no more, kStorageFailed. Some of
/// the bytes may have been written.
Status WriteAll(const FileDescriptor& file, std::string_view bytes);

/// @brief Syncs a file's data and size.
/// Errors: kStorageFailed.
Status SyncFile(const FileDescriptor& file);

/// @brief Syncs a folder, so that its names last.
/// Errors: kStorageFailed.
Status SyncFolder(const std::string& path);

/// @brief Reads a whole file.
/// Errors: kStorageFailed.
Result<std::string> ReadFile(const std::string& path);

/// @brief Creates or empties a file, writes it and syncs it.
/// Errors: kStorageRefused if the disk takes no more, kStorageFailed.
Status WriteFile(const std::string& path, std::string_view bytes);

/// @brief Replaces a file at once: temporary file, sync, rename, sync folder.
/// @param folder The folder of the file.
/// @param name The file's name in it; NAME.tmp is used on the way.
/// @param bytes The new content.
/// Errors: kStorageRefused if the disk takes no more, and then the old file
/// stays; kStorageFailed.
Status ReplaceFile(const std::string& folder, const std::string& name,
                   std::string_view bytes);

/// @brief Names in a folder, sorted, without "." and "..".
/// Errors: kStorageFailed.
Result<std::vector<std::string>> ListFolder(const std::string& path);

/// @brief Takes a lock on a file that lasts as long as the descriptor.
/// Errors: kStorageFailed if another process holds it.
Result<FileDescriptor> LockFile(const std::string& path);

/// @brief Makes a folder unless it is there.
/// Errors: kStorageFailed.
Status MakeFolder(const std::string& path);

/// @brief Random bytes of the system as hexadecimal digits.
/// @param bytes Number of random bytes, at most 256.
/// Errors: kStorageFailed.
Result<std::string> RandomHex(std::size_t bytes);

}  // namespace rattanward::adapter
