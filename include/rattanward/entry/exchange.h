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

/// @brief Form in which the caller receives the response.
enum class AnswerShape : std::uint8_t {
  kEventStream,
  kBufferedCompletion,
  kService,
};

/// @brief A validated request with everything that its exchange needs.
struct ExchangePlan {
  policy::RequestInfo info;
  UpstreamRequest request;
  AnswerShape shape = AnswerShape::kEventStream;
  /// Time without bytes after which the status of a stream is queried, and a
  /// service call ends.
  Duration silence{0};
  /// First-token target of the request's class.
  Duration first_token_target{0};
  /// Permits at most one run; null for an idempotent request.
  std::shared_ptr<RunGuard> guard;
  /// Has another entry serve the request; empty if that is not possible.
  std::function<void()> relay;
};

/// @brief Handles one caller's request from its arrival to its final response.
/// @note Not thread-safe: all calls must be made on the core's event loop. No
/// call blocks.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using EndCallback = std::function<void(const std::shared_ptr<Exchange>&)>;

  /// @param core Makes the dispatch decisions and receives attempt results.
  /// @param recorder Records log events and metrics.
  /// @param plan The validated request.
  /// @param answer Writes the response to the caller.
  /// @param on_end Called once, when the exchange has ended.
  Exchange(EntryCore& core, const RequestRecorder& recorder, ExchangePlan plan,
           CallerAnswer answer, EndCallback on_end);

  /// @brief Submits the request to the dispatcher.
  void Start();

  /// @brief Stops all work for the request because the caller disconnected.
  void CallerLeft();

  /// @brief Gives the caller the final answer now, because this entry stops.
  /// What runs is cancelled.
  void CutShort();

  /// @brief Resumes a paused attempt after the caller's output buffer drained.
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
  void ConcludeCut();
  void Shed(const Error& error);
  bool MayRelay(const Error& error) const;
  void Relay();
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
  /// Response stored by an earlier run with the same idempotency key.
  std::optional<BufferedResponse> stored_response_;
  /// Events with content received in the current attempt, as its token count.
  std::uint32_t tokens_ = 0;
  bool attempted_ = false;
  /// The guard was asked for permission and has not replied yet.
  bool claim_pending_ = false;
  bool paused_ = false;
  bool caller_left_ = false;
  bool cut_short_ = false;
  bool ended_ = false;
};

}  // namespace rattanward::entry
