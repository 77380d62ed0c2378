#include "rattanward/policy/relay_choice.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Time for which an entry that can't serve a request is left out.
constexpr Duration kAvoidance{std::chrono::seconds(1)};
/// Entries of other failure domains are told by turns in large fleets.
constexpr Duration kPeerRetention{std::chrono::seconds(20)};

}  // namespace

void RelayChoice::AddPeers(const std::set<Endpoint>& nearby,
                           const std::set<Endpoint>& remote, TimePoint now) {
  for (const Endpoint& endpoint : nearby) {
    peers_[endpoint].nearby = true;
    peers_[endpoint].told_at = now;
  }
  for (const Endpoint& endpoint : remote) {
    peers_[endpoint].nearby = false;
    peers_[endpoint].told_at = now;
  }
  std::erase_if(peers_, [now](const auto& item) {
    return item.second.in_flight == 0 &&
           now - item.second.told_at > kPeerRetention;
  });
}

bool RelayChoice::MayServe(const Peer& peer, const ServiceName& service,
                           TimePoint now) const {
  const auto unable = peer.unable_until.find(service);
  return now >= peer.avoid_until &&
         (unable == peer.unable_until.end() || now >= unable->second);
}

std::optional<Endpoint> RelayChoice::Choose(const ServiceName& service,
                                            const std::set<Endpoint>& tried,
                                            TimePoint now) {
  const bool prefer_nearby =
      std::none_of(tried.begin(), tried.end(), [this](const Endpoint& one) {
        const auto found = peers_.find(one);
        return found != peers_.end() && found->second.nearby;
      });
  ++draws_;
  using Rank = std::tuple<bool, std::uint32_t, std::uint64_t>;
  std::optional<Rank> best_rank;
  std::optional<Endpoint> best;
  for (const auto& [endpoint, peer] : peers_) {
    if (!MayServe(peer, service, now) || tried.count(endpoint) > 0) {
      continue;
    }
    const Rank rank{peer.nearby != prefer_nearby, peer.in_flight,
                    RendezvousWeight(draws_, StableHash(ToString(endpoint)))};
    if (!best_rank || rank < *best_rank) {
      best_rank = rank;
      best = endpoint;
    }
  }
  return best;
}

void RelayChoice::RecordUnable(const Endpoint& peer, const ServiceName& service,
                               TimePoint now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.unable_until[service] = now + kAvoidance;
  }
}

void RelayChoice::RecordUnreachable(const Endpoint& peer, TimePoint now) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    found->second.avoid_until = now + kAvoidance;
  }
}

void RelayChoice::RecordSent(const Endpoint& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    ++found->second.in_flight;
  }
}

void RelayChoice::RecordEnded(const Endpoint& peer) {
  const auto found = peers_.find(peer);
  if (found != peers_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

}  // namespace rattanward::policy
