#include "rattanward/control/entry_hub.h"

#include <type_traits>
#include <variant>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

/// An entry silent for this long is forgotten, if its domain lives on.
constexpr Duration kForgetAfter{std::chrono::hours(1)};

/// Commands that an entry may propose; operators' commands need their token.
bool EntryMayPropose(const ledger::Command& command) {
  return std::visit(
      [](const auto& one) {
        using T = std::decay_t<decltype(one)>;
        return std::is_same_v<T, ledger::ClaimBegin> ||
               std::is_same_v<T, ledger::ClaimRelease> ||
               std::is_same_v<T, ledger::ClaimFinish> ||
               std::is_same_v<T, ledger::ClaimsAbandon> ||
               std::is_same_v<T, ledger::QuarantineChange> ||
               std::is_same_v<T, ledger::FencingTake>;
      },
      command);
}

}  // namespace

EntryHub::EntryHub(Replica& replica, port::EventSink events,
                   std::function<void(const protocol::EntryStatus&)> relay)
    : replica_(replica), events_(std::move(events)), relay_(std::move(relay)) {
  LedgerChanged();
}

void EntryHub::Take(const adapter::InboundMessage& message,
                    const adapter::ReplyHandle& reply) {
  switch (message.envelope.kind) {
    case protocol::MessageKind::kEntryStatus:
      TakeStatus(message, reply);
      break;
    case protocol::MessageKind::kConfigFetch:
      TakeFetch(message.envelope, reply);
      break;
    case protocol::MessageKind::kPropose:
      TakePropose(message.envelope, reply);
      break;
    default:
      break;
  }
}

void EntryHub::TakeStatus(const adapter::InboundMessage& message,
                          const adapter::ReplyHandle& reply) {
  const auto status =
      protocol::Decode<protocol::EntryStatus>(message.envelope.body);
  if (!status) {
    return;
  }
  NoteLive(status.value());
  if (message.from != status.value().process) {
    return;  // Relayed by a follower, which has answered.
  }
  reply.Reply(protocol::MessageKind::kControlStatus,
              protocol::Encode(StatusNow(status.value().heartbeat)));
  Connected& connected = connected_[message.from];
  if (!connected.handle.connected() ||
      status.value().in_force < connected.pushed) {
    // A new connection, or a restarted entry: it may have lost what was sent.
    connected.pushed = status.value().in_force;
    connected.state_revision = 0;
  }
  connected.handle = reply;
  PushTo(connected);
}

void EntryHub::NoteLive(const protocol::EntryStatus& status) {
  if (!replica_.HoldsLease()) {
    relay_(status);
    return;
  }
  const auto& entries = replica_.ledger().entries();
  const auto known = entries.find(status.process);
  const ledger::EntryRecord record{status.process, status.vm,
                                   status.failure_domain};
  if (known != entries.end() && known->second == record) {
    tracker_.Heard(status, MonotonicNow());
    return;
  }
  if (registering_.insert(status.process).second) {
    replica_.Propose(
        ledger::EntryRegister{status.process, status.vm, status.failure_domain},
        [this, process = status.process](const Result<ledger::Outcome>&) {
          registering_.erase(process);
        });
  }
}

protocol::ControlStatus EntryHub::StatusNow(std::uint64_t heartbeat) const {
  protocol::ControlStatus status;
  status.leader = replica_.HoldsLease();
  status.term = replica_.node().term();
  status.leader_endpoint = LeaderEndpoint();
  status.committed = replica_.ledger().config_version();
  status.heartbeat = heartbeat;
  return status;
}

std::string EntryHub::LeaderEndpoint() const {
  const auto endpoint = replica_.node().leader_endpoint();
  return endpoint ? ToString(*endpoint) : std::string();
}

