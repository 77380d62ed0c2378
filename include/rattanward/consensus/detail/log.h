#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/consensus/log_types.h"

namespace rattanward::consensus::detail {

/// @brief In-memory log of one node. Holds the latest snapshot, the entries
/// after it and optionally some trailing entries that the snapshot covers.
class Log {
 public:
  explicit Log(Snapshot snapshot, std::vector<Entry> entries);

  LogIndex last_index() const;
  /// @brief Position of the last entry.
  LogPosition last() const;
  /// @brief Term of an entry; std::nullopt if the entry was compacted or is
  /// after the end of the log.
  std::optional<Term> TermAt(LogIndex index) const;
  /// @brief Returns an entry that must be in memory.
  const Entry& EntryAt(LogIndex index) const;

  /// @brief Returns entries starting at an index, up to a total payload size.
  /// @param max_bytes Limit of the payload in bytes. The first entry is
  /// included even if it exceeds the limit.
  std::vector<Entry> Slice(LogIndex from, std::size_t max_bytes) const;

  /// @brief Appends an entry with index last_index() + 1.
  /// @note The payload of a kMembership entry must be decodable.
  void Append(Entry entry);

  /// @brief Removes all entries with this index or a higher one.
  void TruncateFrom(LogIndex from);

  /// @brief Replaces the log up to an index with a snapshot.
  /// @param index Last entry included in the snapshot; must be in memory.
  /// @param state Encoded state machine state.
  /// @param trailing Number of entries covered by the snapshot that stay in
  /// memory.
  void Compact(LogIndex index, std::string state, std::uint64_t trailing);

  /// @brief Replaces the whole log with a snapshot.
  void Restore(Snapshot snapshot);

  /// @brief Latest membership in the log, committed or not.
  const Membership& membership() const;
  /// @brief Index of the entry or snapshot with the latest membership.
  LogIndex membership_index() const;
  /// @brief Whether a member is a voter in the membership in effect at the
  /// commit index or in any later membership of the log.
  bool IsVoterSince(LogIndex committed, const VoterId& id) const;

  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

 private:
  struct MembershipAt {
    LogIndex index = 0;
    Membership membership;
  };

  std::shared_ptr<const Snapshot> snapshot_;
  /// Position directly before entries_.front().
  LogPosition base_;
  std::deque<Entry> entries_;
  /// Memberships in effect at the snapshot and later, oldest first. Never
  /// empty.
  std::vector<MembershipAt> memberships_;
};

}  // namespace rattanward::consensus::detail
