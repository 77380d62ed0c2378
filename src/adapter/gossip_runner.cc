#include "rattanward/adapter/gossip_runner.h"

#include <utility>
#include <variant>

#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using membership::NewerConfigSeen;
using protocol::Encode;
using protocol::Envelope;
using protocol::MessageKind;

constexpr Duration kFetchTimeout{std::chrono::seconds(2)};

Envelope MakeEnvelope(MessageKind kind, std::string body) {
  return {protocol::kProtocolVersion, kind, 0, std::move(body)};
}

}  // namespace

GossipRunner::GossipRunner(asio::io_context& io, GossipRunnerOptions options,
                           SharedConfigGate& gate, GossipHandlers handlers)
    : io_(io),
      options_(std::move(options)),
      gate_(gate),
      handlers_(std::move(handlers)),
      gossip_(options_.gossip),
      timers_(io) {}

void GossipRunner::Start() {
  for (const Endpoint& endpoint : options_.peers) {
    const std::size_t index = clients_.size();
    clients_.push_back(std::make_unique<PeerClient>(
        io_, options_.transport, endpoint, PeerClient::PushHandler(),
        [this, index, alive = std::weak_ptr(alive_)](const ProcessId& peer) {
          if (!alive.expired()) {
            connected_[peer] = clients_[index].get();
            gossip_.AddPeer(peer);
          }
        }));
    clients_.back()->Start();
  }
  timers_.Every(options_.round, [this](TimePoint now) { Round(now); });
  timers_.Every(options_.probe, [this](TimePoint now) { Probe(now); });
}

void GossipRunner::Stop() {
  timers_.Stop();
  for (const auto& client : clients_) {
    client->Stop();
  }
}

void GossipRunner::CallPeer(const ProcessId& peer, Envelope envelope,
                            Duration timeout,
                            PeerClient::CallCallback callback) {
  const auto it = connected_.find(peer);
  if (it == connected_.end()) {
    callback(MakeError(ErrorCode::kDisconnected, peer.str() + " is not there"));
    return;
  }
  it->second->Call(std::move(envelope), timeout, std::move(callback));
}

bool GossipRunner::Take(const InboundMessage& message,
                        const ReplyHandle& reply) {
  const Envelope& envelope = message.envelope;
  if (envelope.kind == MessageKind::kGossip) {
    const auto gossip =
        protocol::Decode<protocol::GossipMessage>(envelope.body);
    if (gossip) {
      TakeEvents(gossip_.Receive(gossip.value(), timers_.Now()));
    }
    return true;
  }
  if (envelope.kind == MessageKind::kPeerProbe) {
    const auto probe = protocol::Decode<protocol::PeerProbe>(envelope.body);
    if (probe) {
      const auto answer = gate_.With(
          [&](const auto& gate) { return gate.Answer(probe.value()); });
      reply.Reply(MessageKind::kPeerProbeAnswer, Encode(answer));
    }
    return true;
  }
  if (envelope.kind == MessageKind::kConfigFetch) {
    reply.Reply(MessageKind::kConfigPush, Encode(handlers_.config()));
    return true;
  }
  return false;
}

void GossipRunner::Announce(const Announcement& announcement) {
  TakeEvents(gossip_.Announce(announcement, timers_.Now()));
}

void GossipRunner::AddSuspicion(const policy::Suspicion& suspicion) {
  gossip_.AddSuspicion(suspicion, timers_.Now());
}

void GossipRunner::Round(TimePoint now) {
  gossip_.SetInForce(gate_.in_force());
  const membership::GossipRound round = gossip_.Tick(now);
  for (const membership::GossipPush& push : round.pushes) {
    const auto peer = connected_.find(push.to);
    if (peer != connected_.end()) {
      peer->second->Send(
          MakeEnvelope(MessageKind::kGossip, Encode(push.message)));
    }
  }
  TakeEvents(round.events);
}

/// Asks every peer which version it runs, while control is not heard.
void GossipRunner::Probe(TimePoint now) {
  std::uint64_t sequence = 0;
  gate_.With([&](membership::ConfigGate& gate) {
    if (gate.ShouldProbePeers(now)) {
      sequence = gate.NextProbe(now);
    }
  });
  if (sequence == 0) {
    return;
  }
  const std::string body = Encode(protocol::PeerProbe{sequence});
  for (const auto& [process, client] : connected_) {
    client->Call(
        MakeEnvelope(MessageKind::kPeerProbe, body), 4 * options_.probe,
        [this, process = process, peer = client,
         alive = std::weak_ptr(alive_)](const Result<Envelope>& answer) {
          if (!alive.expired()) {
            TakeProbeAnswer(*peer, process, answer);
          }
        });
  }
}

void GossipRunner::TakeProbeAnswer(PeerClient& peer, const ProcessId& process,
                                   const Result<Envelope>& answer) {
  if (!answer) {
    return;
  }
  const auto decoded =
      protocol::Decode<protocol::PeerProbeAnswer>(answer.value().body);
  if (!decoded) {
    return;
  }
  const ConfigVersion in_force = gate_.With([&](membership::ConfigGate& gate) {
    gate.HandleProbeAnswer(process, decoded.value(), timers_.Now());
    return gate.in_force();
  });
  if (decoded.value().in_force > in_force) {
    Fetch(peer);
  }
}

void GossipRunner::Fetch(PeerClient& peer) {
  if (fetching_) {
    return;
  }
  fetching_ = true;
  peer.Call(
      MakeEnvelope(MessageKind::kConfigFetch,
                   Encode(protocol::ConfigFetch{gate_.in_force()})),
      kFetchTimeout,
      [this, alive = std::weak_ptr(alive_)](const Result<Envelope>& answer) {
        if (!alive.expired()) {
          TakeConfig(answer);
        }
      });
}

void GossipRunner::TakeConfig(const Result<Envelope>& answer) {
  fetching_ = false;
  if (!answer) {
    return;
  }
  const auto push = protocol::Decode<protocol::ConfigPush>(answer.value().body);
  if (push && push.value().version > gate_.in_force()) {
    handlers_.on_config(push.value());
  }
}

void GossipRunner::TakeEvents(
    const std::vector<membership::GossipEvent>& events) {
  for (const membership::GossipEvent& event : events) {
    if (const auto* newer = std::get_if<NewerConfigSeen>(&event)) {
      const auto peer = connected_.find(newer->peer);
      if (peer != connected_.end()) {
        Fetch(*peer->second);
      }
    }
    if (handlers_.on_event) {
      handlers_.on_event(event);
    }
  }
}

}  // namespace rattanward::adapter
