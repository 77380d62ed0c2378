#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rattanward/domain/time.h"
#include "rattanward/entry/caller_answer.h"
#include "rattanward/entry/completion_builder.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/entry/run_guard.h"
#include "rattanward/entry/upstream_attempt.h"

namespace rattanward::entry {

/// @brief How the caller wants the answer.
enum class AnswerShape : std::uint8_t {
  kEventStream,
  kBufferedCompletion,
  kService,
};

/// @brief One caller's request, checked, with all that its exchange needs.
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

/// @brief One caller's request from its arrival to its final answer.
/// @note All calls are on the core's loop; it never blocks.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using EndCallback = std::function<void(const std::shared_ptr<Exchange>&)>;

  /// @param core Takes reports and makes the decisions.
  /// @param recorder Logs and counts what happens.
  /// @param plan The request.
  /// @param answer Takes the answer.
  /// @param on_end Called once, when nothing is left to do.
  Exchange(EntryCore& core, const RequestRecorder& recorder, ExchangePlan plan,
           CallerAnswer answer, EndCallback on_end);

  /// @brief Hands the request to the dispatcher.
  void Start();

  /// @brief The caller has left: whatever is being done for it stops.
  void CallerLeft();

  /// @brief The caller has taken what was written.
  void CallerDrained();

 private:
  void HandleDecision(const policy::Decision& decision);
  void BeginAttempt(const policy::StartAttempt& start);
  void HandlePermission(const SendPermission& permission);
  void SendAttempt();
  std::optional<Error> GateError() const;
  void AbandonAttempt(policy::AttemptEnd end, const Error& error);
  bool HandleStreamBatch(const StreamBatch& batch);
  bool TakeEvents(const StreamBatch& batch);
  void AttemptEnded(const policy::AttemptResult& result);
  void EndAttempt(policy::AttemptResult result);
  void RecordFirstToken();
  void DeliverResponse(const BufferedResponse& answer);
  void Conclude(bool caller_left);
  void Shed(const Error& error);
  void Fail(const Error& error);
  void SettleGuard(const BufferedResponse* answer);
  void NotifyEnd();

  EntryCore& core_;
  const RequestRecorder& recorder_;
  ExchangePlan plan_;
  CallerAnswer answer_;
  EndCallback on_end_;
  RequestSummary summary_;
  policy::StartAttempt start_;
  std::shared_ptr<UpstreamAttempt> attempt_;
  CompletionBuilder completion_;
  /// The answer of an earlier run of the same key.
  std::optional<BufferedResponse> stored_response_;
  std::uint32_t tokens_ = 0;
  bool attempted_ = false;
  bool claim_pending_ = false;
  bool paused_ = false;
  bool caller_left_ = false;
  bool ended_ = false;
};

}  // namespace rattanward::entry
