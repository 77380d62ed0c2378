#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rattanward/adapter/record_file.h"
#include "rattanward/domain/result.h"
#include "rattanward/membership/instance_directory.h"

namespace rattanward::control {

/// @brief Largest number of upstreams that left which a control VM keeps on its
/// disk: several times the largest fleet.
inline constexpr std::size_t kMaxKeptDepartures = 4096;

/// @brief What a control VM keeps of upstreams that left.
struct Departures {
  /// Upstreams that are leaving or gone.
  std::vector<membership::InstanceRecord> records;
  /// Those that departed with an unknown start.
  std::vector<UpstreamId> ids;
};

/// @brief File that keeps which upstreams are leaving or gone, so that a late
/// heartbeat doesn't bring one back after a restart of all processes.
/// @note Each control VM writes its own; see docs/design/departures.md.
class DepartureStore {
 public:
  /// @param folder Existing folder of this control VM; the file's name in it is
  /// "departures".
  explicit DepartureStore(std::string folder)
      : file_(std::move(folder), "departures") {}

  /// @brief Reads what was saved last; nothing if there is no file.
  /// Errors: kStorageFailed; kDamagedRecord if the file is not as it was saved.
  Result<Departures> Load() const;

  /// @brief Replaces the file and waits until it is on the disk.
  /// Errors: kStorageRefused if the disk takes no more, kStorageFailed. The
  /// old file stays.
  Status Save(const Departures& departures) const;

 private:
  adapter::RecordFile file_;
};

}  // namespace rattanward::control
