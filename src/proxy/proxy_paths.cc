#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/http/reachability.h"
#include "rattanward/proxy/proxy.h"
#include "rattanward/proxy/reach_question.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using membership::InstanceState;

constexpr Duration kProbeTimeout{std::chrono::milliseconds(300)};
/// Silences that are usual: an engine may be reading a long prompt.
constexpr Duration kUsualEngineSilence{std::chrono::milliseconds(700)};
constexpr Duration kUsualServiceSilence{std::chrono::milliseconds(400)};
/// Time in which a sample shows whether other paths are lost, too.
constexpr Duration kSampleTime{std::chrono::milliseconds(500)};
/// The entry that is asked needs kProbeTimeout and kSampleTime at most.
constexpr Duration kReachTimeout{std::chrono::milliseconds(1100)};
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

void Proxy::ProbePaths(TimePoint now) {
  std::vector<UpstreamId> known;
  for (const membership::InstanceRecord& record : directory_.All()) {
    if (record.state == InstanceState::kReady) {
      known.push_back(record.id);
    }
  }
  for (const UpstreamId& id :
       paths_.TakeDueProbes(WaitingUpstreams(), known, now)) {
    const membership::InstanceRecord* record = directory_.Find(id);
    if (record == nullptr || record->state != InstanceState::kReady) {
      paths_.Forget(id);
      continue;
    }
    http::CheckReachable(io_, record->endpoint, kProbeTimeout,
                         [this, id, born = record->stamp.born](bool reached) {
                           OnProbed(id, born, reached);
                         });
  }
}

std::vector<policy::WaitingUpstream> Proxy::WaitingUpstreams() const {
  std::map<UpstreamId, policy::WaitingUpstream> waiting;
  for (const std::shared_ptr<Exchange>& exchange : exchanges_) {
    if (!exchange->sent_to_upstream()) {
      continue;
    }
    policy::WaitingUpstream& one = waiting[exchange->upstream()];
    one.id = exchange->upstream();
    one.silent_since = std::max(one.silent_since, exchange->last_byte_at());
    one.usual_silence = placer_.HasEngines(exchange->placement().service)
                            ? kUsualEngineSilence
                            : kUsualServiceSilence;
  }
  std::vector<policy::WaitingUpstream> all;
  all.reserve(waiting.size());
  for (const auto& [id, one] : waiting) {
    all.push_back(one);
  }
  return all;
}

void Proxy::OnProbed(const UpstreamId& id, std::uint64_t born, bool reached) {
  if (StartOf(id) != born) {
    paths_.Forget(id);
  } else if (reached) {
    MarkPathReached(id);
  } else {
    MarkPathLost(id);
  }
}

void Proxy::MarkPathReached(const UpstreamId& id) {
  if (!paths_.RecordReached(id, MonotonicNow())) {
    return;
  }
  placer_.SetPathLost(id, false);
  hooks_.events({EventId::kPathRestored,
                 {{"upstream", id.str()},
                  {"lost_paths", std::to_string(paths_.lost())}}});
  ScheduleDrain();
}

void Proxy::MarkPathLost(const UpstreamId& id) {
  const TimePoint now = MonotonicNow();
  const bool newly_lost = paths_.RecordLost(id, now);
  placer_.RecordFailure(id, true, now);
  placer_.SetPathLost(id, true);
  pool_.CloseAllIdle(id);
  if (newly_lost) {
    hooks_.events({EventId::kPathLost,
                   {{"upstream", id.str()},
                    {"lost_paths", std::to_string(paths_.lost())}}});
    ProbePaths(now);
  }
  ScheduleDrain();
}

/// Requests that may be sent again don't wait for a path that is lost.
void Proxy::AbandonSilent(TimePoint now) {
  if (paths_.lost() == 0) {
    return;
  }
  const auto exchanges = exchanges_;
  for (const std::shared_ptr<Exchange>& exchange : exchanges) {
    if (exchange->MayAbandonSilent(now) &&
        paths_.IsLost(exchange->upstream())) {
      exchange->OnPathLost();
    }
  }
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
  const std::set<Endpoint>& tried = exchange->relays_tried();
  const std::optional<Endpoint> peer = tried.size() < kMaxRelays
                                           ? relays_.Choose(service, tried, now)
                                           : std::nullopt;
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

std::shared_ptr<http::ClientConnection> Proxy::ConnectToPeer(
    const Endpoint& peer) {
  const auto connection = relay_pool_.Acquire(
      PoolKey(peer), peer, kMaxPeerConnections, MonotonicNow());
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

void Proxy::AnswerReachQuestion(
    const std::shared_ptr<http::ServerConnection>& peer,
    const membership::LeavingInstance& upstream) {
  const auto answer = [peer](Reach reach) {
    http::ResponseHead head;
    head.status = ReachStatus(reach);
    peer->Respond(std::move(head), "");
  };
  const membership::InstanceRecord* record = directory_.Find(upstream.id);
  if (record == nullptr || record->stamp.born != upstream.born) {
    answer(Reach::kNotReached);
    return;
  }
  http::CheckReachable(
      io_, record->endpoint, kProbeTimeout,
      [this, upstream, answer](bool reached) {
        OnProbed(upstream.id, upstream.born, reached);
        if (reached) {
          answer(Reach::kReached);
          return;
        }
        timers_.After(kSampleTime, [this, answer](TimePoint) {
          answer(HasLostMost() ? Reach::kUnknown : Reach::kNotReached);
        });
      });
}

/// Whether this entry may be cut off, so that an upstream that it doesn't reach
/// need not be down.
bool Proxy::HasLostMost() const {
  return paths_.sampling() || 2 * paths_.lost() >= directory_.size();
}

/// Only this entry's path may be lost. Another entry that reaches the upstream
/// shows that it didn't crash; if no other one answers, nothing is shown.
void Proxy::ConfirmCrash(const CrashEvidence& evidence, int questions_left) {
  const protocol::CrashWitness& witness = evidence.witness;
  const membership::InstanceRecord* record = directory_.Find(witness.upstream);
  if (record == nullptr || record->stamp.born != witness.born ||
      relays_.empty()) {
    RecordCrash(evidence);
    return;
  }
  const std::optional<Endpoint> peer =
      relays_.Choose(record->service, {}, MonotonicNow());
  if (!peer || questions_left == 0) {
    return;
  }
  AskReach(io_, *peer, {witness.upstream, witness.born}, kReachTimeout,
           [this, evidence, peer, questions_left](Reach reach) {
             if (reach == Reach::kNotReached) {
               RecordCrash(evidence);
             } else if (reach == Reach::kUnknown) {
               relays_.RecordUnreachable(*peer, MonotonicNow());
               ConfirmCrash(evidence, questions_left - 1);
             }
           });
}

}  // namespace rattanward::proxy
