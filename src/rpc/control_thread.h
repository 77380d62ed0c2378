#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "rattanward/control/control_daemon.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Longest wait of a call's thread for one step on the control thread.
inline constexpr std::chrono::milliseconds kControlThreadTimeout{10'000};
/// @brief Time between two looks at whether the daemon is stopping.
inline constexpr std::chrono::milliseconds kStopPollInterval{100};

/// @brief Puts an error, and where the leader is, into a reply's outcome.
/// @note On the control thread.
inline void SetError(const control::ControlDaemon& daemon, const Error& error,
                     v1::Outcome& out) {
  out.set_error(static_cast<int>(error.code));
  out.set_message(error.message);
  if (error.code == ErrorCode::kNotLeader) {
    out.set_leader(daemon.LeaderOperatorEndpoint());
  }
}

/// @brief Runs `start` on the control thread and waits for its reply.
/// @param start Gets a function that takes the reply, to be called once.
/// @return The reply; one with kOutcomeUnknown if none came in time.
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
  reply.mutable_outcome()->set_message("the control thread did not answer");
  return reply;
}

/// @brief Fills a reply from the ledger, once all committed is applied to it.
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

/// @brief Commits a command and fills a reply from its outcome.
/// @param fill Called for an outcome other than Refused.
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
