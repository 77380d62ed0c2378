#include <thread>

#include "control_thread.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/consensus/repair.h"
#include "rattanward/rpc/control_calls.h"

namespace rattanward::rpc {
namespace {

using Clock = std::chrono::steady_clock;
using consensus::RepairStep;

/// Time between two steps of a repair.
constexpr auto kRepairStepInterval = std::chrono::milliseconds(50);
/// Upper limit of the wait that a request may ask for.
constexpr auto kMaxRepairWait = std::chrono::seconds(80);

/// Description of a step for operators.
const char* StepName(RepairStep step) {
  switch (step) {
    case RepairStep::kAddLearner:
      return "adding the new control VM as a learner";
    case RepairStep::kPromote:
      return "promoting the learner to a voter";
    case RepairStep::kRemoveLost:
      return "removing the lost voter";
    case RepairStep::kComplete:
      return "complete";
    default:
      return "waiting for replication to the new control VM";
  }
}

/// Whether a failed membership change may succeed later without any action of
/// the operator.
bool IsTransient(ErrorCode code) {
  return code == ErrorCode::kVoterChangePending ||
         code == ErrorCode::kLearnerBehind || code == ErrorCode::kNoQuorum;
}

/// Runs the next step of a repair. Control thread only.
/// @param lost Voter to replace; empty to add a voter without removing one.
/// @param endpoint Peer address of the new control VM.
/// @param reply Receives the step, or an error that ends the request.
void RunRepairStep(control::ControlDaemon& daemon, const VoterId& lost,
                   const Endpoint& endpoint, v1::RepairVoterReply& reply) {
  const auto fail = [&](const Error& error) {
    SetError(daemon, error, *reply.mutable_outcome());
  };
  if (!daemon.replica().HoldsLease()) {
    fail(daemon.replica().leader().empty()
             ? MakeError(ErrorCode::kNoQuorum, "no quorum of control VMs")
             : MakeError(ErrorCode::kNotLeader,
                         "this control VM is not the leader"));
    return;
  }
  const protocol::VoterHello* hello = daemon.FindVoter(endpoint);
  if (hello == nullptr) {
    daemon.voters().ConnectTo(endpoint);
    reply.set_step("waiting for an answer from the control VM at " +
                   ToString(endpoint));
    return;
  }
  if (hello->id == lost) {
    fail(MakeError(ErrorCode::kUnknownVoter,
                   "the control VM at " + ToString(endpoint) +
                       " still has its data folder; its voter is not lost"));
    return;
  }
  const consensus::Repair repair{lost, hello->id, endpoint};
  const RepairStep step =
      NextRepairStep(daemon.replica().node(), repair, adapter::MonotonicNow());
  reply.set_new_voter(hello->id.str());
  reply.set_step(StepName(step));
  reply.set_complete(step == RepairStep::kComplete);
  if (step == RepairStep::kAddLearner || step == RepairStep::kPromote ||
      step == RepairStep::kRemoveLost) {
    const auto change =
        daemon.replica().ChangeMembership(MembershipChangeFor(step, repair));
    if (!change && !IsTransient(change.error().code)) {
      fail(change.error());
    }
  }
}

/// Runs the steps of a repair until it is complete, fails or the wait has
/// passed. Called on an RPC thread. Each step is derived from the current
/// membership, so a request that is sent again continues an unfinished repair.
/// @param lost Voter to replace; empty to add a voter without removing one.
/// @param wait_ms Requested wait, limited to kMaxRepairWait. At least one step
/// is run.
v1::RepairVoterReply RunRepair(control::ControlDaemon& daemon,
                               const VoterId& lost,
                               const std::string& endpoint_text,
                               std::uint32_t wait_ms) {
  v1::RepairVoterReply reply;
  const auto endpoint = adapter::ParseEndpoint(endpoint_text);
  if (!endpoint) {
    reply.mutable_outcome()->set_error(
        static_cast<int>(ErrorCode::kMalformedMessage));
    reply.mutable_outcome()->set_message(endpoint.error().message);
    return reply;
  }
  const auto deadline =
      Clock::now() + std::min<Clock::duration>(
                         std::chrono::milliseconds(wait_ms), kMaxRepairWait);
  while (true) {
    reply = RunOnControlThread<v1::RepairVoterReply>(
        daemon, [&daemon, lost, to = endpoint.value()](
                    const std::function<void(v1::RepairVoterReply)>& done) {
          v1::RepairVoterReply step_reply;
          RunRepairStep(daemon, lost, to, step_reply);
          done(std::move(step_reply));
        });
    if (reply.complete() || reply.outcome().error() != 0 ||
        Clock::now() >= deadline) {
      return reply;
    }
    std::this_thread::sleep_for(kRepairStepInterval);
  }
}

}  // namespace

v1::ListVotersReply ControlCalls::Handle(const v1::ListVotersRequest&) {
  return ReadLedger<v1::ListVotersReply>(
      daemon_, [this](v1::ListVotersReply& reply) {
        const consensus::Node& node = daemon_.replica().node();
        reply.set_commit_index(node.commit_index());
        for (const consensus::MemberProgress& progress :
             node.Progress(adapter::MonotonicNow())) {
          v1::Voter& voter = *reply.add_voters();
          voter.set_id(progress.member.id.str());
          voter.set_endpoint(ToString(progress.member.endpoint));
          voter.set_learner(progress.member.role ==
                            consensus::MemberRole::kLearner);
          voter.set_leader(progress.member.id == node.id());
          voter.set_active(progress.active);
          voter.set_matched(progress.match);
        }
      });
}

v1::OutcomeReply ControlCalls::Handle(const v1::AddVoterRequest& request) {
  const v1::RepairVoterReply added =
      RunRepair(daemon_, VoterId(), request.endpoint(), request.wait_ms());
  v1::OutcomeReply reply;
  *reply.mutable_outcome() = added.outcome();
  if (added.outcome().error() == 0 && !added.complete()) {
    reply.mutable_outcome()->set_error(
        static_cast<int>(ErrorCode::kVoterChangePending));
    reply.mutable_outcome()->set_message(added.step());
  }
  return reply;
}

v1::OutcomeReply ControlCalls::Handle(const v1::RemoveVoterRequest& request) {
  return RunOnControlThread<v1::OutcomeReply>(
      daemon_,
      [this, request](const std::function<void(v1::OutcomeReply)>& done) {
        v1::OutcomeReply reply;
        const auto change = daemon_.replica().ChangeMembership(
            {consensus::MembershipChange::Kind::kRemove,
             VoterId(request.voter()), Endpoint()});
        if (!change) {
          SetError(daemon_, change.error(), *reply.mutable_outcome());
        }
        done(std::move(reply));
      });
}

v1::RepairVoterReply ControlCalls::Handle(
    const v1::RepairVoterRequest& request) {
  return RunRepair(daemon_, VoterId(request.lost_voter()), request.endpoint(),
                   request.wait_ms());
}

}  // namespace rattanward::rpc
