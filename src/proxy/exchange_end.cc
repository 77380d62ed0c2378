#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"
#include "rattanward/proxy/exchange.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using http::ClientFailure;
using http::Framing;

/// Number of failed connection attempts tolerated per request.
constexpr std::uint32_t kMaxUnreachableUpstreams = 4;
constexpr int kServerError = 500;
/// An upstream that drops a request at the deadline that it was told answers
/// within this time after the deadline.
constexpr Duration kLateAnswerTime{std::chrono::milliseconds(150)};

std::string_view FramingName(Framing framing) {
  switch (framing) {
    case Framing::kNone:
      return "none";
    case Framing::kLength:
      return "length";
    case Framing::kChunked:
      return "chunked";
    case Framing::kUntilClose:
      return "until-close";
  }
  return "";
}

/// Ids of the prompt's parts in order, for the log.
std::string PartIds(const std::vector<policy::PromptPart>& prompt) {
  constexpr std::size_t kMaxLoggedParts = 16;
  std::string text;
  for (std::size_t i = 0; i < std::min(prompt.size(), kMaxLoggedParts); ++i) {
    if (i > 0) {
      text += ',';
    }
    text += std::to_string(prompt[i].id);
  }
  return text;
}

}  // namespace

void Exchange::OnComplete() {
  const auto self = shared_from_this();
  attempt_ended_ = true;
  if (event_stream_ && StreamIsWhole()) {
    FinishStream();
  } else if (relay_peer_ && !event_stream_) {
    FinishRelay();
  } else if (event_stream_) {
    HandleConnectionLoss("the upstream's stream ended inside an event");
  } else if (response_traits_.not_run) {
    HandleRejection();
  } else {
    FinishWholeResponse();
  }
}

/// The end of the upstream's message alone doesn't show that: an answer without
/// length or chunks ends wherever its connection does.
bool Exchange::StreamIsWhole() const {
  const bool has_events = splitter_.events() > events_before_send_;
  return !splitter_.inside_event() &&
         (has_events || response_framing_ != Framing::kUntilClose);
}

/// An answer that ends with its connection may have been cut off unnoticed.
void Exchange::ReportWholeAnswer() {
  if (response_framing_ != Framing::kUntilClose && !relay_peer_) {
    owner_.OnWholeAnswer(*this);
  }
}

void Exchange::FinishStream() {
  owner_.OnOutcome(*this, true);
  ReportWholeAnswer();
  if (pace_.shortest() && !relay_peer_) {
    owner_.OnShortestGap(*this, *pace_.shortest());
  }
  StartStream();
  ReportPace(last_event_at_);
  const std::size_t partial_event_bytes = splitter_.partial_event_bytes();
  request_.caller->Write(splitter_.TakePartialEvent());
  Release();
  request_.caller->FinishBody();
  End(EventId::kRequestFinished,
      {{"status", std::to_string(response_.status)},
       {"framing", std::string(FramingName(response_framing_))},
       {"events", std::to_string(splitter_.events())},
       {"partial_event_bytes", std::to_string(partial_event_bytes)},
       {"first_event_ms",
        MillisecondText(first_event_at_ - request_.request.arrived)},
       {"longest_pause_ms", MillisecondText(longest_pause_)}});
}

void Exchange::FinishWholeResponse() {
  owner_.OnOutcome(*this, response_.status < kServerError);
  const bool missing_signature =
      http::IsSuccess(response_.status) && !response_traits_.has_signature;
  const bool should_retry =
      is_retryable() && (response_.status >= kServerError || missing_signature);
  if (should_retry && FallBackToHedge()) {
    return;
  }
  if (should_retry && attempts_ < request_.route->max_attempts &&
      owner_.TryTakeRetry(*this)) {
    excluded_.insert(upstream_);
    Release();
    Requeue();
    return;
  }
  Release();
  if (missing_signature || StatusImpliesNotRun(response_.status)) {
    // The response lacks its signature, or its status implies that the request
    // did not run although the upstream did not state that.
    Fail(MakeError(ErrorCode::kUpstreamFailed,
                   "the upstream responded with status " +
                       std::to_string(response_.status) +
                       " without stating that the request did not run",
                   Verdict::kMayHaveRun));
    return;
  }
  if (http::IsSuccess(response_.status)) {
    ReportWholeAnswer();
  }
  request_.caller->Respond(response_, body_);
  End(response_.status >= kServerError ? EventId::kRequestFailed
                                       : EventId::kRequestFinished,
      {{"status", std::to_string(response_.status)},
       {"bytes", std::to_string(body_.size())}});
}

