#include "rattanward/entry/cluster_link.h"

#include <algorithm>
#include <utility>

#include "rattanward/adapter/config_text.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::entry {
namespace {

using protocol::MessageKind;

/// Interval between polls of the dispatcher for portion requests to send.
constexpr auto kPortionPeriod = std::chrono::milliseconds(20);
/// Time allowed for the other entries to acknowledge a suspicion.
constexpr auto kSuspicionAckTimeout = std::chrono::milliseconds(50);
constexpr auto kPortionTimeout = std::chrono::milliseconds(500);

std::uint64_t WallMicroseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

adapter::TransportOptions MakeTransportOptions(
    const adapter::EntrySettings& settings, const std::string& secret,
    const std::shared_ptr<adapter::EventLog>& log) {
  adapter::TransportOptions options;
  options.self = settings.identity.process;
  options.secret = secret;
  options.events = adapter::MakeEventSink(log);
  options.clock = adapter::ClockOf(log);
  return options;
}

adapter::ControlClientOptions MakeControlOptions(
    const adapter::EntrySettings& settings, adapter::TransportOptions transport,
    std::uint64_t incarnation) {
  adapter::ControlClientOptions options;
  options.transport = std::move(transport);
  options.control = settings.control_endpoints;
  options.process = settings.identity.process;
  options.vm = settings.identity.vm;
  options.failure_domain = settings.identity.failure_domain;
  options.incarnation = incarnation;
  return options;
}

adapter::GossipRunnerOptions MakeGossipOptions(
    const adapter::EntrySettings& settings, adapter::TransportOptions transport,
    std::uint64_t incarnation) {
  adapter::GossipRunnerOptions options;
  options.transport = std::move(transport);
  options.gossip.self = settings.identity.process;
  options.gossip.failure_domain = settings.identity.failure_domain;
  options.gossip.incarnation = incarnation;
  options.gossip.seed = incarnation;
  for (const adapter::PeerEntry& peer : settings.peers) {
    options.peers.push_back(peer.endpoint);
    options.gossip.peers.push_back({peer.process, peer.failure_domain});
  }
  return options;
}

policy::EntryGroup MakeEntryGroup(const adapter::EntrySettings& settings,
                                  std::uint64_t incarnation) {
  policy::EntryGroup group;
  group.self = settings.identity.process;
  group.incarnation = incarnation;
  group.entries.push_back(group.self);
  for (const adapter::PeerEntry& peer : settings.peers) {
    group.entries.push_back(peer.process);
  }
  return group;
}

}  // namespace

membership::ConfigGateOptions GateOptions(
    const adapter::EntrySettings& settings) {
  membership::ConfigGateOptions options;
  options.failure_domain = settings.identity.failure_domain;
  for (const adapter::PeerEntry& peer : settings.peers) {
    if (peer.failure_domain == settings.identity.failure_domain) {
      ++options.domain_entries;
    }
  }
  return options;
}

ClusterLink::ClusterLink(EntryCore& core,
                         const adapter::EntrySettings& settings,
                         const std::string& secret,
                         const std::shared_ptr<adapter::EventLog>& log)
    : core_(core),
      events_(adapter::MakeEventSink(log)),
      listen_(settings.peer_listen),
      group_(MakeEntryGroup(settings, WallMicroseconds())),
      timers_(core.context()),
      control_(core.context(),
               MakeControlOptions(settings,
                                  MakeTransportOptions(settings, secret, log),
                                  group_.incarnation),
               core.gate(),
               {[this](const auto& push) { HandleConfig(push); },
                [this](const auto& state) { HandleOperatorState(state); }}),
      gossip_(core.context(),
              MakeGossipOptions(settings,
                                MakeTransportOptions(settings, secret, log),
                                group_.incarnation),
              core.gate(),
              {[this](const auto& event) { HandleGossipEvent(event); },
               [this](const auto& push) { HandleConfig(push); },
               [this] { return config_; }}),
      listener_(core.context(), MakeTransportOptions(settings, secret, log),
                [this](const auto& message, const auto& reply) {
                  HandleMessage(message, reply);
                }) {
  core_.SetDrainSink([this](const UpstreamId& upstream) { Drain(upstream); });
}

/// Announces an upstream that is leaving as draining, on its behalf.
void ClusterLink::Drain(const UpstreamId& upstream) {
  const auto known = upstreams_.find(upstream);
  if (known == upstreams_.end()) {
    return;
  }
  Announcement draining = known->second;
  draining.draining = true;
  Announce(draining);
}

Status ClusterLink::Start() {
  if (const Status listening = listener_.Listen(listen_); !listening) {
    return listening.error();
  }
  core_.set_suspicion_broadcaster([this](const auto& told, auto on_done) {
    BroadcastSuspicions(told, on_done);
  });
  core_.dispatcher().SetEntryGroup(group_, EntryCore::Now());
  control_.Start();
  gossip_.Start();
  timers_.Every(kPortionPeriod,
                [this](TimePoint now) { RequestPortions(now); });
  return outcome::success();
}

void ClusterLink::Stop() {
  timers_.Stop();
  gossip_.Stop();
  control_.Stop();
  listener_.Stop();
}

void ClusterLink::Announce(const Announcement& announcement) {
  gossip_.Announce(announcement);
}

void ClusterLink::HandleConfig(const protocol::ConfigPush& push) {
  if (push.version <= config_.version) {
    return;
  }
  const auto config = adapter::ParseConfigText(push.text, "configuration");
  if (!config) {
    events_(Event{EventId::kSettingsRejected,
                  {{"version", std::to_string(push.version.value)},
                   {"reason", config.error().message}}});
    return;
  }
  config_ = push;
  core_.SetConfig(push.version, config.value());
  gossip_.SetUpstreamExpiry(config.value().limits.upstream_expiry);
}

