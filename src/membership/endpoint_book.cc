#include "rattanward/membership/endpoint_book.h"

#include <algorithm>

namespace rattanward::membership {

EndpointBook::Outcome EndpointBook::Name(
    const Endpoint& endpoint, TimePoint now,
    const std::function<bool(const Endpoint&)>& connected) {
  const auto found = known_.find(endpoint);
  if (found != known_.end()) {
    found->second.named_at = now;
    return {};
  }
  Outcome outcome;
  if (known_.size() >= most_) {
    auto longest = known_.end();
    for (auto it = known_.begin(); it != known_.end(); ++it) {
      const bool droppable =
          !connected(it->first) &&
          MayDrop(it->first, it->second, IsSeed(endpoint), now);
      if (droppable && (longest == known_.end() ||
                        it->second.heard_at < longest->second.heard_at)) {
        longest = it;
      }
    }
    if (longest == known_.end()) {
      return outcome;
    }
    outcome.dropped = longest->first;
    known_.erase(longest);
  }
  known_[endpoint] = {now, now};
  outcome.added = true;
  return outcome;
}

void EndpointBook::RecordHeard(const Endpoint& endpoint, TimePoint now) {
  const auto found = known_.find(endpoint);
  if (found != known_.end()) {
    found->second.heard_at = now;
  }
}

bool EndpointBook::IsSeed(const Endpoint& endpoint) const {
  return std::find(seeds_.begin(), seeds_.end(), endpoint) != seeds_.end();
}

bool EndpointBook::MayDrop(const Endpoint& endpoint, const Known& known,
                           bool for_seed, TimePoint now) const {
  if (IsSeed(endpoint) && !for_seed) {
    return false;
  }
  return now - known.named_at > kNamedFor ||
         now - known.heard_at > kSilentAfter;
}

}  // namespace rattanward::membership
