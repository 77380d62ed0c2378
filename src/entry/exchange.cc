#include "rattanward/entry/exchange.h"

#include <algorithm>
#include <utility>

namespace rattanward::entry {
namespace {

using policy::AttemptEnd;
using policy::AttemptResult;
using policy::StartAttempt;

/// A caller that leaves more than this untaken is waited for.
constexpr std::size_t kMaxUntakenBytes = 256U << 10U;

/// Whether an event carries a piece of the answer, not only its end.
bool HasContent(const std::string& event) {
  return event.find("\"content\":\"") != std::string::npos;
}

}  // namespace

Exchange::Exchange(EntryCore& core, const RequestRecorder& recorder,
                   ExchangePlan plan, CallerAnswer answer, OverSink on_over)
    : core_(core),
      recorder_(recorder),
      plan_(std::move(plan)),
      answer_(std::move(answer)),
      on_over_(std::move(on_over)) {}

void Exchange::Start() {
  recorder_.Arrived(plan_.info);
  core_.Submit(plan_.info,
               [self = shared_from_this()](const policy::Decision& decision) {
                 self->Decide(decision);
               });
}

void Exchange::CallerLeft() {
  left_ = true;
  if (over_ || claiming_) {
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

void Exchange::Decide(const policy::Decision& decision) {
  if (const auto* start = std::get_if<StartAttempt>(&decision)) {
    Begin(*start);
    return;
  }
  const Error& error = std::get<policy::Refuse>(decision).error;
  if (left_) {
    Conclude(true);
  } else if (attempted_) {
    Fail(error);
  } else {
    Shed(error);
  }
}

void Exchange::Begin(const StartAttempt& start) {
  start_ = start;
  attempted_ = true;
  tokens_ = 0;
  recorder_.Dispatched(plan_.info, start);
  if (const auto closed = GateError()) {
    Abandon(AttemptEnd::kAbandoned, *closed);
  } else if (plan_.guard) {
    claiming_ = true;
    plan_.guard->BeforeSend(
        [self = shared_from_this()](const SendPermission& permission) {
          self->Permitted(permission);
        });
  } else {
    Send();
  }
}

void Exchange::Permitted(const SendPermission& permission) {
  claiming_ = false;
  if (const auto* answer = std::get_if<WholeAnswer>(&permission)) {
    stored_ = *answer;
    Abandon(AttemptEnd::kAbandoned,
            MakeError(ErrorCode::kAlreadyRan, "the request has run before",
                      Verdict::kRan));
  } else if (const auto* error = std::get_if<Error>(&permission)) {
    Abandon(AttemptEnd::kAbandoned, *error);
  } else if (const auto closed = GateError()) {
    // Taking the claim took time; an unsent claim is released at the end.
    Abandon(AttemptEnd::kAbandoned, *closed);
  } else {
    Send();
  }
}

void Exchange::Send() {
  if (left_) {
    Abandon(AttemptEnd::kCallerLeft,
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
    attempt_->RunWhole(ended);
    return;
  }
  completion_ = CompletionBuilder();
  attempt_->RunStream(
      [weak](const StreamPieces& pieces) {
        const auto self = weak.lock();
        return self && self->TakePieces(pieces);
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

void Exchange::Abandon(AttemptEnd end, const Error& error) {
  AttemptResult result;
  result.request = plan_.info.id;
  result.attempt = start_.attempt;
  result.end = end;
  result.verdict = Verdict::kNotRun;
  result.error = error;
  EndAttempt(std::move(result));
}

bool Exchange::TakePieces(const StreamPieces& pieces) {
  NoteFirstToken();
  tokens_ += static_cast<std::uint32_t>(
      std::count_if(pieces.events.begin(), pieces.events.end(), HasContent));
  if (plan_.shape != AnswerShape::kEventStream) {
    return std::all_of(
        pieces.events.begin(), pieces.events.end(),
        [this](const std::string& event) { return completion_.Add(event); });
  }
  answer_.Events(pieces);
  if (attempt_ && answer_.buffered() > kMaxUntakenBytes) {
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
      NoteFirstToken();
      Deliver(attempt->answer());
    } else if (plan_.shape == AnswerShape::kWholeCompletion) {
      Deliver(completion_.Build(plan_.info.id, tokens_));
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
    Conclude(left_);
  }
}

void Exchange::NoteFirstToken() {
  if (!summary_.first_token) {
    summary_.first_token = EntryCore::Now();
    core_.FirstToken(plan_.info.id);
  }
}

void Exchange::Deliver(const WholeAnswer& answer) {
  summary_.verdict = Verdict::kRan;
  EndGuard(&answer);
  answer_.Whole(answer);
}

/// The request ended with a whole answer or because its caller left.
void Exchange::Conclude(bool left) {
  if (over_) {
    return;
  }
  summary_.outcome =
      left ? adapter::Outcome::kCallerLeft : adapter::Outcome::kAnswered;
  EndGuard(nullptr);
  recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
  Over();
}

/// The request is refused without having been sent anywhere.
void Exchange::Shed(const Error& error) {
  EndGuard(nullptr);
  recorder_.Shed(plan_.info, error);
  answer_.Fail(error);
  Over();
}

/// The request ended without an answer of its own.
void Exchange::Fail(const Error& error) {
  EndGuard(nullptr);
  if (stored_) {
    // The same key has run before: its caller gets that answer.
    summary_.verdict = Verdict::kRan;
    summary_.first_token = EntryCore::Now();
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
    answer_.Whole(*stored_);
  } else {
    summary_.outcome = adapter::Outcome::kFailed;
    summary_.error = error;
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
    answer_.Fail(error);
  }
  Over();
}

/// Settles the claim of a request that may run at most once, if it has one.
void Exchange::EndGuard(const WholeAnswer* answer) {
  if (const auto guard = std::exchange(plan_.guard, nullptr)) {
    guard->Ended(summary_.verdict, answer);
  }
}

void Exchange::Over() {
  over_ = true;
  const OverSink on_over = std::exchange(on_over_, nullptr);
  on_over(shared_from_this());
}

}  // namespace rattanward::entry
