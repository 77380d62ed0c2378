#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Software version of the upstream at which a stream began.
struct StreamVersion {
  /// Hash of the id of the caller's attempt that brought the first event.
  std::uint64_t stream = 0;
  std::string version;

  friend bool operator==(const StreamVersion&, const StreamVersion&) = default;
};

/// @brief Versions that serve a service, each with the start of its oldest
/// upstream in Unix milliseconds.
using ServingVersions = std::map<std::string, std::uint64_t>;

/// @brief Finds the version at which a stream may go on: only that at which it
/// began, at this entry or at another.
/// @note Pure: the time is a parameter. Entries tell each other where streams
/// began while several versions are known. If one version alone may have been
/// used, it is known without news: every entry begins to use a version only
/// after the adoption delay, which exceeds the lease of an entry that control
/// no longer reaches.
class StreamVersions {
 public:
  static constexpr Duration kAdoptionMargin = std::chrono::milliseconds(500);

  /// @param lease Time after a confirmation in which the known versions count
  /// as all that are in use. Streams begin at a new version only later.
  explicit StreamVersions(Duration lease)
      : lease_(lease), adoption_delay_(lease + kAdoptionMargin) {}

  /// @brief Control confirmed that this entry has all news up to a time.
  /// @param history Time for which control has known which upstreams there are.
  void Confirm(TimePoint as_of, Duration history);

  /// @brief Sets the versions that serve a service now.
  /// @param former Versions whose upstreams have left lately.
  void SetServing(const ServiceName& service, const ServingVersions& serving,
                  const std::set<std::string>& former, TimePoint now);

  /// @brief Versions at which a stream may begin that may have to go on
  /// elsewhere; empty if no version serves.
  std::set<std::string> MayBegin(const ServiceName& service,
                                 TimePoint now) const;

  /// @brief Version at which a stream began.
  /// @param stream The stream, or nothing if the caller doesn't name it.
  /// @return Nothing if it is not known.
  std::optional<std::string> VersionOf(const ServiceName& service,
                                       std::optional<std::uint64_t> stream,
                                       TimePoint now) const;

  /// @brief Records that a stream began at this entry, or went on here.
  /// @return Whether the other entries should be told, by TakeNew().
  bool RecordBegun(const ServiceName& service, const StreamVersion& begun,
                   TimePoint now);

  /// @brief Records where a stream began, as told by another entry.
  void RecordTold(const StreamVersion& told, TimePoint now);

  /// @brief Streams to tell the other entries since the last call.
  std::vector<StreamVersion> TakeNew();

  /// @brief Streams that were to be told since a time, since news may be lost.
  std::vector<StreamVersion> ToldSince(TimePoint since) const;

  /// @brief Drops streams that can no longer go on.
  void Expire(TimePoint now);

  /// @brief Number of streams whose version is known.
  std::size_t size() const { return streams_.size(); }

 private:
  struct Presence {
    /// Time from which this entry begins streams at the version.
    TimePoint begins_from;
    /// Time from which other entries may have begun streams at it.
    TimePoint used_from;
    /// Last time at which it served; TimePoint::max() while it serves.
    TimePoint last_served;
  };
  struct Service {
    TimePoint known_since;
    std::map<std::string, Presence> versions;
  };
  struct Known {
    std::string version;
    TimePoint recorded_at;
  };

  /// Whether the known versions are all that may be in use.
  bool KnowsVersions(const Service& service, TimePoint now) const;
  /// Whether no stream goes on at a version any more.
  static bool IsPast(const Presence& presence, TimePoint now);
  const Service* Find(const ServiceName& service) const;

  Duration lease_;
  Duration adoption_delay_;
  TimePoint confirmed_at_ = TimePoint::min();
  TimePoint confirmed_before_ = TimePoint::min();
  /// Time from which control knew which upstreams there were.
  TimePoint history_since_ = TimePoint::max();
  std::map<ServiceName, Service> services_;
  std::unordered_map<std::uint64_t, Known> streams_;
  std::vector<StreamVersion> untold_;
  std::deque<std::pair<TimePoint, StreamVersion>> told_;
};

}  // namespace rattanward::policy
