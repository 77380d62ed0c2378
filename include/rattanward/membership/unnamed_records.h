#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/address_owners.h"
#include "rattanward/membership/instance_record.h"

namespace rattanward::membership {

/// @brief Newest record of each id and service that is not named: of another
/// writer, or of a service that will be named a moment later.
/// @note Pure: no I/O, and the time is a parameter. They have no effect here.
class UnnamedRecords {
 public:
  /// Number of records kept. For a further one, the one heard from longest ago
  /// is dropped.
  static constexpr std::size_t kMaxRecords = 4096;

  struct Heard {
    InstanceRecord record;
    TimePoint at;
  };

  /// @brief Merges a record as reported.
  /// @return Whether other processes must learn of it.
  bool Merge(const InstanceRecord& reported, TimePoint now);

  /// @brief Notes that an id deregistered.
  /// @param born Start that did, if the request names one.
  /// @return Whether there is a record of that start.
  bool MarkGone(const UpstreamId& id, std::optional<std::uint64_t> born);

  /// @brief Removes and returns the records whose service is named.
  std::vector<Heard> TakeNamed(const NamedServices& named);

  std::vector<InstanceRecord> TakeChanges();
  std::vector<InstanceRecord> All() const;
  /// @brief The records of an id.
  std::vector<InstanceRecord> Find(const UpstreamId& id) const;

  /// @brief Drops the records heard from before a time.
  void Forget(TimePoint heard_before);

 private:
  using Key = std::pair<UpstreamId, ServiceName>;

  void MakeRoom();

  std::map<Key, Heard> records_;
  std::vector<Key> changed_;
};

}  // namespace rattanward::membership
