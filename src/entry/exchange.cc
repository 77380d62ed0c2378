#include "rattanward/entry/exchange.h"

#include <algorithm>
#include <utility>

#include "rattanward/policy/stop_error.h"

namespace rattanward::entry {
namespace {

using policy::AttemptEnd;
using policy::AttemptResult;
using policy::StartAttempt;

/// Reading from the upstream pauses while more bytes than this are queued for
/// sending to the caller.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

/// Whether an event carries content. Events that only report the end of the
/// completion do not.
bool HasContent(const std::string& event) {
  return event.find("\"content\":\"") != std::string::npos;
}

}  // namespace

Exchange::Exchange(EntryCore& core, const RequestRecorder& recorder,
                   ExchangePlan plan, CallerAnswer answer, EndCallback on_end)
    : core_(core),
      recorder_(recorder),
      plan_(std::move(plan)),
      answer_(std::move(answer)),
      on_end_(std::move(on_end)) {}

void Exchange::Start() {
  recorder_.Arrived(plan_.info);
  core_.Submit(plan_.info,
               [self = shared_from_this()](const policy::Decision& decision) {
                 self->HandleDecision(decision);
               });
}

void Exchange::CallerLeft() {
  caller_left_ = true;
  if (ended_ || claim_pending_) {
    return;
  }
  const auto self = shared_from_this();
  if (attempt_) {
    attempt_->Cancel();
  } else if (core_.Cancel(plan_.info.id)) {
    Conclude(true);
  }
}

void Exchange::CutShort() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  cut_short_ = true;
  if (attempt_) {
    attempt_->Cancel();
  } else if (claim_pending_) {
    AbandonAttempt(AttemptEnd::kCallerLeft,
                   policy::StopError(Verdict::kNotRun));
  } else {
    core_.Drop(plan_.info.id);
    ConcludeCut();
  }
}

void Exchange::CallerDrained() {
  if (paused_ && attempt_) {
    paused_ = false;
    attempt_->Resume();
  }
}

void Exchange::HandleDecision(const policy::Decision& decision) {
  if (const auto* start = std::get_if<StartAttempt>(&decision)) {
    BeginAttempt(*start);
    return;
  }
  const Error& error = std::get<policy::Refuse>(decision).error;
  if (caller_left_) {
    Conclude(true);
  } else if (MayRelay(error)) {
    Relay();
  } else if (attempted_) {
    Fail(error);
  } else {
    Shed(error);
  }
}

void Exchange::BeginAttempt(const StartAttempt& start) {
  start_ = start;
  attempted_ = true;
  tokens_ = 0;
  recorder_.Dispatched(plan_.info, start);
  if (const auto closed = GateError()) {
    AbandonAttempt(AttemptEnd::kAbandoned, *closed);
  } else if (plan_.guard) {
    claim_pending_ = true;
    plan_.guard->BeforeSend(
        [self = shared_from_this()](const SendPermission& permission) {
          self->HandlePermission(permission);
        });
  } else {
    SendAttempt();
  }
}

void Exchange::HandlePermission(const SendPermission& permission) {
  claim_pending_ = false;
  if (ended_) {
    return;
  }
  if (const auto* answer = std::get_if<BufferedResponse>(&permission)) {
    stored_response_ = *answer;
    AbandonAttempt(
        AttemptEnd::kAbandoned,
        MakeError(ErrorCode::kAlreadyRan,
                  "a request with this idempotency key has already run",
                  Verdict::kRan));
  } else if (const auto* error = std::get_if<Error>(&permission)) {
    AbandonAttempt(AttemptEnd::kAbandoned, *error);
  } else if (const auto closed = GateError()) {
    // Checked again, because acquiring the claim took time. The unsent claim is
    // released when the exchange ends.
    AbandonAttempt(AttemptEnd::kAbandoned, *closed);
  } else {
    SendAttempt();
  }
}

void Exchange::SendAttempt() {
  if (caller_left_) {
    AbandonAttempt(AttemptEnd::kCallerLeft,
                   MakeError(ErrorCode::kCallerGone,
                             "the caller disconnected before the request was "
                             "sent to an upstream"));
    return;
  }
  attempt_ = std::make_shared<UpstreamAttempt>(
      core_.context(), start_, plan_.request, plan_.silence,
      MakeCallTimerFactory(core_.context()));
  // A weak pointer avoids a reference cycle: this exchange owns the attempt.
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto ended = [weak](const AttemptResult& result) {
    if (const auto self = weak.lock()) {
      self->AttemptEnded(result);
    }
  };
  attempt_->on_leaving = [weak, upstream = start_.upstream] {
    if (const auto self = weak.lock()) {
      self->core_.MarkLeaving(upstream);
    }
  };
  attempt_->on_limit = [weak, upstream = start_.upstream](
                           const std::optional<RequestRate>& named) {
    if (const auto self = weak.lock()) {
      self->core_.dispatcher().ReadLimit(upstream, named, EntryCore::Now());
    }
  };
  attempt_->on_extra_request = [weak, upstream = start_.upstream] {
    if (const auto self = weak.lock()) {
      self->core_.dispatcher().RecordExtraRequest(upstream, EntryCore::Now());
    }
  };
  if (plan_.shape == AnswerShape::kService) {
    attempt_->RunServiceCall(ended);
    return;
  }
  completion_ = CompletionBuilder();
  attempt_->RunStream(
      [weak](const StreamBatch& batch) {
        const auto self = weak.lock();
        return self && self->HandleStreamBatch(batch);
      },
      ended);
}

