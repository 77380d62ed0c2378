#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/protocol/gossip_messages.h"

namespace rattanward::membership {

/// @brief An upstream is new, or something that it announces has changed.
struct UpstreamChanged {
  Announcement announcement;

  friend bool operator==(const UpstreamChanged&,
                         const UpstreamChanged&) = default;
};

/// @brief Why an upstream is no longer offered.
enum class GoneReason : std::uint8_t {
  /// Not heard from for the expiry time.
  kExpired,
  /// Another instance announced itself on the same endpoint.
  kReplaced,
};

/// @brief An upstream is no longer offered.
struct UpstreamGone {
  UpstreamId upstream;
  GoneReason reason = GoneReason::kExpired;

  friend bool operator==(const UpstreamGone&, const UpstreamGone&) = default;
};

using DirectoryChange = std::variant<UpstreamChanged, UpstreamGone>;

/// @brief Bounds of a directory.
struct DirectoryOptions {
  /// Silence after which an upstream is expired; Limits::upstream_expiry.
  Duration expiry{std::chrono::seconds(3)};
  /// How long a gone instance is remembered, so that late messages of it are
  /// known as stale. Longer than any message can be under way.
  Duration gone_retention{std::chrono::minutes(10)};
  /// Instances known at once, gone ones included.
  std::size_t max_instances = 8192;
};

/// @brief What one entry knows of the upstreams.
/// @note Pure. Messages may come late, repeated and in any order: a sequence
/// that is not above the last one changes nothing, except that draining,
/// once announced, sticks to the instance.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(DirectoryOptions options) : options_(options) {}

  /// @brief Takes a whole announcement, heard directly or from another entry.
  /// @return The changes that follow, oldest first.
  /// Complexity: linear in the number of instances for a new one, else
  /// logarithmic.
  std::vector<DirectoryChange> Announce(const Announcement& announcement,
                                        TimePoint now);

  /// @brief Takes a sign of life; ignored for an instance that is not known.
  /// @return The changes that follow, oldest first.
  std::vector<DirectoryChange> ApplyBeat(const protocol::UpstreamBeat& beat,
                                         TimePoint now);

  /// @brief Expires upstreams that were not heard from.
  /// @return The changes that follow, oldest first.
  /// @note Time in which this process did not run counts for no upstream: a
  /// process that was frozen would else expire all of them when it wakes.
  std::vector<DirectoryChange> Tick(TimePoint now);

  /// @brief Uses the expiry time of a newer configuration.
  void set_expiry(Duration expiry) { options_.expiry = expiry; }

  /// @brief The upstream, or null if it is unknown or gone.
  const Announcement* Find(const UpstreamId& upstream) const;

  /// @brief The whole announcements to tell others: the sequence is the one
  /// that the content was announced with, not that of the newest beat.
  std::vector<Announcement> GossipAnnouncements() const;

  /// @brief The upstreams that are offered, draining ones included.
  std::vector<Announcement> Upstreams() const;

  friend bool operator==(const UpstreamDirectory& a,
                         const UpstreamDirectory& b) {
    return a.Upstreams() == b.Upstreams();
  }

 private:
  struct Record {
    /// Content of the newest whole announcement, with the newest load.
    Announcement announcement;
    /// Sequence of the newest whole announcement.
    std::uint64_t content_sequence = 0;
    TimePoint last_heard;
    bool gone = false;
  };

  std::vector<DirectoryChange> Add(const Announcement& announcement,
                                   TimePoint now);
  void RemoveOthersOnEndpoint(const Record& record,
                              std::vector<DirectoryChange>& changes);
  bool Refresh(Record& record, std::uint64_t sequence, const LoadReport& load,
               TimePoint now, std::vector<DirectoryChange>& changes);

  void CompensateForPause(TimePoint now);

  DirectoryOptions options_;
  std::map<UpstreamId, Record> records_;
  std::optional<TimePoint> last_tick_;
};

}  // namespace rattanward::membership