void Exchange::HandleRejection() {
  attempt_ended_ = true;
  if (response_traits_.backoff_for || stream_started_) {
    // Not an attempt of the request.
    --attempts_;
  }
  if (!response_traits_.backoff_for) {
    owner_.OnOutcome(*this, false);
    owner_.OnRejected(*this);
  }
  excluded_.insert(upstream_);
  Release();
  if (FallBackToHedge()) {
    return;
  }
  const Error refusal =
      MakeError(ErrorCode::kNoUpstream,
                "the upstream rejected the request without running it");
  if (attempts_ < request_.route->max_attempts && owner_.TryTakeRetry(*this)) {
    Requeue();
    return;
  }
  Fail(refusal);
}

void Exchange::OnFailure(ClientFailure failure) {
  const auto self = shared_from_this();
  if (late_connection_) {
    EndLateAnswer();
    return;
  }
  if (!stage_.sent()) {
    return;
  }
  if (relay_peer_) {
    HandleRelayFailure(failure);
    return;
  }
  if (failure == ClientFailure::kNotSent) {
    const bool reused = stage_.connection()->reused();
    --attempts_;
    if (!reused) {
      ++unreachable_count_;
      owner_.OnUnreachable(*this);
    }
    Release();
    if (FallBackToHedge()) {
      return;
    }
    if (unreachable_count_ > kMaxUnreachableUpstreams) {
      Fail(MakeError(ErrorCode::kNoUpstream, "no upstream is reachable"));
    } else {
      Requeue();
    }
    return;
  }
  if (response_begun_ && response_traits_.not_run && !stream_started_) {
    // The head of the answer says it all.
    HandleRejection();
    return;
  }
  HandleConnectionLoss(failure == ClientFailure::kMalformed
                           ? "the upstream's response is malformed"
                           : "the upstream broke off");
}

void Exchange::HandleConnectionLoss(const std::string& reason) {
  if (relay_peer_) {
    HandleRelayFailure(ClientFailure::kTruncated);
    return;
  }
  RecordConnectionLoss(reason);
  if (FallBackToHedge()) {
    return;
  }
  if (MayGoOn() && owner_.TryTakeRetry(*this)) {
    Requeue();
    return;
  }
  Fail(MakeError(ErrorCode::kUpstreamBroken, reason, Verdict::kMayHaveRun));
}

/// Whether the route allows another attempt, also of a stream that has begun.
bool Exchange::MayGoOn() const {
  // A stream can be resumed only if its events have ids.
  const bool can_resume = !stream_started_ || !splitter_.last_id().empty();
  return is_retryable() && can_resume &&
         attempts_ < request_.route->max_attempts;
}

void Exchange::RecordConnectionLoss(const std::string& reason) {
  attempt_ended_ = true;
  may_have_run_ = true;
  owner_.OnOutcome(*this, false);
  owner_.OnConnectionLost(*this);
  owner_.Log(
      EventId::kUpstreamBroke, *this,
      {{"reason", reason},
       {"answer_begun", response_begun_ ? "1" : "0"},
       {"framing", std::string(FramingName(response_framing_))},
       {"partial_event_bytes", std::to_string(splitter_.partial_event_bytes())},
       {"reused", stage_.connection()->reused() ? "1" : "0"},
       {"idle_ms", MillisecondText(stage_.connection()->idle_before())},
       {"kept_ms", MillisecondText(stage_.connection()->keep_alive())},
       {"after_ms", MillisecondText(MonotonicNow() - sent_at_)},
       {"parts", PartIds(placement_.prompt)}});
  excluded_.insert(upstream_);
  Release();
  splitter_.DiscardPartialEvent();
}

void Exchange::Requeue() {
  stage_.Wait();
  owner_.Log(
      stream_started_ ? EventId::kStreamResumed : EventId::kRequestRetried,
      *this,
      {{"attempts", std::to_string(attempts_)},
       {"left_ms", MillisecondText(RemainingTime())}});
  owner_.Enqueue(shared_from_this());
}

void Exchange::Refuse(const Error& error) { Fail(error); }

