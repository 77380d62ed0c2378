#include "rattanward/membership/planned_exits.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace rattanward::membership {
namespace {

bool IsGone(const InstanceRecord& record) {
  return record.state == InstanceState::kGone;
}

/// Latest start at each address, of the services that are named.
std::map<Endpoint, std::uint64_t> LatestStarts(
    const InstanceDirectory& directory) {
  std::map<Endpoint, std::uint64_t> latest;
  for (const InstanceRecord& record : directory.All()) {
    if (directory.Names(record)) {
      std::uint64_t& born = latest[record.endpoint];
      born = std::max(born, record.stamp.born);
    }
  }
  return latest;
}

}  // namespace

std::vector<InstanceStart> PlannedExits(
    const std::vector<InstanceRecord>& records,
    const InstanceDirectory& directory) {
  std::map<Endpoint, std::uint64_t> latest;
  if (std::any_of(records.begin(), records.end(), &IsGone)) {
    latest = LatestStarts(directory);
  }
  const auto is_replaced = [&latest](const InstanceRecord& record) {
    const auto found = latest.find(record.endpoint);
    return record.endpoint != Endpoint() && found != latest.end() &&
           found->second > record.stamp.born;
  };
  std::vector<InstanceStart> exits;
  for (const InstanceRecord& record : records) {
    const bool announced =
        record.leaving || record.state == InstanceState::kDraining ||
        (IsGone(record) && !record.replaced && !is_replaced(record));
    if (announced && directory.Counts(record)) {
      exits.push_back({record.id, record.stamp.born});
    }
  }
  return exits;
}

}  // namespace rattanward::membership
