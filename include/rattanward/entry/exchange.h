#pragma once

#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/time.h"
#include "rattanward/entry/answer_channel.h"
#include "rattanward/entry/decision_mailbox.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/run_guard.h"
#include "rattanward/entry/upstream_attempt.h"

namespace rattanward::entry {

/// @brief How the caller wants the answer.
enum class AnswerShape : std::uint8_t {
  kEventStream,
  kWholeCompletion,
  kService,
};

/// @brief One caller's request from the first decision to its final answer.
struct ExchangePlan {
  policy::RequestInfo info;
  UpstreamRequest request;
  AnswerShape shape = AnswerShape::kEventStream;
  Duration silence{0};
  /// First-token target of the request's class.
  Duration first_token_target{0};
  /// Null for an idempotent request.
  std::shared_ptr<RunGuard> guard;
};

/// @brief Runs a request to its end, on a thread of its own.
/// @param core Takes reports and makes the decisions.
/// @param recorder Logs and counts what happens.
/// @param plan The request; its first decision is already in `first`.
/// @param mailbox Where further decisions arrive.
/// @param first The first attempt.
/// @param channel Takes the answer.
void RunExchange(EntryCore& core, const RequestRecorder& recorder,
                 const ExchangePlan& plan, DecisionMailbox& mailbox,
                 policy::StartAttempt first,
                 const std::shared_ptr<AnswerChannel>& channel);

}  // namespace rattanward::entry
