#include <string>
#include <utility>

#include "rattanward/proxy/proxy.h"
#include "rattanward/proxy/reach_question.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Connections that this entry may hold to another one.
constexpr std::uint32_t kMaxPeerConnections = 256;
/// Entries that a request is relayed to, at most.
constexpr std::size_t kMaxRelays = 6;
/// Upstreams that a request doesn't reach before it is relayed.
constexpr std::uint32_t kUnreachableBeforeRelay = 2;

UpstreamId PoolKey(const Endpoint& peer) { return UpstreamId(ToString(peer)); }

}  // namespace

void Proxy::AddRelayPeers(const std::set<Endpoint>& nearby,
                          const std::set<Endpoint>& remote) {
  relays_.AddPeers(nearby, remote, MonotonicNow());
}

/// Relays a request that this entry can't send to an upstream.
/// @return Whether the request was relayed or refused.
bool Proxy::TryRelay(const std::shared_ptr<Exchange>& exchange) {
  const TimePoint now = MonotonicNow();
  const ServiceName& service = exchange->placement().service;
  const bool unreached =
      exchange->unreachable_count() >= kUnreachableBeforeRelay;
  if (!unreached && !placer_.ShouldRelay(service, now)) {
    return false;
  }
  if (exchange->routed().relayed) {
    if (placer_.HasPath(service)) {
      return false;
    }
    exchange->Refuse(MakeError(ErrorCode::kNoPath,
                               "this entry has no path to an upstream either"));
    return true;
  }
  const std::optional<Endpoint> peer = ChoosePeer(*exchange, now);
  if (peer) {
    return exchange->RelayTo(*peer);
  }
  const TimePoint arrived = exchange->placement().arrived;
  const bool half_over = now - arrived >= (exchange->deadline() - arrived) / 2;
  if (half_over && !placer_.HasPath(service)) {
    exchange->Refuse(MakeError(ErrorCode::kNoPath,
                               "no path to an upstream, nor to an entry that "
                               "has one"));
    return true;
  }
  return false;
}

std::optional<Endpoint> Proxy::ChoosePeer(const Exchange& exchange,
                                          TimePoint now) {
  const std::set<Endpoint>& tried = exchange.relays_tried();
  return tried.size() < kMaxRelays
             ? relays_.Choose(exchange.placement().service, tried, now)
             : std::nullopt;
}

std::shared_ptr<http::ClientConnection> Proxy::ConnectToPeer(
    const Endpoint& peer) {
  auto connection = relay_pool_.Acquire(PoolKey(peer), peer,
                                        kMaxPeerConnections, MonotonicNow());
  if (connection) {
    relays_.RecordSent(peer);
  }
  return connection;
}

void Proxy::ReleasePeer(const Endpoint& peer,
                        std::shared_ptr<http::ClientConnection> connection) {
  relays_.RecordEnded(peer);
  relay_pool_.Release(PoolKey(peer), std::move(connection), MonotonicNow());
}

void Proxy::OnPeerUnable(const Exchange& exchange) {
  relays_.RecordUnable(*exchange.relay_peer(), exchange.placement().service,
                       MonotonicNow());
}

void Proxy::OnPeerUnreachable(const Exchange& exchange) {
  relays_.RecordUnreachable(*exchange.relay_peer(), MonotonicNow());
}

void Proxy::OnRelayRequest(const std::shared_ptr<http::ServerConnection>& peer,
                           http::ServerRequest request) {
  std::optional<RelayedRequest> relayed =
      TakeRelayedRequest(&request.head.fields);
  if (relayed) {
    AcceptRequest(peer, std::move(request), std::move(relayed));
    return;
  }
  const auto upstream = ParseReachQuestion(request.head);
  if (upstream) {
    AnswerReachQuestion(peer, *upstream);
    return;
  }
  RespondError(*peer,
               MakeError(ErrorCode::kUnknownPath, "not a relayed request"));
}

}  // namespace rattanward::proxy
