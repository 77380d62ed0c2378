#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/address_owners.h"
#include "rattanward/membership/departed_ids.h"
#include "rattanward/membership/instance_record.h"
#include "rattanward/membership/unnamed_records.h"

namespace rattanward::membership {

/// @brief A sign of life of an upstream instance. It does not say what the
/// instance reported, and so does not make what is known of it any newer.
struct InstanceBeat {
  UpstreamId id;
  InstanceStamp stamp;

  friend bool operator==(const InstanceBeat&, const InstanceBeat&) = default;
};

/// @brief One start of an upstream; the next one under the same id is another.
struct InstanceStart {
  UpstreamId id;
  std::uint64_t born = 0;

  friend auto operator<=>(const InstanceStart&, const InstanceStart&) = default;
};

/// @brief Directory of the upstream instances. Records may arrive late,
/// repeatedly, out of order and over several paths.
/// @note Pure: no I/O, and the time is a parameter. The newest start of an id
/// wins, and within a start the newest report, or the one whose state is more
/// advanced. The newest sign of life decides apart from that whether the
/// instance is silent. An address belongs to the instance that started last.
/// Only records of services that are named count for all this. Others wait
/// until their service is named, and are judged then.
class InstanceDirectory {
 public:
  /// @brief Effect of merging a record.
  enum class Change : std::uint8_t {
    /// The record was ignored as not newer, or arrived for an address that a
    /// later instance has taken over.
    kStale,
    /// Only the sequence changed.
    kRefreshed,
    /// A change that other processes must learn of.
    kChanged,
  };

  /// @brief Sets the services that the routes in force name. Until then every
  /// service is named.
  void SetServices(NamedServices services);

  /// @brief Whether the service of a record is named.
  bool Names(const InstanceRecord& record) const {
    return services_.Names(record.service);
  }

  /// @brief Whether a record counts: its service is named, or it adds to a
  /// start that is known.
  bool Counts(const InstanceRecord& record) const;

  /// @brief Merges a record received from the instance or from another process.
  Change Merge(const InstanceRecord& received, TimePoint now);

  /// @brief Applies a heartbeat, which is ignored for an unknown instance or
  /// start.
  Change ApplyBeat(const InstanceBeat& beat, TimePoint now);

  /// @brief Marks an instance as gone at its own request.
  /// @param id The instance.
  /// @param born Start of the process that deregisters, if the request names
  /// one. A start older than the known one is ignored.
  /// @return The record, or nullopt if nothing changed.
  std::optional<InstanceRecord> Deregister(const UpstreamId& id,
                                           std::optional<std::uint64_t> born,
                                           TimePoint now);

  /// @brief What came of a deregistration that names no start.
  enum class Departure : std::uint8_t {
    /// The known start is gone, now or before.
    kKnownStart,
    /// No start is known. Ready records of the id are not taken until
    /// ResolveDeparture(), or for DepartedIds::kHold.
    kUnknownStart,
    /// Nothing is known of the id, and there are too many such ids: this one
    /// is not remembered.
    kNotRemembered,
  };

  /// @brief Handles a deregistration that names no start.
  Departure Depart(const UpstreamId& id, TimePoint now);

  /// @brief Remembers that an unknown start of an id departed.
  /// @return False if there are too many such ids.
  bool AddDepartedId(const UpstreamId& id, TimePoint now) {
    return departed_ids_.Add(id, now);
  }

  /// @brief Records which start of an id departed, if that wasn't known. Later
  /// starts of it may register.
  /// @return Whether the id had departed with an unknown start.
  bool ResolveDeparture(const InstanceStart& departed, TimePoint now);

  /// @brief Whether an id departed with an unknown start.
  bool IsDepartedId(const UpstreamId& id) const {
    return departed_ids_.Contains(id);
  }

  /// @brief Ids that departed with an unknown start.
  std::vector<UpstreamId> DepartedWithUnknownStart() const {
    return departed_ids_.All();
  }

