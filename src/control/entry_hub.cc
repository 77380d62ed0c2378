#include "rattanward/control/entry_hub.h"

#include <algorithm>
#include <type_traits>
#include <variant>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

/// An entry whose last heartbeat is older is not shown as live.
constexpr Duration kLiveTimeout{std::chrono::seconds(2)};

/// Whether an entry may propose the command. Operator commands need the
/// operator token.
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
  OnLedgerChange();
}

void EntryHub::HandleMessage(const adapter::InboundMessage& message,
                             const adapter::ReplyHandle& reply) {
  switch (message.envelope.kind) {
    case protocol::MessageKind::kEntryStatus:
      HandleStatus(message, reply);
      break;
    case protocol::MessageKind::kConfigFetch:
      HandleConfigFetch(message.envelope, reply);
      break;
    case protocol::MessageKind::kPropose:
      HandlePropose(message.envelope, reply);
      break;
    default:
      break;
  }
}

void EntryHub::HandleStatus(const adapter::InboundMessage& message,
                            const adapter::ReplyHandle& reply) {
  const auto status =
      protocol::Decode<protocol::EntryStatus>(message.envelope.body);
  if (!status) {
    return;
  }
  HandleHeartbeat(status.value());
  if (message.from != status.value().process) {
    return;  // Relayed by a follower, which has already answered the entry.
  }
  reply.Reply(protocol::MessageKind::kControlStatus,
              protocol::Encode(CurrentStatus(status.value().heartbeat)));
  ConnectedEntry& connected = connected_[message.from];
  if (!connected.handle.connected() ||
      status.value().in_force < connected.pushed_version) {
    // A new connection or a restarted entry may have lost earlier pushes.
    connected.pushed_version = status.value().in_force;
    connected.state_revision = 0;
  }
  connected.handle = reply;
  PushUpdates(connected);
}

void EntryHub::HandleHeartbeat(const protocol::EntryStatus& status) {
  UpdateLeadership();
  if (!acceptance_rule_) {
    relay_(status);
    return;
  }
  const TimePoint now = MonotonicNow();
  if (acceptance_rule_->RecordHeartbeat(status, now)) {
    last_status_[status.process] = {status.in_force, now};
  }
  const auto& entries = replica_.ledger().entries();
  const auto known = entries.find(status.process);
  const ledger::EntryRecord record{status.process, status.vm,
                                   status.failure_domain};
  if (known != entries.end() && known->second == record) {
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

protocol::ControlStatus EntryHub::CurrentStatus(std::uint64_t heartbeat) const {
  protocol::ControlStatus status;
  status.leader = acceptance_rule_.has_value() && replica_.ConfirmedLeader();
  status.term = replica_.node().term();
  status.leader_endpoint = LeaderEndpoint();
  status.committed = replica_.ledger().config_version();
  status.heartbeat = heartbeat;
  status.accepted = accepted_;
  return status;
}

std::string EntryHub::LeaderEndpoint() const {
  const auto endpoint = replica_.leader_endpoint();
  return endpoint ? ToString(*endpoint) : std::string();
}

void EntryHub::HandleConfigFetch(const protocol::Envelope& envelope,
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

void EntryHub::HandlePropose(const protocol::Envelope& envelope,
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
    answer(MakeError(
        ErrorCode::kOperatorTokenRequired,
        "command is reserved for operators; an entry may not propose it"));
    return;
  }
  replica_.Propose(command.value(), answer);
}

void EntryHub::PushUpdates(ConnectedEntry& connected) {
  const auto& configs = replica_.ledger().configs();
  if (!configs.empty() && configs.back().version > connected.pushed_version) {
    connected.handle.Push(protocol::MessageKind::kConfigPush,
                          protocol::Encode(protocol::ConfigPush{
                              configs.back().version, configs.back().text}));
    connected.pushed_version = configs.back().version;
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

void EntryHub::UpdateLeadership() {
  const bool leads = replica_.ConfirmedLeader();
  if (leads == acceptance_rule_.has_value()) {
    return;
  }
  last_status_.clear();
  if (!leads) {
    acceptance_rule_.reset();
    return;
  }
  acceptance_rule_.emplace(membership::LeaseTimes(), MonotonicNow());
  // An earlier leader may have reported any committed version as accepted.
  accepted_ = replica_.ledger().config_version();
  AddRegisteredEntries();
}

void EntryHub::AddRegisteredEntries() {
  for (const auto& [process, record] : replica_.ledger().entries()) {
    acceptance_rule_->AddEntry(process, record.failure_domain);
  }
}

void EntryHub::OnLedgerChange() {
  UpdateLeadership();
  if (acceptance_rule_) {
    const auto& entries = replica_.ledger().entries();
    for (const ProcessId& process : registered_) {
      if (entries.count(process) == 0) {
        acceptance_rule_->RemoveEntry(process);
        last_status_.erase(process);
      }
    }
    AddRegisteredEntries();
  }
  registered_.clear();
  for (const auto& [process, record] : replica_.ledger().entries()) {
    registered_.insert(process);
  }
  if (drained_ != replica_.ledger().drained() ||
      quarantined_ != replica_.ledger().quarantined()) {
    drained_ = replica_.ledger().drained();
    quarantined_ = replica_.ledger().quarantined();
    ++state_revision_;
  }
  std::erase_if(connected_,
                [](const auto& c) { return !c.second.handle.connected(); });
  for (auto& [process, connected] : connected_) {
    PushUpdates(connected);
  }
}

RolloutReport EntryHub::RolloutOf(ConfigVersion version) {
  UpdateLeadership();
  RolloutReport report;
  if (!acceptance_rule_) {
    return report;
  }
  std::map<FailureDomain, std::uint32_t> registered;
  for (const auto& [process, record] : replica_.ledger().entries()) {
    ++registered[record.failure_domain];
  }
  const TimePoint now = MonotonicNow();
  for (const auto& domain :
       acceptance_rule_->AcceptanceByDomain(version, now)) {
    DomainRollout state;
    state.failure_domain = domain.failure_domain;
    state.entries = registered[domain.failure_domain];
    const auto silent = static_cast<std::uint32_t>(domain.silent.size());
    const auto behind = static_cast<std::uint32_t>(domain.behind.size());
    state.live = state.entries - std::min(state.entries, silent);
    state.in_force = state.live - std::min(state.live, behind);
    state.pending = !domain.in_force;
    report.domains.push_back(state);
  }
  report.accepted = acceptance_rule_->IsAccepted(version, now);
  if (report.accepted) {
    accepted_ = std::max(accepted_, version);
  }
  return report;
}

EntryView EntryHub::View(const ProcessId& process) const {
  const auto last = last_status_.find(process);
  if (last == last_status_.end()) {
    return {};
  }
  return {last->second.in_force,
          MonotonicNow() - last->second.received_at < kLiveTimeout};
}

}  // namespace rattanward::control
