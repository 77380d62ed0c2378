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

/// @brief An upstream is new, or its announcement has changed.
struct UpstreamChanged {
  Announcement announcement;

  friend bool operator==(const UpstreamChanged&,
                         const UpstreamChanged&) = default;
};

/// @brief Why an upstream is no longer available.
enum class GoneReason : std::uint8_t {
  /// No newer announcement or heartbeat within the expiry time.
  kExpired,
  /// Another instance announced itself on the same endpoint.
  kReplaced,
};

/// @brief An upstream is no longer available.
struct UpstreamGone {
  UpstreamId upstream;
  GoneReason reason = GoneReason::kExpired;

  friend bool operator==(const UpstreamGone&, const UpstreamGone&) = default;
};

using DirectoryChange = std::variant<UpstreamChanged, UpstreamGone>;

/// @brief Time and size limits of an UpstreamDirectory.
struct DirectoryOptions {
  /// An upstream that was not heard from for longer than this expires. See
  /// Limits::upstream_expiry.
  Duration expiry{std::chrono::seconds(3)};
  /// How long the record of a gone instance is kept, so that delayed messages
  /// about it are recognized as stale. Must exceed the largest message delay.
  Duration gone_retention{std::chrono::minutes(10)};
  /// Largest number of records, including those of gone instances.
  std::size_t max_instances = 8192;
};

/// @brief The upstreams known to one entry.
/// @note Pure: no I/O, and the time is a parameter. Messages may arrive late,
/// repeatedly and out of order. A message whose sequence is not above the last
/// one is ignored, except that draining, once announced, is never revoked for
/// the instance.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(DirectoryOptions options) : options_(options) {}

  /// @brief Applies a whole announcement, received from the upstream or from
  /// another entry.
  /// @return The changes that follow, oldest first.
  /// Complexity: linear in the number of instances for a new one, else
  /// logarithmic.
  std::vector<DirectoryChange> Announce(const Announcement& announcement,
                                        TimePoint now);

  /// @brief Applies a heartbeat, which is ignored for an unknown instance.
  /// @return The changes that follow, oldest first.
  std::vector<DirectoryChange> ApplyBeat(const protocol::UpstreamBeat& beat,
                                         TimePoint now);

  /// @brief Expires upstreams without a recent announcement or heartbeat, and
  /// removes old records of gone ones.
  /// @return The changes that follow, oldest first.
  /// @note Time in which this process did not run is not counted as silence of
  /// the upstreams. Otherwise a process that was frozen would expire all of
  /// them as soon as it runs again.
  std::vector<DirectoryChange> Tick(TimePoint now);

  /// @brief Sets the expiry time, as given by a newer configuration.
  void set_expiry(Duration expiry) { options_.expiry = expiry; }

  /// @brief The upstream, or null if it is unknown or gone.
  const Announcement* Find(const UpstreamId& upstream) const;

  /// @brief The whole announcements to send to other entries.
  /// @note Each has the sequence with which its content was announced. With the
  /// sequence of a newer heartbeat, old content would override newer content at
  /// other entries.
  std::vector<Announcement> GossipAnnouncements() const;

  /// @brief The available upstreams, including draining ones, with their newest
  /// sequence and load.
  std::vector<Announcement> Upstreams() const;

  friend bool operator==(const UpstreamDirectory& a,
                         const UpstreamDirectory& b) {
    return a.Upstreams() == b.Upstreams();
  }

 private:
  struct Record {
    /// Content of the newest whole announcement, with the newest sequence and
    /// load.
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
