#include "rattanward/membership/unnamed_records.h"

#include <algorithm>
#include <utility>

namespace rattanward::membership {

bool UnnamedRecords::Merge(const InstanceRecord& reported, TimePoint now) {
  const Key key(reported.id, reported.service);
  const auto found = records_.find(key);
  if (found == records_.end()) {
    MakeRoom();
    records_[key] = {reported, now};
    changed_.push_back(key);
    return true;
  }
  InstanceRecord& known = found->second.record;
  if (reported.stamp.born < known.stamp.born) {
    return false;
  }
  const bool same_start = reported.stamp.born == known.stamp.born;
  const InstanceRecord merged =
      same_start ? Combine(reported, known) : reported;
  found->second.at = now;
  const bool news = !HasSameContent(merged, known);
  known = merged;
  if (news) {
    changed_.push_back(key);
  }
  return news;
}

bool UnnamedRecords::MarkGone(const UpstreamId& id,
                              std::optional<std::uint64_t> born) {
  bool any = false;
  for (auto& [key, heard] : records_) {
    InstanceRecord& known = heard.record;
    if (key.first != id || (born && *born != known.stamp.born)) {
      continue;
    }
    any = true;
    if (known.state != InstanceState::kGone) {
      known.state = InstanceState::kGone;
      changed_.push_back(key);
    }
  }
  return any;
}

std::vector<UnnamedRecords::Heard> UnnamedRecords::TakeNamed(
    const NamedServices& named) {
  std::vector<Heard> taken;
  std::erase_if(records_, [&](const auto& item) {
    const bool is_named = named.Names(item.second.record.service);
    if (is_named) {
      taken.push_back(item.second);
    }
    return is_named;
  });
  return taken;
}

std::vector<InstanceRecord> UnnamedRecords::TakeChanges() {
  std::vector<InstanceRecord> records;
  for (const Key& key : std::exchange(changed_, {})) {
    const auto found = records_.find(key);
    if (found != records_.end()) {
      records.push_back(found->second.record);
    }
  }
  return records;
}

std::vector<InstanceRecord> UnnamedRecords::All() const {
  std::vector<InstanceRecord> records;
  records.reserve(records_.size());
  for (const auto& [key, heard] : records_) {
    records.push_back(heard.record);
  }
  return records;
}

std::vector<InstanceRecord> UnnamedRecords::Find(const UpstreamId& id) const {
  std::vector<InstanceRecord> records;
  for (const auto& [key, heard] : records_) {
    if (key.first == id) {
      records.push_back(heard.record);
    }
  }
  return records;
}

void UnnamedRecords::Forget(TimePoint heard_before) {
  std::erase_if(records_, [&](const auto& item) {
    return item.second.at < heard_before;
  });
}

void UnnamedRecords::MakeRoom() {
  if (records_.size() < kMaxRecords) {
    return;
  }
  records_.erase(std::min_element(
      records_.begin(), records_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

}  // namespace rattanward::membership