/// Sends the final error response. If the request may have run, a status that
/// implies that it did not run is replaced.
void Exchange::Fail(Error error) {
  if (stage_.finished()) {
    return;
  }
  const auto self = shared_from_this();
  const bool for_stop = error.code == ErrorCode::kShuttingDown;
  may_have_run_ = may_have_run_ || (hedge_ && hedge_->sent_any());
  Release();
  if (stream_started_) {
    request_.caller->Flush();
    if (stage_.finished()) {
      return;  // The caller had closed its connection.
    }
    request_.caller->Abort();
  } else {
    if (may_have_run_ && StatusImpliesNotRun(HttpStatus(error.code))) {
      error.code = ErrorCode::kUpstreamBroken;
      error.verdict = Verdict::kMayHaveRun;
      error.retry_after.reset();
    }
    if (StatusImpliesNotRun(HttpStatus(error.code)) && !error.retry_after) {
      error.retry_after = owner_.RetryAfter(*this);
    }
    RespondRefusal(*request_.caller, error, request_.relayed.has_value());
  }
  const EventId ended =
      may_have_run_ ? EventId::kRequestFailed : EventId::kRequestShed;
  End(for_stop ? EventId::kRequestStopped : ended,
      {{"error", std::string(ErrorName(error.code))},
       {"reason", error.message},
       {"status", std::to_string(HttpStatus(error.code))},
       {"begun", stream_started_ ? "1" : "0"},
       {"retry_after_ms",
        error.retry_after ? MillisecondText(*error.retry_after) : "-"}});
}

void Exchange::OnCallerGone() {
  if (stage_.finished()) {
    return;
  }
  const auto self = shared_from_this();
  const bool was_sent = stage_.sent();
  if (MayAnswerLate() && RemainingTime() < kLateAnswerTime) {
    AwaitLateAnswer();
  }
  Release();
  End(EventId::kCallerLeft, {{"sent", was_sent ? "1" : "0"},
                             {"events", std::to_string(splitter_.events())}});
}

void Exchange::OnDeadline() {
  if (stage_.finished()) {
    return;
  }
  const bool sent = stage_.sent() && stage_.connection()->sent_any();
  may_have_run_ = may_have_run_ || sent;
  if (sent && !streams()) {
    owner_.OnOutcome(*this, false);
  }
  if (MayAnswerLate()) {
    AwaitLateAnswer();
  }
  Fail(may_have_run_
           ? MakeError(ErrorCode::kUpstreamSilent,
                       "no response before the request's deadline",
                       Verdict::kMayHaveRun)
           : MakeError(ErrorCode::kDeadlinePassed,
                       "no upstream had capacity before the request's "
                       "deadline"));
}

bool Exchange::MayAnswerLate() const {
  return stage_.sent() && stage_.connection()->sent_all() && !response_begun_ &&
         !relay_peer_;
}

/// The head of a late answer may tell that the upstream is leaving, or asks for
/// back-off. Its request has ended.
void Exchange::AwaitLateAnswer() {
  late_connection_ = stage_.EndAttempt();
  ReportIfLetGo(*late_connection_);
  const auto timer =
      std::make_shared<asio::steady_timer>(timer_.get_executor());
  timer->expires_after(kLateAnswerTime);
  timer->async_wait(
      [self = shared_from_this(), timer](const asio::error_code& /*e*/) {
        if (self->late_connection_) {
          self->EndLateAnswer();
        }
      });
}

void Exchange::EndLateAnswer() {
  const auto connection = std::exchange(late_connection_, nullptr);
  connection->Close();
  ReturnToOwner(connection);
}

/// Releases the capacity charged at the upstream. A connection with an
/// unfinished response is closed, which cancels the request there.
void Exchange::Release() {
  const auto connection = stage_.EndAttempt();
  if (!connection) {
    return;
  }
  ReportIfLetGo(*connection);
  if (!connection->Reusable(MonotonicNow())) {
    connection->Close();
  }
  ReturnToOwner(connection);
}

/// The connection won't show any more whether the upstream crashes on it.
void Exchange::ReportIfLetGo(const http::ClientConnection& connection) {
  if (!attempt_ended_ && !relay_peer_ && connection.sent_any()) {
    owner_.OnLetGo(*this);
  }
  attempt_ended_ = true;
}

void Exchange::ReturnToOwner(
    const std::shared_ptr<http::ClientConnection>& connection) {
  owner_.OnReleased(*this, std::exchange(charge_, {}), connection);
}

void Exchange::End(EventId id, std::vector<EventField> fields) {
  stage_.Finish();
  timer_.cancel();
  CancelHedge();
  fields.push_back(
      {"took_ms", MillisecondText(MonotonicNow() - request_.request.arrived)});
  fields.push_back({"attempts", std::to_string(attempts_)});
  owner_.Log(id, *this, std::move(fields));
  owner_.Forget(shared_from_this());
}

}  // namespace rattanward::proxy
