#pragma once

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace rattanward::fakes {

/// @brief Records what this process has synced in one folder, and takes the
/// rest away as a loss of power does.
/// @note The folder itself plays the cache of the operating system: it stays
/// as it is when a process is killed. A test program that includes this header
/// replaces the C library's sync, write, rename and remove calls.
class CrashDisk {
 public:
  explicit CrashDisk(std::string folder) : folder_(std::move(folder)) {
    All().insert(this);
  }
  CrashDisk(const CrashDisk&) = delete;
  CrashDisk& operator=(const CrashDisk&) = delete;
  ~CrashDisk() {
    All().erase(this);
    Unpin();
  }

  /// @brief Kills the process after this number of further operations. The
  /// operations after that fail and have no effect; a write may be torn.
  void KillAfter(int operations) { operations_left_ = operations; }
  bool killed() const { return operations_left_ && *operations_left_ < 0; }
  /// @brief Starts a new process on the folder as it is.
  void Revive() { operations_left_.reset(); }

  /// @brief Makes the next sync of a file fail.
  void FailNextSync() { fail_next_sync_ = true; }

  /// @brief Takes away what was not synced. Each name whose last change was
  /// not synced keeps or loses it, and each file's bytes are there, missing or
  /// torn, all independently.
  template <class Random>
  void LosePower(Random& random) {
    Revive();
    const Names cached = NamesInFolder();
    std::map<std::string, std::string> left;
    std::set<std::string> names;
    for (const auto& [name, inode] : cached) {
      names.insert(name);
    }
    for (const auto& [name, inode] : synced_names_) {
      names.insert(name);
    }
    for (const std::string& name : names) {
      const auto inode =
          Pick(Find(synced_names_, name), Find(cached, name), random);
      if (inode) {
        left[name] = ContentAfterLoss(*inode, random);
      }
    }
    Unpin();
    Replace(left);
  }

  static CrashDisk* Of(const std::string& path) {
    for (CrashDisk* disk : All()) {
      if (path.rfind(disk->folder_, 0) == 0) {
        return disk;
      }
    }
    return nullptr;
  }
  static std::string PathOf(int file) {
    std::string path(4096, '\0');
    const std::string link = "/proc/self/fd/" + std::to_string(file);
    const ssize_t size = readlink(link.c_str(), path.data(), path.size());
    path.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return path;
  }

  /// @brief Counts an operation. Returns false if the process is dead.
  bool Begin() {
    if (operations_left_ && *operations_left_ >= 0) {
      --*operations_left_;
    }
    return !killed();
  }
  bool TakeSyncFailure() { return std::exchange(fail_next_sync_, false); }

  void FileSynced(int file) {
    const ino_t inode = InodeOf(file);
    Pin(inode, file);
    synced_bytes_[inode] = ReadPinned(inode);
  }
  void FolderSynced() {
    synced_names_ = NamesInFolder();
    for (const auto& [name, inode] : synced_names_) {
      PinNamed(name, inode);
    }
  }
  /// @brief Keeps the bytes of a file whose name is about to go.
  void NameRemoved(const std::string& path) {
    const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file >= 0) {
      Pin(InodeOf(file), file);
      close(file);
    }
  }

 private:
  using Names = std::map<std::string, ino_t>;
  static constexpr std::size_t kSector = 512;

  static std::set<CrashDisk*>& All() {
    static std::set<CrashDisk*> disks;
    return disks;
  }

  static ino_t InodeOf(int file) {
    struct stat info {};
    fstat(file, &info);
    return info.st_ino;
  }

  static std::optional<ino_t> Find(const Names& names,
                                   const std::string& name) {
    const auto found = names.find(name);
    return found == names.end() ? std::nullopt : std::optional(found->second);
  }

  template <class Random>
  static bool Flip(Random& random) {
    return std::uniform_int_distribution<int>(0, 1)(random) == 1;
  }

  template <class Value, class Random>
  static Value Pick(Value synced, Value cached, Random& random) {
    return synced == cached || Flip(random) ? synced : cached;
  }

  Names NamesInFolder() const {
    Names names;
    std::error_code none;
    for (std::filesystem::directory_iterator it(folder_, none), end;
         !none && it != end; it.increment(none)) {
      struct stat info {};
      stat(it->path().c_str(), &info);
      names[it->path().filename().string()] = info.st_ino;
    }
    return names;
  }

  void PinNamed(const std::string& name, ino_t inode) {
    if (pins_.count(inode) == 0) {
      const int file =
          open((folder_ + "/" + name).c_str(), O_RDONLY | O_CLOEXEC);
      Pin(inode, file);
      close(file);
    }
  }

  /// An open descriptor keeps the inode's number from being used again.
  void Pin(ino_t inode, int file) {
    if (pins_.count(inode) == 0) {
      const std::string path = "/proc/self/fd/" + std::to_string(file);
      pins_[inode] = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    }
  }

  void Unpin() {
    for (const auto& [inode, file] : pins_) {
      close(file);
    }
    pins_.clear();
  }

  std::string ReadPinned(ino_t inode) const {
    const auto pin = pins_.find(inode);
    if (pin == pins_.end()) {
      return std::string();
    }
    struct stat info {};
    fstat(pin->second, &info);
    std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
    const ssize_t got = pread(pin->second, bytes.data(), bytes.size(), 0);
    bytes.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
    return bytes;
  }

  template <class Random>
  std::string ContentAfterLoss(ino_t inode, Random& random) {
    for (const auto& [name, other] : NamesInFolder()) {
      if (other == inode) {
        PinNamed(name, inode);
      }
    }
    const std::string synced = synced_bytes_[inode];
    const std::string cached = ReadPinned(inode);
    const bool appended = cached.size() > synced.size() &&
                          cached.compare(0, synced.size(), synced) == 0;
    if (!appended || Flip(random)) {
      return Pick(synced, cached, random);
    }
    return Torn(cached, synced.size(), random);
  }

  /// The unsynced tail is cut short, or some of its sectors never arrived.
  template <class Random>
  static std::string Torn(std::string bytes, std::size_t from, Random& random) {
    if (Flip(random)) {
      const std::size_t lost = bytes.size() - from;
      bytes.resize(from + std::uniform_int_distribution<std::size_t>(
                              0, lost - 1)(random));
      return bytes;
    }
    while (from < bytes.size()) {
      const std::size_t end =
          std::min(bytes.size(), (from / kSector + 1) * kSector);
      if (Flip(random)) {
        bytes.replace(from, end - from, end - from, '\0');
      }
      from = end;
    }
    return bytes;
  }

  void Replace(const std::map<std::string, std::string>& files) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    synced_bytes_.clear();
    synced_names_.clear();
    for (const auto& [name, bytes] : files) {
      std::ofstream(folder_ + "/" + name, std::ios::binary) << bytes;
    }
    FolderSynced();
    for (const auto& [name, inode] : synced_names_) {
      synced_bytes_[inode] = files.at(name);
    }
  }

  std::string folder_;
  std::optional<int> operations_left_;
  bool fail_next_sync_ = false;
  Names synced_names_;
  std::map<ino_t, std::string> synced_bytes_;
  std::map<ino_t, int> pins_;
};

