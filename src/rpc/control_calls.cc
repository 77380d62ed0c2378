#include "rattanward/rpc/control_calls.h"

#include <thread>
#include <variant>

#include "control_thread.h"
#include "rattanward/adapter/config_text.h"

namespace rattanward::rpc {
namespace {

using Clock = std::chrono::steady_clock;

/// Interval at which the rollout of a version is checked.
constexpr auto kRolloutPollInterval = std::chrono::milliseconds(50);
/// Upper limit of the wait that a request may ask for.
constexpr auto kMaxRolloutWait = std::chrono::seconds(60);
/// Stands for the file name in the parser's error messages.
constexpr char kConfigSourceName[] = "configuration";

/// Time at which a requested wait ends; limited to kMaxRolloutWait from now.
Clock::time_point DeadlineAfter(std::uint32_t wait_ms) {
  return Clock::now() +
         std::min<Clock::duration>(std::chrono::milliseconds(wait_ms),
                                   kMaxRolloutWait);
}

/// Fills the rollout state of a version. Control thread only.
void FillConfigState(control::ControlDaemon& daemon, ConfigVersion version,
                     v1::ConfigStateReply& reply) {
  reply.set_version(version.value);
  const control::RolloutReport report = daemon.entries().RolloutOf(version);
  reply.set_accepted(version.value != 0 && report.accepted);
  for (const control::DomainRollout& domain : report.domains) {
    v1::DomainState& state = *reply.add_domains();
    state.set_failure_domain(domain.failure_domain.str());
    state.set_entries(domain.entries);
    state.set_live(domain.live);
    state.set_in_force(domain.in_force);
    state.set_pending(domain.pending);
  }
}

/// Reads the rollout state of a version. Version 0 stands for the newest one.
/// Errors: kVersionConflict if the version does not exist, and those of
/// ReadLedger().
v1::ConfigStateReply ReadConfigState(control::ControlDaemon& daemon,
                                     ConfigVersion version) {
  return ReadLedger<v1::ConfigStateReply>(
      daemon, [&daemon, version](v1::ConfigStateReply& reply) {
        const ConfigVersion newest = daemon.replica().ledger().config_version();
        if (version > newest) {
          SetError(
              daemon,
              MakeError(ErrorCode::kVersionConflict,
                        "configuration version does not exist; the newest is " +
                            std::to_string(newest.value)),
              *reply.mutable_outcome());
          return;
        }
        FillConfigState(daemon, version.value == 0 ? newest : version, reply);
      });
}

/// Waits until a committed version is in force in every failure domain or the
/// deadline has passed.
/// @return The last known rollout state. Its outcome is never an error, because
/// the version is committed.
v1::ConfigStateReply WaitForRollout(control::ControlDaemon& daemon,
                                    ConfigVersion version,
                                    Clock::time_point deadline) {
  v1::ConfigStateReply committed;
  committed.set_version(version.value);
  while (true) {
    v1::ConfigStateReply reply = ReadConfigState(daemon, version);
    if (reply.outcome().error() != 0) {
      // The version is committed, but its current rollout state cannot be read,
      // for instance because this VM lost the leadership. Return the last known
      // state and give the reason in the message.
      committed.mutable_outcome()->set_message(reply.outcome().message());
      return committed;
    }
    if (reply.accepted() || Clock::now() >= deadline) {
      return reply;
    }
    committed = std::move(reply);
    std::this_thread::sleep_for(kRolloutPollInterval);
  }
}

/// Proposes a command whose outcome contains no data for the operator.
v1::OutcomeReply ProposeForOutcome(control::ControlDaemon& daemon,
                                   const ledger::Command& command) {
  return ProposeCommand<v1::OutcomeReply>(
      daemon, command, [](const ledger::Outcome&, v1::OutcomeReply&) {});
}

}  // namespace

v1::ConfigStateReply ControlCalls::Handle(
    const v1::ApplyConfigRequest& request) {
  v1::ConfigStateReply reply;
  const auto parsed =
      adapter::ParseConfigText(request.toml(), kConfigSourceName);
  if (!parsed) {
    reply.mutable_outcome()->set_error(
        static_cast<int>(ErrorCode::kInvalidConfig));
    reply.mutable_outcome()->set_message(parsed.error().message);
    return reply;
  }
  const ledger::ConfigApply command{CommandId(request.command_id()),
                                    ConfigVersion{request.expected_version()},
                                    request.toml()};
  reply = ProposeCommand<v1::ConfigStateReply>(
      daemon_, command,
      [this](const ledger::Outcome& outcome, v1::ConfigStateReply& out) {
        if (const auto* conflict =
                std::get_if<ledger::ConfigConflict>(&outcome)) {
          out.set_version(conflict->newest.value);
          SetError(
              daemon_,
              MakeError(ErrorCode::kVersionConflict,
                        "expected version is not the newest; the newest is " +
                            std::to_string(conflict->newest.value)),
              *out.mutable_outcome());
        } else if (const auto* commit =
                       std::get_if<ledger::ConfigCommitted>(&outcome)) {
          out.set_version(commit->version.value);
        }
      });
  if (reply.outcome().error() != 0) {
    return reply;
  }
  const ConfigVersion version{reply.version()};
  reply = WaitForRollout(daemon_, version, DeadlineAfter(request.wait_ms()));
  if (reply.accepted()) {
    daemon_.LogEvent({EventId::kConfigAccepted,
                      {{"version", std::to_string(version.value)},
                       {"command", request.command_id()}}});
  }
  return reply;
}

v1::OutcomeReply ControlCalls::Handle(
    const v1::ValidateConfigRequest& request) {
  v1::OutcomeReply reply;
  const auto parsed =
      adapter::ParseConfigText(request.toml(), kConfigSourceName);
  if (!parsed) {
    reply.mutable_outcome()->set_error(
        static_cast<int>(ErrorCode::kInvalidConfig));
    reply.mutable_outcome()->set_message(parsed.error().message);
  }
  return reply;
}

v1::ShowConfigReply ControlCalls::Handle(const v1::ShowConfigRequest& request) {
  return ReadLedger<v1::ShowConfigReply>(
      daemon_, [this, request](v1::ShowConfigReply& reply) {
        const ledger::StateMachine& ledger = daemon_.replica().ledger();
        const ConfigVersion version = request.version() == 0
                                          ? ledger.config_version()
                                          : ConfigVersion{request.version()};
        const ledger::ConfigRecord* record = ledger.FindConfig(version);
        if (record != nullptr) {
          reply.set_version(record->version.value);
          reply.set_toml(record->text);
        } else if (version.value != 0) {
          SetError(daemon_,
                   MakeError(ErrorCode::kVersionConflict,
                             "configuration version " +
                                 std::to_string(version.value) +
                                 " does not exist or is no longer stored"),
                   *reply.mutable_outcome());
        }
      });
}

v1::ConfigHistoryReply ControlCalls::Handle(const v1::ConfigHistoryRequest&) {
  return ReadLedger<v1::ConfigHistoryReply>(
      daemon_, [this](v1::ConfigHistoryReply& reply) {
        for (const auto& config : daemon_.replica().ledger().configs()) {
          v1::ConfigRecord& record = *reply.add_records();
          record.set_version(config.version.value);
          record.set_command_id(config.command_id.str());
          record.set_committed_at(config.committed_at.value);
          record.set_bytes(static_cast<std::uint32_t>(config.text.size()));
        }
      });
}

v1::ConfigStateReply ControlCalls::Handle(
    const v1::ConfigStatusRequest& request) {
  return ReadConfigState(daemon_, ConfigVersion{request.version()});
}

v1::ListUpstreamsReply ControlCalls::Handle(const v1::ListUpstreamsRequest&) {
  return ReadLedger<v1::ListUpstreamsReply>(
      daemon_, [this](v1::ListUpstreamsReply& reply) {
        for (const UpstreamId& id : daemon_.replica().ledger().drained()) {
          reply.add_drained()->set_upstream(id.str());
        }
      });
}

v1::OutcomeReply ControlCalls::Handle(const v1::DrainUpstreamRequest& request) {
  return ProposeForOutcome(
      daemon_,
      ledger::UpstreamDrain{CommandId(request.command_id()),
                            UpstreamId(request.upstream()), request.drained()});
}

v1::ListQuarantineReply ControlCalls::Handle(const v1::ListQuarantineRequest&) {
  return ReadLedger<v1::ListQuarantineReply>(
      daemon_, [this](v1::ListQuarantineReply& reply) {
        for (const auto fingerprint :
             daemon_.replica().ledger().quarantined()) {
          reply.add_fingerprints(fingerprint);
        }
      });
}

v1::OutcomeReply ControlCalls::Handle(
    const v1::ClearQuarantineRequest& request) {
  return ProposeForOutcome(
      daemon_, ledger::QuarantineChange{CommandId(request.command_id()),
                                        request.fingerprint(), false});
}

v1::OutcomeReply ControlCalls::Handle(const v1::ForgetVmRequest& request) {
  return ProposeForOutcome(
      daemon_, ledger::EntryForget{CommandId(request.command_id()), ProcessId(),
                                   VmName(request.vm())});
}

v1::StatusReply ControlCalls::Handle(const v1::StatusRequest&) {
  return ReadLedger<v1::StatusReply>(daemon_, [this](v1::StatusReply& reply) {
    const control::Replica& replica = daemon_.replica();
    reply.set_process(daemon_.settings().identity.process.str());
    // Linearizable reads succeed on the leader only.
    reply.set_leader(true);
    reply.set_term(replica.node().term());
    reply.set_commit_index(replica.node().commit_index());
    reply.set_applied_index(replica.applied());
    reply.set_config_version(replica.ledger().config_version().value);
    reply.set_claims(replica.ledger().claims().size());
    for (const auto& [process, record] : replica.ledger().entries()) {
      v1::EntryState& entry = *reply.add_entries();
      entry.set_process(process.str());
      entry.set_vm(record.vm.str());
      entry.set_failure_domain(record.failure_domain.str());
      const control::EntryView view = daemon_.entries().View(process);
      entry.set_in_force(view.in_force.value);
      entry.set_live(view.live);
    }
  });
}

void ControlCalls::Watch(
    const std::function<bool(const v1::EventLine*)>& write) {
  feed_.Follow([&](const Event* event) {
    if (event == nullptr) {
      return write(nullptr);
    }
    v1::EventLine line;
    line.set_id(static_cast<int>(event->id));
    line.set_name(std::string(EventName(event->id)));
    for (const EventField& field : event->fields) {
      v1::EventField& out = *line.add_fields();
      out.set_name(field.name);
      out.set_value(field.value);
    }
    return write(&line);
  });
}

}  // namespace rattanward::rpc