void ClusterLink::HandleOperatorState(const protocol::OperatorState& state) {
  if (state.revision < operator_state_.revision) {
    return;
  }
  const protocol::OperatorState before = std::exchange(operator_state_, state);
  const TimePoint now = EntryCore::Now();
  for (const std::uint64_t fingerprint : before.quarantined) {
    const auto& kept = state.quarantined;
    if (std::find(kept.begin(), kept.end(), fingerprint) == kept.end()) {
      core_.dispatcher().ReleaseSuspicion(fingerprint);
    }
  }
  for (const std::uint64_t fingerprint : state.quarantined) {
    core_.dispatcher().MergeSuspicion({fingerprint, {}, true}, now);
  }
  for (const auto& [instance, announcement] : upstreams_) {
    const auto contains = [&id = instance](const auto& list) {
      return std::find(list.begin(), list.end(), id) != list.end();
    };
    if (contains(before.drained) != contains(state.drained)) {
      ApplyUpstream(announcement);
    }
  }
}

void ClusterLink::HandleGossipEvent(const membership::GossipEvent& event) {
  if (const auto* changed = std::get_if<membership::UpstreamChanged>(&event)) {
    upstreams_[changed->announcement.instance] = changed->announcement;
    ApplyUpstream(changed->announcement);
  } else if (const auto* gone = std::get_if<membership::UpstreamGone>(&event)) {
    upstreams_.erase(gone->upstream);
    core_.UpstreamGone(gone->upstream);
  } else if (const auto* received =
                 std::get_if<membership::SuspicionReceived>(&event)) {
    core_.dispatcher().MergeSuspicion(received->suspicion, EntryCore::Now());
  } else if (const auto* found = std::get_if<membership::EntryFound>(&event)) {
    events_(Event{EventId::kEntryPeerFound,
                  {{"peer", found->entry.process.str()}}});
  } else if (const auto* lost = std::get_if<membership::EntryLost>(&event)) {
    events_(Event{EventId::kEntryPeerLost, {{"peer", lost->process.str()}}});
  }
}

void ClusterLink::ApplyUpstream(const Announcement& announcement) {
  Announcement effective = announcement;
  const auto& drained = operator_state_.drained;
  effective.draining =
      effective.draining || std::find(drained.begin(), drained.end(),
                                      effective.instance) != drained.end();
  core_.UpstreamChanged(effective);
}

void ClusterLink::HandleMessage(const adapter::InboundMessage& message,
                                const adapter::ReplyHandle& reply) {
  if (message.envelope.kind == MessageKind::kSuspicions) {
    const auto decoded =
        protocol::Decode<protocol::SuspicionsTold>(message.envelope.body);
    if (decoded) {
      for (const policy::Suspicion& suspicion : decoded.value().suspicions) {
        core_.dispatcher().MergeSuspicion(suspicion, EntryCore::Now());
      }
      for (const policy::PartSuspicion& part : decoded.value().parts) {
        core_.dispatcher().MergePartSuspicion(part, EntryCore::Now());
      }
      for (const UpstreamLimit& limit : decoded.value().limits) {
        core_.dispatcher().MergeLimit(limit, EntryCore::Now());
      }
      reply.Reply(MessageKind::kSuspicions, std::string());
    }
    return;
  }
  if (message.envelope.kind != MessageKind::kPortionRequest) {
    gossip_.Take(message, reply);
    return;
  }
  const auto request =
      protocol::Decode<policy::PortionRequest>(message.envelope.body);
  if (!request) {
    return;
  }
  const auto grant =
      core_.dispatcher().AnswerPortion(request.value(), EntryCore::Now());
  if (grant) {
    reply.Reply(MessageKind::kPortionGrant, protocol::Encode(*grant));
  }
}

void ClusterLink::BroadcastSuspicions(const protocol::SuspicionsTold& told,
                                      const std::function<void()>& on_done) {
  for (const policy::Suspicion& suspicion : told.suspicions) {
    gossip_.AddSuspicion(suspicion);
  }
  // The deleter calls on_done when the last copy is destroyed. Each pending
  // call to a peer holds a copy.
  const std::shared_ptr<void> completion(nullptr,
                                         [on_done](void*) { on_done(); });
  protocol::Envelope envelope;
  envelope.kind = MessageKind::kSuspicions;
  envelope.body = protocol::Encode(told);
  for (const ProcessId& peer : group_.entries) {
    if (peer != group_.self) {
      gossip_.CallPeer(peer, envelope, kSuspicionAckTimeout,
                       [completion](const Result<protocol::Envelope>&) {});
    }
  }
}

void ClusterLink::RequestPortions(TimePoint now) {
  for (const auto& due : core_.dispatcher().TakePortionRequests(now)) {
    protocol::Envelope envelope;
    envelope.kind = MessageKind::kPortionRequest;
    envelope.body = protocol::Encode(due.request);
    gossip_.CallPeer(
        due.home, std::move(envelope), kPortionTimeout,
        [this](const Result<protocol::Envelope>& answer) {
          if (!answer || answer.value().kind != MessageKind::kPortionGrant) {
            return;
          }
          const auto grant =
              protocol::Decode<policy::PortionGrant>(answer.value().body);
          if (grant) {
            core_.dispatcher().ApplyPortionGrant(grant.value());
          }
        });
  }
}

}  // namespace rattanward::entry
