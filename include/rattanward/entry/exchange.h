#pragma once

#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/time.h"
#include "rattanward/entry/answer_channel.h"
#include "rattanward/entry/decision_mailbox.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/upstream_attempt.h"

namespace rattanward::entry {

/// @brief How the caller wants the answer.
enum class AnswerShape : std::uint8_t {
  kEventStream,
  kWholeCompletion,
  kService,
};

/// @brief Guards a request that must not run twice; see ledger claims.
/// @note A null guard stands for an idempotent request.
class RunGuard {
 public:
  virtual ~RunGuard() = default;
  /// @brief Called before the first byte of an attempt goes upstream.
  /// @return Success, or the final error (verdict included) for the caller.
  virtual Status BeforeSend() = 0;
  /// @brief Called when it is sure that the request never ran.
  virtual void NeverRan() = 0;
  /// @brief Called when the whole answer is there, before the caller sees it.
  virtual void Finished(const WholeAnswer& answer) = 0;
};

/// @brief One caller's request from the first decision to its final answer.
struct ExchangePlan {
  policy::RequestInfo info;
  UpstreamRequest request;
  AnswerShape shape = AnswerShape::kEventStream;
  Duration silence{0};
  /// First-token target of the request's class.
  Duration first_token_target{0};
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
