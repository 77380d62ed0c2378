#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "rattanward/domain/result.h"

namespace rattanward::adapter {

/// @brief A file with one checksummed record, which is replaced as a whole.
class RecordFile {
 public:
  /// @param folder Existing folder.
  /// @param name Name of the file in it.
  RecordFile(std::string folder, std::string name)
      : folder_(std::move(folder)), name_(std::move(name)) {}

  /// @brief Reads what was saved last; nothing if there is no file.
  /// Errors: kStorageFailed; kDamagedRecord if the file is not as it was saved.
  Result<std::optional<std::string>> Load() const;

  /// @brief Replaces the file and waits until it is on the disk.
  /// Errors: kStorageRefused if the disk takes no more, kStorageFailed. The
  /// old file stays.
  Status Save(std::string_view payload) const;

 private:
  std::string folder_;
  std::string name_;
};

}  // namespace rattanward::adapter