/// Checked immediately before the first byte is sent, so that a process that
/// was suspended after the decision does not send with an expired lease. A
/// shutdown does not stop requests that were already accepted.
std::optional<Error> Exchange::GateError() const {
  const Status open = core_.MayStart();
  if (open || open.error().code == ErrorCode::kShuttingDown) {
    return std::nullopt;
  }
  return open.error();
}

void Exchange::AbandonAttempt(AttemptEnd end, const Error& error) {
  AttemptResult result;
  result.request = plan_.info.id;
  result.attempt = start_.attempt;
  result.end = end;
  result.verdict = Verdict::kNotRun;
  result.error = error;
  EndAttempt(std::move(result));
}

bool Exchange::HandleStreamBatch(const StreamBatch& batch) {
  RecordFirstToken();
  tokens_ += static_cast<std::uint32_t>(
      std::count_if(batch.events.begin(), batch.events.end(), HasContent));
  if (plan_.shape != AnswerShape::kEventStream) {
    return std::all_of(batch.events.begin(), batch.events.end(),
                       [this](const std::string& event) {
                         return completion_.AddEvent(event);
                       });
  }
  answer_.SendEvents(batch);
  if (attempt_ && answer_.buffered() > answer_.ReadAhead(kMaxBufferedBytes)) {
    paused_ = true;
    attempt_->Pause();
  }
  return true;
}

void Exchange::AttemptEnded(const AttemptResult& result) {
  if (attempt_->resumes() > 0) {
    recorder_.Resumed(plan_.info);
  }
  const std::shared_ptr<UpstreamAttempt> attempt = std::move(attempt_);
  core_.CheckPath(start_.upstream, result.end);
  if (result.end == AttemptEnd::kCompleted) {
    if (plan_.shape == AnswerShape::kService) {
      RecordFirstToken();
      DeliverResponse(attempt->answer());
    } else if (plan_.shape == AnswerShape::kBufferedCompletion) {
      DeliverResponse(completion_.Build(plan_.info.id, tokens_));
    }
  }
  EndAttempt(result);
}

void Exchange::EndAttempt(AttemptResult result) {
  result.output_tokens = tokens_;
  result.answer_begun = answer_.begun();
  summary_.verdict = Strongest(summary_.verdict, result.verdict);
  summary_.output_tokens = tokens_;
  result.error.verdict = summary_.verdict;
  if (result.end != AttemptEnd::kCompleted) {
    summary_.wasted_tokens += tokens_;
  }
  const bool last = result.end == AttemptEnd::kCompleted ||
                    result.end == AttemptEnd::kCallerLeft;
  const auto self = shared_from_this();
  core_.Finish(result);
  if (last && cut_short_) {
    ConcludeCut();
  } else if (last) {
    Conclude(caller_left_);
  }
}

void Exchange::RecordFirstToken() {
  if (!summary_.first_token) {
    summary_.first_token = EntryCore::Now();
    core_.FirstToken(plan_.info.id);
  }
}

void Exchange::DeliverResponse(const BufferedResponse& answer) {
  summary_.verdict = Verdict::kRan;
  SettleGuard(&answer);
  answer_.SendResponse(answer);
}

/// Ends the exchange after a complete response or a caller disconnect.
void Exchange::Conclude(bool caller_left) {
  if (ended_) {
    return;
  }
  summary_.outcome =
      caller_left ? adapter::Outcome::kCallerLeft : adapter::Outcome::kAnswered;
  SettleGuard(nullptr);
  recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
  NotifyEnd();
}

/// Ends an exchange that was cut short.
void Exchange::ConcludeCut() {
  if (caller_left_) {
    Conclude(true);
  } else if (attempted_) {
    Fail(policy::StopError(summary_.verdict));
  } else {
    Shed(policy::StopError(Verdict::kNotRun));
  }
}

/// Whether this entry has no path for a request that surely has not run. A
/// request whose claim was taken is left out: the other entry would find the
/// claim until its release is committed.
bool Exchange::MayRelay(const Error& error) const {
  const bool no_path = error.code == ErrorCode::kNoPath ||
                       error.code == ErrorCode::kUpstreamConnect;
  const bool claimed = attempted_ && plan_.guard;
  return plan_.relay && no_path && !claimed && !answer_.begun() &&
         summary_.verdict == Verdict::kNotRun;
}

void Exchange::Relay() {
  SettleGuard(nullptr);
  const auto relay = std::exchange(plan_.relay, nullptr);
  NotifyEnd();
  relay();
}

/// Ends the exchange of a request that was refused before any attempt.
void Exchange::Shed(const Error& error) {
  SettleGuard(nullptr);
  recorder_.Shed(plan_.info, error);
  answer_.Fail(error);
  NotifyEnd();
}

/// Ends the exchange of a request that failed after at least one attempt was
/// started. Sends the stored response of an earlier run if there is one,
/// otherwise the error.
void Exchange::Fail(const Error& error) {
  SettleGuard(nullptr);
  if (stored_response_) {
    // A request with the same idempotency key has run: replay its response.
    summary_.verdict = Verdict::kRan;
    summary_.first_token = EntryCore::Now();
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
    answer_.SendResponse(*stored_response_);
  } else {
    summary_.outcome = adapter::Outcome::kFailed;
    summary_.error = error;
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
    answer_.Fail(error);
  }
  NotifyEnd();
}

/// Reports the end of the request to its guard, if it has one. Later calls do
/// nothing.
void Exchange::SettleGuard(const BufferedResponse* answer) {
  if (const auto guard = std::exchange(plan_.guard, nullptr)) {
    guard->Ended(summary_.verdict, answer);
  }
}

void Exchange::NotifyEnd() {
  ended_ = true;
  const EndCallback on_end = std::exchange(on_end_, nullptr);
  on_end(shared_from_this());
}

}  // namespace rattanward::entry
