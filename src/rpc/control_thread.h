#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "rattanward/control/control_daemon.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Longest wait of an RPC thread for one task on the control thread.
inline constexpr std::chrono::milliseconds kControlThreadTimeout{10'000};
/// @brief Interval at which a waiting RPC thread checks whether the daemon is
/// stopping, after which posted tasks may never run.
inline constexpr std::chrono::milliseconds kStopPollInterval{100};

/// @brief Writes an error to a reply's outcome. For kNotLeader, adds the
/// leader's operator address if it is known.
/// @note Control thread only.
inline void SetError(const control::ControlDaemon& daemon, const Error& error,
                     v1::Outcome& out) {
  out.set_error(static_cast<int>(error.code));
  out.set_message(error.message);
  if (error.code == ErrorCode::kNotLeader) {
    out.set_leader(daemon.LeaderOperatorEndpoint());
  }
}

/// @brief Runs a task on the control thread and waits for its reply.
/// @param task Receives a completion function, which it must call once with the
/// reply, either directly or later on the control thread.
/// @return The reply; one with kOutcomeUnknown if there was none before the
/// timeout or before the daemon stopped.
/// @note Must not be called on the control thread, where it would wait for
/// itself. The task may still run after this function has returned.
template <class Reply>
Reply RunOnControlThread(control::ControlDaemon& daemon,
                         std::function<void(std::function<void(Reply)>)> task) {
  auto promise = std::make_shared<std::promise<Reply>>();
  std::future<Reply> future = promise->get_future();
  daemon.Post([task = std::move(task), promise] {
    task([promise](Reply reply) { promise->set_value(std::move(reply)); });
  });
  for (auto waited = kStopPollInterval;
       waited < kControlThreadTimeout && !daemon.stopped();
       waited += kStopPollInterval) {
    if (future.wait_for(kStopPollInterval) == std::future_status::ready) {
      return future.get();
    }
  }
  Reply reply;
  reply.mutable_outcome()->set_error(
      static_cast<int>(ErrorCode::kOutcomeUnknown));
  reply.mutable_outcome()->set_message(
      "no reply from the control thread before the timeout or shutdown");
  return reply;
}

/// @brief Performs a linearizable read of the ledger.
/// @param fill Fills the reply. Called on the control thread once the ledger
/// contains everything that was committed before this call.
/// @return The filled reply, or one with an error: kNotLeader, kNoQuorum,
/// kOutcomeUnknown.
template <class Reply>
Reply ReadLedger(control::ControlDaemon& daemon,
                 std::function<void(Reply&)> fill) {
  return RunOnControlThread<Reply>(
      daemon,
      [&daemon, fill = std::move(fill)](std::function<void(Reply)> done) {
        daemon.replica().Read([&daemon, fill, done](const Status& status) {
          Reply reply;
          if (status) {
            fill(reply);
          } else {
            SetError(daemon, status.error(), *reply.mutable_outcome());
          }
          done(std::move(reply));
        });
      });
}

/// @brief Validates, commits and applies a command.
/// @param fill Fills the reply from the outcome. Called on the control thread,
/// unless the outcome is Refused.
/// @return The filled reply, or one with an error: that of ledger::Check(), of
/// Replica::Propose() or of the Refused outcome, or kOutcomeUnknown.
template <class Reply>
Reply ProposeCommand(control::ControlDaemon& daemon,
                     const ledger::Command& command,
                     std::function<void(const ledger::Outcome&, Reply&)> fill) {
  Reply refused;
  const Status checked = ledger::Check(command);
  if (!checked) {
    refused.mutable_outcome()->set_error(
        static_cast<int>(checked.error().code));
    refused.mutable_outcome()->set_message(checked.error().message);
    return refused;
  }
  return RunOnControlThread<Reply>(
      daemon, [&daemon, command, fill](std::function<void(Reply)> done) {
        daemon.replica().Propose(
            command,
            [&daemon, fill, done](const Result<ledger::Outcome>& result) {
              Reply reply;
              if (!result) {
                SetError(daemon, result.error(), *reply.mutable_outcome());
              } else if (const auto* refusal =
                             std::get_if<ledger::Refused>(&result.value())) {
                SetError(daemon, MakeError(refusal->code, refusal->message),
                         *reply.mutable_outcome());
              } else {
                fill(result.value(), reply);
              }
              done(std::move(reply));
            });
      });
}

}  // namespace rattanward::rpc
