#include "rattanward/consensus/detail/log.h"

#include <algorithm>
#include <utility>

namespace rattanward::consensus::detail {

Log::Log(Snapshot snapshot, std::vector<Entry> entries) {
  Restore(std::move(snapshot));
  for (Entry& entry : entries) {
    Append(std::move(entry));
  }
}

LogIndex Log::last_index() const { return base_.index + entries_.size(); }

LogPosition Log::last() const {
  return entries_.empty()
             ? base_
             : LogPosition{entries_.back().index, entries_.back().term};
}

std::optional<Term> Log::TermAt(LogIndex index) const {
  if (index == base_.index) {
    return base_.term;
  }
  if (index < base_.index || index > last_index()) {
    return std::nullopt;
  }
  return EntryAt(index).term;
}

const Entry& Log::EntryAt(LogIndex index) const {
  return entries_[index - base_.index - 1];
}

std::vector<Entry> Log::Slice(LogIndex from, std::size_t max_bytes) const {
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= last_index(); ++index) {
    const Entry& entry = EntryAt(index);
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void Log::Append(Entry entry) {
  if (entry.type == EntryType::kMembership) {
    Result<Membership> membership = DecodeMembership(entry.payload);
    memberships_.push_back({entry.index, std::move(membership).value()});
  }
  entries_.push_back(std::move(entry));
}

void Log::TruncateFrom(LogIndex from) {
  while (last_index() >= from && !entries_.empty()) {
    entries_.pop_back();
  }
  while (memberships_.size() > 1 && memberships_.back().index >= from) {
    memberships_.pop_back();
  }
}

void Log::Compact(LogIndex index, std::string state, std::uint64_t trailing) {
  while (memberships_.size() > 1 && memberships_[1].index <= index) {
    memberships_.erase(memberships_.begin());
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->last = {index, TermAt(index).value()};
  snapshot->membership = memberships_.front().membership;
  snapshot->state = std::move(state);
  snapshot_ = std::move(snapshot);
  while (!entries_.empty() && entries_.front().index + trailing <= index) {
    base_ = {entries_.front().index, entries_.front().term};
    entries_.pop_front();
  }
}

void Log::Restore(Snapshot snapshot) {
  base_ = snapshot.last;
  entries_.clear();
  memberships_.assign(1, {snapshot.last.index, snapshot.membership});
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
}

const Membership& Log::membership() const {
  return memberships_.back().membership;
}

LogIndex Log::membership_index() const { return memberships_.back().index; }

bool Log::IsVoterSince(LogIndex committed, const VoterId& id) const {
  for (auto it = memberships_.rbegin(); it != memberships_.rend(); ++it) {
    if (IsVoter(it->membership, id)) {
      return true;
    }
    if (it->index <= committed) {
      return false;
    }
  }
  return false;
}

}  // namespace rattanward::consensus::detail
