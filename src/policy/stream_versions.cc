#include "rattanward/policy/stream_versions.h"

#include <algorithm>
#include <utility>

namespace rattanward::policy {
namespace {

/// Time for which a stream may go on after its begin, with a margin.
constexpr Duration kStreamRetention = std::chrono::seconds(30);
/// Time after which no stream goes on at a version that no longer serves.
constexpr Duration kVersionRetention = std::chrono::seconds(20);
/// An entry that has just started may not know all versions yet.
constexpr Duration kWarmUp = std::chrono::seconds(3);
/// Largest number of streams kept. All are dropped when it is reached.
constexpr std::size_t kMaxStreams = 65536;
constexpr std::size_t kMaxTold = 256;

}  // namespace

void StreamVersions::Confirm(TimePoint as_of, Duration history) {
  history_since_ = std::min(history_since_, as_of - history);
  if (as_of > confirmed_at_) {
    confirmed_before_ = std::exchange(confirmed_at_, as_of);
  }
}

/// After a gap, the news that was missed follows the first confirmation. A
/// version that had left before the memory of control began may have streams.
bool StreamVersions::KnowsVersions(const Service& service,
                                   TimePoint now) const {
  return confirmed_before_ != TimePoint::min() &&
         now - confirmed_at_ < lease_ &&
         confirmed_at_ - confirmed_before_ < lease_ &&
         now - service.known_since >= kWarmUp &&
         now - history_since_ >= kVersionRetention;
}

void StreamVersions::SetServing(const ServiceName& name,
                                const ServingVersions& serving,
                                const std::set<std::string>& former,
                                TimePoint now) {
  const auto [found, first] = services_.try_emplace(name);
  Service& service = found->second;
  if (first) {
    service.known_since = now;
  }
  const auto oldest = std::min_element(
      serving.begin(), serving.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  for (const auto& [version, born] : serving) {
    const auto [known, added] = service.versions.try_emplace(version);
    if (added) {
      known->second.begins_from =
          first && version == oldest->first ? now : now + adoption_delay_;
      // Other entries may have heard of it right after the confirmation before
      // the last one, whose news this is.
      known->second.used_from =
          first ? now
                : std::max(confirmed_before_, TimePoint()) + adoption_delay_;
    }
    known->second.last_served = TimePoint::max();
  }
  for (const std::string& version : former) {
    service.versions.try_emplace(version, Presence{now, now, now});
  }
  for (auto& [version, presence] : service.versions) {
    if (serving.count(version) == 0) {
      presence.last_served = std::min(presence.last_served, now);
    }
  }
  std::erase_if(service.versions, [&](const auto& item) {
    return former.count(item.first) == 0 && IsPast(item.second, now);
  });
}

bool StreamVersions::IsPast(const Presence& presence, TimePoint now) {
  return presence.last_served != TimePoint::max() &&
         now - presence.last_served >= kVersionRetention;
}

const StreamVersions::Service* StreamVersions::Find(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::set<std::string> StreamVersions::MayBegin(const ServiceName& name,
                                               TimePoint now) const {
  const Service* service = Find(name);
  if (service == nullptr) {
    return {};
  }
  std::set<std::string> adopted;
  const std::string* earliest = nullptr;
  TimePoint earliest_from = TimePoint::max();
  for (const auto& [version, presence] : service->versions) {
    if (presence.last_served != TimePoint::max()) {
      continue;
    }
    if (presence.begins_from <= now) {
      adopted.insert(version);
    }
    if (presence.begins_from < earliest_from) {
      earliest = &version;
      earliest_from = presence.begins_from;
    }
  }
  if (adopted.empty() && earliest != nullptr) {
    adopted.insert(*earliest);
  }
  return adopted;
}

std::optional<std::string> StreamVersions::VersionOf(
    const ServiceName& name, std::optional<std::uint64_t> stream,
    TimePoint now) const {
  if (stream) {
    const auto known = streams_.find(*stream);
    if (known != streams_.end()) {
      return known->second.version;
    }
  }
  const Service* service = Find(name);
  if (service == nullptr || !KnowsVersions(*service, now)) {
    return std::nullopt;
  }
  const std::string* used = nullptr;
  for (const auto& [version, presence] : service->versions) {
    if (presence.used_from > now || IsPast(presence, now)) {
      continue;
    }
    if (used != nullptr) {
      return std::nullopt;
    }
    used = &version;
  }
  return used == nullptr ? std::nullopt : std::optional(*used);
}

bool StreamVersions::RecordBegun(const ServiceName& name,
                                 const StreamVersion& begun, TimePoint now) {
  RecordTold(begun, now);
  const Service* service = Find(name);
  if (service == nullptr ||
      (service->versions.size() < 2 && KnowsVersions(*service, now))) {
    return false;
  }
  untold_.push_back(begun);
  told_.emplace_back(now, begun);
  if (told_.size() > kMaxTold) {
    told_.pop_front();
  }
  return true;
}

void StreamVersions::RecordTold(const StreamVersion& told, TimePoint now) {
  if (streams_.size() >= kMaxStreams) {
    streams_.clear();
  }
  streams_[told.stream] = {told.version, now};
}

std::vector<StreamVersion> StreamVersions::TakeNew() {
  return std::exchange(untold_, {});
}

std::vector<StreamVersion> StreamVersions::ToldSince(TimePoint since) const {
  std::vector<StreamVersion> streams;
  for (auto it = told_.rbegin(); it != told_.rend() && it->first >= since;
       ++it) {
    streams.push_back(it->second);
  }
  return streams;
}

void StreamVersions::Expire(TimePoint now) {
  std::erase_if(streams_, [now](const auto& item) {
    return now - item.second.recorded_at >= kStreamRetention;
  });
}

}  // namespace rattanward::policy