  /// @brief Forgets ids that departed too long ago.
  void ExpireDepartedIds(TimePoint now) { departed_ids_.Expire(now); }

  /// @brief Marks a start as leaving, which it told in an answer.
  /// @return Whether this is news. A start that is not known yet is remembered;
  /// an older or newer start of the same id is not affected.
  bool MarkLeaving(const InstanceStart& leaving);

  /// @brief Merges the limit that a start named in its answers. As for
  /// MarkLeaving(), another start of the same id is not affected.
  /// @return Whether this is news.
  bool MergeLimit(const UpstreamLimit& received);

  /// @brief Reads the limit that a start named in an answer, or that it named
  /// none.
  /// @return The new limit of the start if it has changed.
  std::optional<UpstreamLimit> ReadLimit(const UpstreamId& id,
                                         std::uint64_t born,
                                         const NamedTerms& named);

  /// @brief The limits known, including those that were withdrawn.
  std::vector<UpstreamLimit> Limits() const;

  /// @brief Marks instances last heard from before a time as silent.
  /// @return The records of the newly marked instances.
  std::vector<InstanceRecord> MarkSilent(TimePoint heard_before);

  /// @brief Removes instances that are gone or silent and were last heard from
  /// before a time.
  /// @return The removed ids.
  std::vector<UpstreamId> Forget(TimePoint heard_before);

  /// @brief The record of an id, or null if the id is unknown.
  const InstanceRecord* Find(const UpstreamId& id) const;

  /// @brief The current records of the instances that changed since the last
  /// call.
  std::vector<InstanceRecord> TakeChanges();

  /// @brief The records whose service is not named that changed since the last
  /// call. Other processes may run routes that name it.
  std::vector<InstanceRecord> TakeUnnamedChanges() {
    return unnamed_.TakeChanges();
  }

  /// @brief All records that count, including those of instances that are gone.
  std::vector<InstanceRecord> All() const;

  /// @brief All records, for another process, which judges them by itself.
  std::vector<InstanceRecord> AllToTell() const;

  /// @brief What to tell another process of an id: one record for each service.
  std::vector<InstanceRecord> ToTell(const UpstreamId& id) const;

  /// @brief The records of instances that are leaving or gone.
  /// @param most If there are more, those heard from last are returned.
  std::vector<InstanceRecord> Departed(std::size_t most) const;

  std::size_t size() const { return instances_.size(); }

 private:
  struct Instance {
    /// As reported, by itself or by others.
    InstanceRecord reported;
    /// The same, with what follows from later starts at its address.
    InstanceRecord record;
    TimePoint last_heard;
  };

  Change MergeRecord(const InstanceRecord& record, TimePoint now);
  Change AddRecord(const InstanceRecord& record, TimePoint now);
  bool IsHeld(const InstanceRecord& record) const;
  bool DisplacesUnnamed(const InstanceRecord& record,
                        const InstanceRecord& known) const;
  static bool MergeExit(const InstanceRecord& received, InstanceRecord* known);
  /// Works out the record from what was reported. Returns whether others must
  /// learn of the result.
  bool Settle(Instance* instance);
  void SettleAll();
  InstanceRecord WithSignals(InstanceRecord record) const;
  void ApplySignals(const UpstreamId& id);
  bool IsKnownStart(const UpstreamId& id, std::uint64_t born) const;
  void ForgetSignalsOfUnknown();
  void RecordAddressOwner(const Endpoint& endpoint, const AddressOwner& owner,
                          TimePoint now);
  void MakeRoom();

  std::map<UpstreamId, Instance> instances_;
  std::vector<UpstreamId> changed_;
  DepartedIds departed_ids_;
  /// Latest start of each id that told that it is leaving.
  std::map<UpstreamId, std::uint64_t> leaving_;
  /// Limit that the latest start of each id named.
  std::map<UpstreamId, UpstreamLimit> limits_;
  NamedServices services_;
  AddressOwners owners_;
  UnnamedRecords unnamed_;
};

}  // namespace rattanward::membership