void EntryHub::TakeFetch(const protocol::Envelope& envelope,
                         const adapter::ReplyHandle& reply) {
  const auto fetch = protocol::Decode<protocol::ConfigFetch>(envelope.body);
  if (!fetch) {
    return;
  }
  protocol::ConfigPush push;
  const auto& configs = replica_.ledger().configs();
  if (!configs.empty() && configs.back().version > fetch.value().known) {
    push = {configs.back().version, configs.back().text};
  }
  reply.Reply(protocol::MessageKind::kConfigPush, protocol::Encode(push));
}

void EntryHub::TakePropose(const protocol::Envelope& envelope,
                           const adapter::ReplyHandle& reply) {
  const auto answer = [this, reply](const Result<ledger::Outcome>& outcome) {
    protocol::ProposeAnswer message;
    if (outcome) {
      message.outcome = ledger::Encode(outcome.value());
    } else {
      message.error = static_cast<int>(outcome.error().code);
      message.message = outcome.error().message;
      message.leader_endpoint = LeaderEndpoint();
    }
    reply.Reply(protocol::MessageKind::kProposeAnswer,
                protocol::Encode(message));
  };
  const auto propose = protocol::Decode<protocol::Propose>(envelope.body);
  if (!propose) {
    answer(propose.error());
    return;
  }
  const auto command = ledger::DecodeCommand(propose.value().command);
  if (!command) {
    answer(command.error());
    return;
  }
  if (!EntryMayPropose(command.value())) {
    answer(MakeError(ErrorCode::kOperatorTokenRequired,
                     "an entry may not propose this command"));
    return;
  }
  replica_.Propose(command.value(), answer);
}

void EntryHub::PushTo(Connected& connected) {
  const auto& configs = replica_.ledger().configs();
  if (!configs.empty() && configs.back().version > connected.pushed) {
    connected.handle.Push(protocol::MessageKind::kConfigPush,
                          protocol::Encode(protocol::ConfigPush{
                              configs.back().version, configs.back().text}));
    connected.pushed = configs.back().version;
  }
  if (connected.state_revision < state_revision_) {
    protocol::OperatorState state;
    state.revision = replica_.applied();
    state.drained.assign(drained_.begin(), drained_.end());
    state.quarantined.assign(quarantined_.begin(), quarantined_.end());
    connected.handle.Push(protocol::MessageKind::kOperatorState,
                          protocol::Encode(state));
    connected.state_revision = state_revision_;
  }
}

void EntryHub::LedgerChanged() {
  const TimePoint now = MonotonicNow();
  const bool leads = replica_.node().role() == consensus::Role::kLeader;
  tracker_.SetEntries(replica_.ledger().entries(), now);
  if (leads && !led_) {
    tracker_.Reset(now);
  }
  led_ = leads;
  if (drained_ != replica_.ledger().drained() ||
      quarantined_ != replica_.ledger().quarantined()) {
    drained_ = replica_.ledger().drained();
    quarantined_ = replica_.ledger().quarantined();
    ++state_revision_;
  }
  std::erase_if(connected_,
                [](const auto& c) { return !c.second.handle.connected(); });
  for (auto& [process, connected] : connected_) {
    PushTo(connected);
  }
}

void EntryHub::Tick() {
  if (!replica_.HoldsLease()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  for (const ProcessId& process : tracker_.SilentFor(kForgetAfter, now)) {
    const auto record = replica_.ledger().entries().find(process);
    if (record == replica_.ledger().entries().end()) {
      continue;
    }
    for (const ledger::DomainInForce& domain :
         tracker_.Report(ConfigVersion{}, now).domains) {
      if (domain.failure_domain == record->second.failure_domain &&
          !domain.pending && registering_.insert(process).second) {
        const CommandId id("forget-" + process.str() + "-" +
                           std::to_string(replica_.applied()));
        replica_.Propose(ledger::EntryForget{id, process, VmName()},
                         [this, process](const Result<ledger::Outcome>&) {
                           registering_.erase(process);
                         });
      }
    }
  }
}

ledger::InForceReport EntryHub::InForce(ConfigVersion version) const {
  return tracker_.Report(version, MonotonicNow());
}

}  // namespace rattanward::control
