#include "rattanward/membership/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace rattanward::membership {
namespace {

/// Replaces the known content by that of a newer announcement. Keeps the known
/// sequence and load, and never revokes draining.
void UpdateContent(const Announcement& newer, Announcement& known) {
  const bool draining = known.draining || newer.draining;
  const std::uint64_t sequence = known.sequence;
  const LoadReport load = known.load;
  known = newer;
  known.draining = draining;
  known.sequence = sequence;
  known.load = load;
}

}  // namespace

std::vector<DirectoryChange> UpstreamDirectory::Announce(
    const Announcement& announcement, TimePoint now) {
  const auto found = records_.find(announcement.instance);
  if (found == records_.end()) {
    return Add(announcement, now);
  }
  std::vector<DirectoryChange> changes;
  Record& record = found->second;
  const Announcement before = record.announcement;
  record.announcement.draining |= announcement.draining;
  if (announcement.sequence > record.content_sequence) {
    record.content_sequence = announcement.sequence;
    UpdateContent(announcement, record.announcement);
  }
  Refresh(record, announcement.sequence, announcement.load, now, changes);
  if (!record.gone && record.announcement != before) {
    changes.emplace_back(UpstreamChanged{record.announcement});
  }
  return changes;
}

std::vector<DirectoryChange> UpstreamDirectory::ApplyBeat(
    const protocol::UpstreamBeat& beat, TimePoint now) {
  std::vector<DirectoryChange> changes;
  const auto found = records_.find(beat.instance);
  if (found != records_.end() &&
      Refresh(found->second, beat.sequence, beat.load, now, changes)) {
    changes.emplace_back(UpstreamChanged{found->second.announcement});
  }
  return changes;
}

/// If the last tick is more than half the expiry ago, this process is assumed
/// to have been frozen, and that time is not counted as silence of the
/// upstreams.
void UpstreamDirectory::CompensateForPause(TimePoint now) {
  const TimePoint before = std::exchange(last_tick_, now).value_or(now);
  const Duration since_last_tick = now - before;
  if (since_last_tick <= options_.expiry / 2) {
    return;
  }
  for (auto& [instance, record] : records_) {
    record.last_heard = std::min(record.last_heard + since_last_tick, now);
  }
}

std::vector<DirectoryChange> UpstreamDirectory::Tick(TimePoint now) {
  CompensateForPause(now);
  std::vector<DirectoryChange> changes;
  for (auto it = records_.begin(); it != records_.end();) {
    Record& record = it->second;
    if (!record.gone && now - record.last_heard > options_.expiry) {
      record.gone = true;
      changes.emplace_back(UpstreamGone{it->first, GoneReason::kExpired});
    }
    const bool forget =
        record.gone && now - record.last_heard > options_.gone_retention;
    it = forget ? records_.erase(it) : std::next(it);
  }
  return changes;
}

const Announcement* UpstreamDirectory::Find(const UpstreamId& upstream) const {
  const auto found = records_.find(upstream);
  if (found == records_.end() || found->second.gone) {
    return nullptr;
  }
  return &found->second.announcement;
}

std::vector<Announcement> UpstreamDirectory::Upstreams() const {
  std::vector<Announcement> upstreams;
  for (const auto& [id, record] : records_) {
    if (!record.gone) {
      upstreams.push_back(record.announcement);
    }
  }
  return upstreams;
}

std::vector<Announcement> UpstreamDirectory::GossipAnnouncements() const {
  std::vector<Announcement> contents;
  for (const auto& [id, record] : records_) {
    if (!record.gone) {
      contents.push_back(record.announcement);
      contents.back().sequence = record.content_sequence;
    }
  }
  return contents;
}

std::vector<DirectoryChange> UpstreamDirectory::Add(
    const Announcement& announcement, TimePoint now) {
  std::vector<DirectoryChange> changes;
  if (records_.size() >= options_.max_instances) {
    return changes;
  }
  const auto added =
      records_.emplace(announcement.instance,
                       Record{announcement, announcement.sequence, now, false});
  RemoveOthersOnEndpoint(added.first->second, changes);
  changes.emplace_back(UpstreamChanged{announcement});
  return changes;
}

/// Marks the other instances on the record's endpoint as gone.
void UpstreamDirectory::RemoveOthersOnEndpoint(
    const Record& record, std::vector<DirectoryChange>& changes) {
  const Announcement& kept = record.announcement;
  for (auto& [id, other] : records_) {
    if (!other.gone && id != kept.instance &&
        other.announcement.endpoint == kept.endpoint) {
      other.gone = true;
      changes.emplace_back(UpstreamGone{id, GoneReason::kReplaced});
    }
  }
}

/// Records a newer sequence and load, and makes a gone instance available
/// again. Returns false if the sequence is stale.
bool UpstreamDirectory::Refresh(Record& record, std::uint64_t sequence,
                                const LoadReport& load, TimePoint now,
                                std::vector<DirectoryChange>& changes) {
  if (sequence <= record.announcement.sequence) {
    return false;
  }
  record.announcement.sequence = sequence;
  record.announcement.load = load;
  record.last_heard = now;
  if (record.gone) {
    record.gone = false;
    RemoveOthersOnEndpoint(record, changes);
  }
  return true;
}

}  // namespace rattanward::membership
