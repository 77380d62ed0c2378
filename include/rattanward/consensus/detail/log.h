#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/consensus/log_types.h"

namespace rattanward::consensus::detail {

/// @brief The log of one node in memory: a snapshot and the entries after it,
/// with some entries kept behind the snapshot.
class Log {
 public:
  explicit Log(Snapshot snapshot, std::vector<Entry> entries);

  LogIndex last_index() const;
  /// @brief Position of the last entry.
  LogPosition last() const;
  /// @brief Term of an entry; none if it is compacted or not there yet.
  std::optional<Term> TermAt(LogIndex index) const;
  const Entry& EntryAt(LogIndex index) const;

  /// @brief Entries from an index on, the first one always, then up to a size.
  std::vector<Entry> Slice(LogIndex from, std::size_t max_bytes) const;

  /// @brief Appends the next entry.
  /// @note A kMembership payload must be decodable.
  void Append(Entry entry);

  /// @brief Drops every entry from an index on.
  void TruncateFrom(LogIndex from);

  /// @brief Replaces the log up to an index by a snapshot.
  /// @param trailing Entries to keep in memory behind the snapshot.
  void Compact(LogIndex index, std::string state, std::uint64_t trailing);

  /// @brief Replaces the whole log.
  void Restore(Snapshot snapshot);

  /// @brief The newest membership and the index that it stands at.
  const Membership& membership() const;
  LogIndex membership_index() const;
  /// @brief Whether a member is a voter in the membership of a committed entry
  /// or in any later one.
  bool IsVoterSince(LogIndex committed, const VoterId& id) const;

  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

 private:
  struct MembershipAt {
    LogIndex index = 0;
    Membership membership;
  };

  std::shared_ptr<const Snapshot> snapshot_;
  /// Position before the first entry kept.
  LogPosition base_;
  std::deque<Entry> entries_;
  /// Oldest first; never empty.
  std::vector<MembershipAt> memberships_;
};

}  // namespace rattanward::consensus::detail