namespace crash_disk_detail {

inline int Dead() {
  errno = EIO;
  return -1;
}

/// Syncs nothing: what counts as synced is recorded.
inline int Sync(int file, bool folder) {
  CrashDisk* disk = CrashDisk::Of(CrashDisk::PathOf(file));
  if (disk == nullptr) {
    return 0;
  }
  if (!disk->Begin() || (!folder && disk->TakeSyncFailure())) {
    return Dead();
  }
  folder ? disk->FolderSynced() : disk->FileSynced(file);
  return 0;
}

}  // namespace crash_disk_detail
}  // namespace rattanward::fakes

// NOLINTBEGIN(misc-definitions-in-headers): one program includes this once.
extern "C" {

int fdatasync(int file) {
  return rattanward::fakes::crash_disk_detail::Sync(file, /*folder=*/false);
}

int fsync(int file) {
  struct stat info {};
  fstat(file, &info);
  return rattanward::fakes::crash_disk_detail::Sync(file,
                                                    S_ISDIR(info.st_mode));
}

ssize_t write(int file, const void* bytes, std::size_t size) {
  using rattanward::fakes::CrashDisk;
  CrashDisk* disk = CrashDisk::Of(CrashDisk::PathOf(file));
  if (disk != nullptr) {
    const bool dead_before = disk->killed();
    if (!disk->Begin()) {
      if (!dead_before) {
        syscall(SYS_write, file, bytes, size / 2);
      }
      return rattanward::fakes::crash_disk_detail::Dead();
    }
  }
  return syscall(SYS_write, file, bytes, size);
}

int rename(const char* from, const char* to) noexcept {
  using rattanward::fakes::CrashDisk;
  CrashDisk* disk = CrashDisk::Of(to);
  if (disk != nullptr) {
    if (!disk->Begin()) {
      return rattanward::fakes::crash_disk_detail::Dead();
    }
    disk->NameRemoved(to);
  }
  return static_cast<int>(
      syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

int unlink(const char* path) noexcept {
  using rattanward::fakes::CrashDisk;
  CrashDisk* disk = CrashDisk::Of(path);
  if (disk != nullptr) {
    if (!disk->Begin()) {
      return rattanward::fakes::crash_disk_detail::Dead();
    }
    disk->NameRemoved(path);
  }
  return static_cast<int>(syscall(SYS_unlinkat, AT_FDCWD, path, 0));
}

int ftruncate(int file, off_t size) noexcept {
  using rattanward::fakes::CrashDisk;
  CrashDisk* disk = CrashDisk::Of(CrashDisk::PathOf(file));
  if (disk != nullptr && !disk->Begin()) {
    return rattanward::fakes::crash_disk_detail::Dead();
  }
  return static_cast<int>(syscall(SYS_ftruncate, file, size));
}

}  // extern "C"
// NOLINTEND(misc-definitions-in-headers)
