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
  kWholeCompletion,
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
  using OverSink = std::function<void(const std::shared_ptr<Exchange>&)>;

  /// @param core Takes reports and makes the decisions.
  /// @param recorder Logs and counts what happens.
  /// @param plan The request.
  /// @param answer Takes the answer.
  /// @param on_over Called once, when nothing is left to do.
  Exchange(EntryCore& core, const RequestRecorder& recorder, ExchangePlan plan,
           CallerAnswer answer, OverSink on_over);

  /// @brief Hands the request to the dispatcher.
  void Start();

  /// @brief The caller has left: whatever is being done for it stops.
  void CallerLeft();

  /// @brief The caller has taken what was written.
  void CallerDrained();

 private:
  void Decide(const policy::Decision& decision);
  void Begin(const policy::StartAttempt& start);
  void Permitted(const SendPermission& permission);
  void Send();
  std::optional<Error> GateError() const;
  void Abandon(policy::AttemptEnd end, const Error& error);
  bool TakePieces(const StreamPieces& pieces);
  bool TakeEvents(const StreamPieces& pieces);
  void AttemptEnded(const policy::AttemptResult& result);
  void EndAttempt(policy::AttemptResult result);
  void NoteFirstToken();
  void Deliver(const WholeAnswer& answer);
  void Conclude(bool left);
  void Shed(const Error& error);
  void Fail(const Error& error);
  void EndGuard(const WholeAnswer* answer);
  void Over();

  EntryCore& core_;
  const RequestRecorder& recorder_;
  ExchangePlan plan_;
  CallerAnswer answer_;
  OverSink on_over_;
  RequestSummary summary_;
  policy::StartAttempt start_;
  std::shared_ptr<UpstreamAttempt> attempt_;
  CompletionBuilder completion_;
  /// The answer of an earlier run of the same key.
  std::optional<WholeAnswer> stored_;
  std::uint32_t tokens_ = 0;
  bool attempted_ = false;
  bool claiming_ = false;
  bool paused_ = false;
  bool left_ = false;
  bool over_ = false;
};

}  // namespace rattanward::entry
