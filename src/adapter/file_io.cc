#include "rattanward/adapter/file_io.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace rattanward::adapter {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr std::size_t kReadBytes = 64U << 10U;

/// Whether an error means that a write was refused, and the next may be taken.
bool IsRefusal(int error) {
  switch (error) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
    case EROFS:
    case EMFILE:
    case ENFILE:
      return true;
    default:
      return false;
  }
}

Error Failed(const std::string& what) {
  const std::string reason = std::system_category().message(errno);
  return MakeError(ErrorCode::kStorageFailed, what + ": " + reason);
}

/// As Failed(), for a step before anything is synced.
Error FailedBeforeSync(const std::string& what) {
  const bool refused = IsRefusal(errno);
  Error error = Failed(what);
  error.code = refused ? ErrorCode::kStorageRefused : error.code;
  return error;
}

}  // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(value_, other.value_);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (value_ >= 0) {
    close(value_);
  }
}

Result<FileDescriptor> OpenFile(const std::string& path, int flags) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  FileDescriptor file(open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (!file.valid()) {
    return FailedBeforeSync("open " + path);
  }
  return file;
}

Status WriteAll(const FileDescriptor& file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(file.value(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return FailedBeforeSync("write");
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return outcome::success();
}

Status SyncFile(const FileDescriptor& file) {
  if (fdatasync(file.value()) != 0) {
    return Failed("fdatasync");
  }
  return outcome::success();
}

Status SyncFolder(const std::string& path) {
  BOOST_OUTCOME_TRY(folder, OpenFile(path, O_RDONLY | O_DIRECTORY));
  if (fsync(folder.value()) != 0) {
    return Failed("fsync " + path);
  }
  return outcome::success();
}

Result<std::string> ReadFile(const std::string& path) {
  BOOST_OUTCOME_TRY(file, OpenFile(path, O_RDONLY));
  std::string bytes;
  std::string buffer(kReadBytes, '\0');
  while (true) {
    const ssize_t got = read(file.value(), buffer.data(), buffer.size());
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return Failed("read " + path);
    }
    if (got == 0) {
      return bytes;
    }
    bytes.append(buffer, 0, static_cast<std::size_t>(got));
  }
}

Status WriteFile(const std::string& path, std::string_view bytes) {
  BOOST_OUTCOME_TRY(file, OpenFile(path, O_WRONLY | O_CREAT | O_TRUNC));
  BOOST_OUTCOME_TRY(WriteAll(file, bytes));
  return SyncFile(file);
}

Status ReplaceFile(const std::string& folder, const std::string& name,
                   std::string_view bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  BOOST_OUTCOME_TRY(WriteFile(temporary, bytes));
  if (rename(temporary.c_str(), path.c_str()) != 0) {
    return FailedBeforeSync("rename " + temporary);
  }
  return SyncFolder(folder);
}

Result<std::vector<std::string>> ListFolder(const std::string& path) {
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator it(path, error), end;
       !error && it != end; it.increment(error)) {
    names.push_back(it->path().filename().string());
  }
  if (error) {
    return MakeError(ErrorCode::kStorageFailed,
                     "list " + path + ": " + error.message());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<FileDescriptor> LockFile(const std::string& path) {
  BOOST_OUTCOME_TRY(file, OpenFile(path, O_RDWR | O_CREAT));
  if (flock(file.value(), LOCK_EX | LOCK_NB) != 0) {
    return Failed("lock " + path + " (held by another process?)");
  }
  return file;
}

Status MakeFolder(const std::string& path) {
  if (mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return Failed("mkdir " + path);
  }
  const std::string parent =
      std::filesystem::absolute(path).parent_path().string();
  return SyncFolder(parent);
}

Result<std::string> RandomHex(std::size_t bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::vector<unsigned char> random(bytes);
  if (getrandom(random.data(), random.size(), 0) !=
      static_cast<ssize_t>(random.size())) {
    return Failed("getrandom");
  }
  std::string hex;
  for (const unsigned char byte : random) {
    hex += kDigits[byte >> kNibbleBits];
    hex += kDigits[byte & kNibbleMask];
  }
  return hex;
}

}  // namespace rattanward::adapter
