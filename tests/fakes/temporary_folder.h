#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace rattanward::fakes {

/// @brief A new folder that is removed with everything in it.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    path_ =
        (std::filesystem::temp_directory_path() / "rattanward-XXXXXX").string();
    if (mkdtemp(path_.data()) == nullptr) {
      std::abort();
    }
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace rattanward::fakes
