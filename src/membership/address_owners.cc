#include "rattanward/membership/address_owners.h"

#include <algorithm>
#include <iterator>

namespace rattanward::membership {

AddressOwners::Starts& AddressOwners::StartsAt(const Endpoint& endpoint) {
  const auto found = starts_.find(endpoint);
  if (found != starts_.end()) {
    return found->second;
  }
  if (starts_.size() >= kMaxAddresses) {
    const auto newest = [](const Starts& starts) {
      return std::max_element(starts.begin(), starts.end(),
                              [](const auto& a, const auto& b) {
                                return a.second.recorded < b.second.recorded;
                              })
          ->second.recorded;
    };
    starts_.erase(std::min_element(starts_.begin(), starts_.end(),
                                   [&](const auto& a, const auto& b) {
                                     return newest(a.second) < newest(b.second);
                                   }));
  }
  return starts_[endpoint];
}

AddressOwners::Start& AddressOwners::StartOf(Starts& starts,
                                             const ServiceName& service) {
  if (starts.size() >= kMaxServices && starts.count(service) == 0) {
    starts.erase(std::min_element(
        starts.begin(), starts.end(), [](const auto& a, const auto& b) {
          return a.second.recorded < b.second.recorded;
        }));
  }
  return starts[service];
}

bool AddressOwners::Record(const Endpoint& endpoint, const AddressOwner& start,
                           TimePoint now) {
  Start& known = StartOf(StartsAt(endpoint), start.service);
  known.recorded = std::max(known.recorded, now);
  if (start.born <= known.born) {
    return false;
  }
  known.born = start.born;
  return true;
}

std::optional<AddressOwner> AddressOwners::Latest(
    const Endpoint& endpoint, const NamedServices& named) const {
  std::optional<AddressOwner> latest;
  const auto found = starts_.find(endpoint);
  if (found == starts_.end()) {
    return latest;
  }
  for (const auto& [service, start] : found->second) {
    if (named.Names(service) && (!latest || start.born > latest->born)) {
      latest = AddressOwner{service, start.born};
    }
  }
  return latest;
}

void AddressOwners::Forget(
    TimePoint recorded_before,
    const std::function<bool(const Endpoint&, const AddressOwner&)>& in_use) {
  for (auto at = starts_.begin(); at != starts_.end();) {
    std::erase_if(at->second, [&](const auto& item) {
      const AddressOwner owner{item.first, item.second.born};
      return item.second.recorded < recorded_before &&
             !in_use(at->first, owner);
    });
    at = at->second.empty() ? starts_.erase(at) : std::next(at);
  }
}

}  // namespace rattanward::membership
