#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::membership {

/// @brief What an upstream instance says of its own future.
enum class InstanceState : std::uint8_t { kReady, kDraining, kGone };

/// @brief Orders what was said of one id: a later start, then a later call.
struct InstanceStamp {
  /// Unix millisecond of the start; the same id may start again.
  std::uint64_t born = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const InstanceStamp&, const InstanceStamp&) = default;
};

/// @brief One upstream instance, as it registered.
struct InstanceRecord {
  UpstreamId id;
  InstanceStamp stamp;
  ServiceName service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  std::string version;
  std::uint32_t slots = 0;
  InstanceState state = InstanceState::kReady;
  /// Not heard for several heartbeats; it may have crashed, or be cut off from
  /// control only.
  bool silent = false;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// @brief A sign of life without news.
struct InstanceBeat {
  UpstreamId id;
  InstanceStamp stamp;

  friend bool operator==(const InstanceBeat&, const InstanceBeat&) = default;
};

/// @brief Which upstreams there are: merges what arrives late, repeated, in
/// another order, or by several ways.
/// @note Pure. The newest stamp of an id wins; with equal stamps, the state
/// that is further on. An address belongs to the instance that was born last.
class InstanceDirectory {
 public:
  /// @brief What merging a record changed.
  enum class Change : std::uint8_t {
    /// An older or equal record; nothing changed.
    kStale,
    /// Only the stamp is newer.
    kRefreshed,
    /// Something that others need to know.
    kChanged,
  };

  /// @brief Takes a record from the instance itself or another process.
  Change Merge(const InstanceRecord& record, TimePoint now);

  /// @brief Takes a sign of life of an instance that is known.
  Change ApplyBeat(const InstanceBeat& beat, TimePoint now);

  /// @brief Marks an instance as gone, at its own word.
  /// @param id The instance.
  /// @param born Start that the word is about, if it names one.
  /// @return The record if this is news.
  std::optional<InstanceRecord> Deregister(const UpstreamId& id,
                                           std::optional<std::uint64_t> born,
                                           TimePoint now);

  /// @brief Marks instances that were not heard since a moment as silent.
  /// @return Their records.
  std::vector<InstanceRecord> MarkSilent(TimePoint heard_before);

  /// @brief Forgets instances that are gone or silent, not heard since then.
  /// @return Their ids.
  std::vector<UpstreamId> Forget(TimePoint heard_before);

  /// @brief The record of an id, or null.
  const InstanceRecord* Find(const UpstreamId& id) const;

  /// @brief Records that changed since the last call.
  std::vector<InstanceRecord> TakeChanges();

  /// @brief All records, gone ones included.
  std::vector<InstanceRecord> All() const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    InstanceRecord record;
    TimePoint last_heard;
  };

  void RecordAddressOwner(const InstanceRecord& record);

  std::map<UpstreamId, Entry> entries_;
  std::vector<UpstreamId> changed_;
  /// Start of the newest instance that registered an address.
  std::map<Endpoint, std::uint64_t> newest_born_by_address_;
};

}  // namespace rattanward::membership
