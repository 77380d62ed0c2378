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
#include "rattanward/membership/departed_ids.h"

namespace rattanward::membership {

/// @brief Life cycle state that an upstream instance reports of itself, from
/// least to most advanced.
enum class InstanceState : std::uint8_t { kReady, kDraining, kGone };

/// @brief Orders the reports about one instance id: by start of the process,
/// then by sequence within that start.
struct InstanceStamp {
  /// Start of the process, in Unix milliseconds. An id can start again.
  std::uint64_t born = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const InstanceStamp&, const InstanceStamp&) = default;
};

/// @brief An upstream instance as registered.
struct InstanceRecord {
  UpstreamId id;
  InstanceStamp stamp;
  ServiceName service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  std::string version;
  std::uint32_t slots = 0;
  InstanceState state = InstanceState::kReady;
  /// Set after several missed heartbeats. The instance may have crashed, or may
  /// only be unable to reach control.
  bool silent = false;
  /// The instance told a caller's entry that it is leaving. Holds for this
  /// start, whatever its heartbeats say.
  bool leaving = false;
  /// What the instance named as its limit in its answers to callers' entries.
  NamedLimit limit;
  /// By how much the sequence of the stamp exceeds that of the newest report of
  /// the instance that is known here; beats raise only the former.
  std::uint64_t beats_ahead = 0;
  /// Whether the upstream may be reclaimed.
  bool spot = false;
  /// Time that an upstream which is being reclaimed had left when it said so;
  /// otherwise 0.
  Duration leaves_in{0};
  /// Set for an instance that is gone because a later start took over its
  /// address. It announced nothing, as far as is known.
  bool replaced = false;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// @brief Sequence of the report that a record's state, service, endpoint and
/// the like are from.
std::uint64_t ReportSequence(const InstanceRecord& record);

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

  /// @brief All records, including those of instances that are gone.
  std::vector<InstanceRecord> All() const;

  /// @brief The records of instances that are leaving or gone.
  /// @param most If there are more, those heard from last are returned.
  std::vector<InstanceRecord> Departed(std::size_t most) const;

  std::size_t size() const { return instances_.size(); }

 private:
  struct Instance {
    InstanceRecord record;
    TimePoint last_heard;
  };

  Change MergeRecord(const InstanceRecord& record, TimePoint now);
  Change AddRecord(const InstanceRecord& record, TimePoint now);
  bool IsHeld(const InstanceRecord& record) const;
  bool IsEarlierAtItsAddress(const InstanceRecord& record) const;
  void MarkIfReplaced(InstanceRecord* record) const;
  Change MergeExit(const InstanceRecord& received, InstanceRecord* known);
  InstanceRecord WithSignals(InstanceRecord record) const;
  void ApplySignals(const UpstreamId& id);
  bool IsKnownStart(const UpstreamId& id, std::uint64_t born) const;
  void ForgetSignalsOfUnknown();
  void RecordAddressOwner(const InstanceRecord& record);

  std::map<UpstreamId, Instance> instances_;
  std::vector<UpstreamId> changed_;
  DepartedIds departed_ids_;
  /// Latest start of each id that told that it is leaving.
  std::map<UpstreamId, std::uint64_t> leaving_;
  /// Limit that the latest start of each id named.
  std::map<UpstreamId, UpstreamLimit> limits_;
  /// Latest start among the instances that registered an address.
  std::map<Endpoint, std::uint64_t> newest_born_by_address_;
};

}  // namespace rattanward::membership
