#include "rattanward/entry/exchange.h"

#include <algorithm>
#include <utility>

namespace rattanward::entry {
namespace {

using policy::AttemptEnd;
using policy::AttemptResult;
using policy::StartAttempt;

/// A caller that leaves more than this untaken is waited for.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

/// Whether an event carries a piece of the answer, not only its end.
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
    attempt_->CallerLeft();
  } else if (core_.Cancel(plan_.info.id)) {
    Conclude(true);
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
  if (const auto* answer = std::get_if<BufferedResponse>(&permission)) {
    stored_response_ = *answer;
    AbandonAttempt(AttemptEnd::kAbandoned,
                   MakeError(ErrorCode::kAlreadyRan,
                             "the request has run before", Verdict::kRan));
  } else if (const auto* error = std::get_if<Error>(&permission)) {
    AbandonAttempt(AttemptEnd::kAbandoned, *error);
  } else if (const auto closed = GateError()) {
    // Taking the claim took time; an unsent claim is released at the end.
    AbandonAttempt(AttemptEnd::kAbandoned, *closed);
  } else {
    SendAttempt();
  }
}

void Exchange::SendAttempt() {
  if (caller_left_) {
    AbandonAttempt(AttemptEnd::kCallerLeft,
                   MakeError(ErrorCode::kCallerGone, "the caller has left"));
    return;
  }
  attempt_ = std::make_shared<UpstreamAttempt>(core_.context(), start_,
                                               plan_.request, plan_.silence);
  // Held weakly: this exchange owns the attempt.
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto ended = [weak](const AttemptResult& result) {
    if (const auto self = weak.lock()) {
      self->AttemptEnded(result);
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

/// Asked right before the first byte, so that a process that was frozen since
/// the decision notices it. A shutdown lets taken requests end.
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
  if (attempt_ && answer_.buffered() > kMaxBufferedBytes) {
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
  if (last) {
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

/// The request ended with a whole answer or because its caller left.
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

/// The request is refused without having been sent anywhere.
void Exchange::Shed(const Error& error) {
  SettleGuard(nullptr);
  recorder_.Shed(plan_.info, error);
  answer_.Fail(error);
  NotifyEnd();
}

/// The request ended without an answer of its own.
void Exchange::Fail(const Error& error) {
  SettleGuard(nullptr);
  if (stored_response_) {
    // The same key has run before: its caller gets that answer.
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

/// Settles the claim of a request that may run at most once, if it has one.
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
