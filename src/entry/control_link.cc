#include "rattanward/entry/control_link.h"

#include <utility>

#include "rattanward/adapter/config_text.h"

namespace rattanward::entry {
namespace {

constexpr auto kHeartbeatPeriod = std::chrono::milliseconds(300);
constexpr auto kCallTimeout = std::chrono::milliseconds(1000);

template <class T>
protocol::Envelope Wrap(protocol::MessageKind kind, const T& message) {
  protocol::Envelope envelope;
  envelope.kind = kind;
  envelope.body = protocol::Encode(message);
  return envelope;
}

}  // namespace

ControlLink::ControlLink(EntryCore& core,
                         const adapter::EntrySettings& settings,
                         const std::string& secret, port::EventSink events)
    : core_(core), timers_(core.context()) {
  status_.process = settings.identity.process;
  status_.vm = settings.identity.vm;
  status_.failure_domain = settings.identity.failure_domain;
  adapter::TransportOptions options;
  options.self = settings.identity.process;
  options.secret = secret;
  options.events = std::move(events);
  for (const Endpoint& endpoint : settings.control_endpoints) {
    peers_.push_back(std::make_unique<adapter::PeerClient>(
        core.context(), options, endpoint,
        [this](const protocol::Envelope& push) { TakePush(push); }));
  }
}

void ControlLink::Start() {
  for (const auto& peer : peers_) {
    peer->Start();
  }
  timers_.Every(kHeartbeatPeriod, [this](TimePoint) { Heartbeat(); });
}

void ControlLink::Heartbeat() {
  ++status_.heartbeat;
  status_.in_force = core_.Status().version;
  for (const auto& peer : peers_) {
    peer->Call(Wrap(protocol::MessageKind::kEntryStatus, status_), kCallTimeout,
               [this, &peer](const Result<protocol::Envelope>& answer) {
                 if (answer) {
                   TakeStatus(*peer, answer.value());
                 }
               });
  }
}

void ControlLink::TakeStatus(adapter::PeerClient& peer,
                             const protocol::Envelope& answer) {
  const auto status = protocol::Decode<protocol::ControlStatus>(answer.body);
  if (!status || status.value().committed <= core_.Status().version) {
    return;
  }
  peer.Call(Wrap(protocol::MessageKind::kConfigFetch,
                 protocol::ConfigFetch{core_.Status().version}),
            kCallTimeout, [this](const Result<protocol::Envelope>& push) {
              if (push) {
                TakePush(push.value());
              }
            });
}

void ControlLink::TakePush(const protocol::Envelope& envelope) {
  if (envelope.kind != protocol::MessageKind::kConfigPush) {
    return;
  }
  const auto push = protocol::Decode<protocol::ConfigPush>(envelope.body);
  if (!push || push.value().version <= core_.Status().version) {
    return;
  }
  const auto config = adapter::ParseConfigText(push.value().text, "pushed");
  if (config) {
    core_.SetConfig(push.value().version, config.value());
  }
}

}  // namespace rattanward::entry
