#include "rattanward/entry/exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;
using policy::AttemptEnd;
using policy::AttemptResult;
using policy::StartAttempt;

/// Builds the whole answer of a completion from the events of its stream.
class CompletionBuilder {
 public:
  /// @return False if an event is not the JSON that the shape demands.
  bool Add(const std::string& event) {
    const Json chunk = Json::parse(event, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices") ||
        !chunk["choices"].is_array() || chunk["choices"].empty()) {
      return false;
    }
    const Json& choice = chunk["choices"][0];
    const Json delta = choice.value("delta", Json::object());
    if (delta.contains("content") && delta["content"].is_string()) {
      content_ += delta["content"].get<std::string>();
    }
    if (choice.contains("finish_reason") &&
        choice["finish_reason"].is_string()) {
      finish_reason_ = choice["finish_reason"].get<std::string>();
    }
    model_ = chunk.value("model", model_);
    return true;
  }

  WholeAnswer Build(const RequestId& id, std::uint32_t tokens) const {
    const Json message = {{"role", "assistant"}, {"content", content_}};
    const Json choice = {
        {"index", 0}, {"message", message}, {"finish_reason", finish_reason_}};
    const Json body = {{"id", id.str()},
                       {"object", "chat.completion"},
                       {"model", model_},
                       {"choices", Json::array({choice})},
                       {"usage", {{"completion_tokens", tokens}}}};
    constexpr int kOk = 200;
    return WholeAnswer{kOk, "application/json", body.dump()};
  }

 private:
  std::string content_;
  std::string finish_reason_ = "stop";
  std::string model_;
};

/// Whether an event carries a piece of the answer, not only its end.
bool HasContent(const std::string& event) {
  return event.find("\"content\":\"") != std::string::npos;
}

class ExchangeRun {
 public:
  ExchangeRun(EntryCore& core, const RequestRecorder& recorder,
              const ExchangePlan& plan, std::shared_ptr<AnswerChannel> channel)
      : core_(core),
        recorder_(recorder),
        plan_(plan),
        channel_(std::move(channel)) {}

  /// Runs one attempt; the report is the caller's to hand to the core.
  AttemptResult Attempt(const StartAttempt& start) {
    recorder_.Dispatched(plan_.info, start);
    if (const auto error = BarBeforeSend()) {
      return Abandon(start, *error);
    }
    tokens_ = 0;
    AttemptResult result = plan_.shape == AnswerShape::kService
                               ? Service(start)
                               : Completion(start);
    result.output_tokens = tokens_;
    result.answer_begun = begun_;
    summary_.verdict = Strongest(summary_.verdict, result.verdict);
    result.error.verdict = summary_.verdict;
    if (result.end != AttemptEnd::kCompleted) {
      summary_.wasted_tokens += tokens_;
    }
    return result;
  }

  /// The request ended with a whole answer or because its caller left.
  void Conclude(const AttemptResult& last) {
    const bool left = last.end == AttemptEnd::kCallerLeft || channel_->left();
    summary_.outcome =
        left ? adapter::Outcome::kCallerLeft : adapter::Outcome::kAnswered;
    summary_.output_tokens = last.output_tokens;
    if (left && plan_.guard && last.end == AttemptEnd::kCallerLeft) {
      plan_.guard->Ended(summary_.verdict, nullptr);
    }
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
  }

  /// The request ended without an answer of its own.
  void Fail(const Error& error) {
    if (plan_.guard) {
      plan_.guard->Ended(summary_.verdict, nullptr);
    }
    if (stored_) {
      // The same key has run before: its caller gets that answer.
      summary_.verdict = Verdict::kRan;
      NoteFirstTokenTime();
      recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
      channel_->Push(*stored_);
      return;
    }
    summary_.outcome = adapter::Outcome::kFailed;
    summary_.error = error;
    recorder_.Ended(plan_.info, summary_, plan_.first_token_target);
    channel_->Push(error);
  }

 private:
  /// Why this attempt must not be sent.
  std::optional<Error> BarBeforeSend() {
    if (auto closed = GateError()) {
      return closed;
    }
    if (!plan_.guard) {
      return std::nullopt;
    }
    SendPermission permission = plan_.guard->BeforeSend();
    if (std::holds_alternative<MaySend>(permission)) {
      // Taking the claim took time; an unsent claim is released at the end.
      return GateError();
    }
    if (auto* answer = std::get_if<WholeAnswer>(&permission)) {
      stored_ = std::move(*answer);
      return MakeError(ErrorCode::kAlreadyRan, "the request has run before",
                       Verdict::kRan);
    }
    return std::get<Error>(permission);
  }

  /// Asked right before the first byte, so that a process that was frozen
  /// since the decision notices it. A shutdown lets taken requests end.
  std::optional<Error> GateError() const {
    const Status open = core_.MayStart();
    if (open || open.error().code == ErrorCode::kShuttingDown) {
      return std::nullopt;
    }
    return open.error();
  }

  AttemptResult Abandon(const StartAttempt& start, const Error& error) {
    AttemptResult result;
    result.request = plan_.info.id;
    result.attempt = start.attempt;
    result.end = AttemptEnd::kAbandoned;
    result.verdict = Verdict::kNotRun;
    result.error = error;
    return result;
  }

  AttemptResult Service(const StartAttempt& start) {
    UpstreamAttempt attempt(start, plan_.request, plan_.silence, channel_);
    WholeAnswer answer;
    AttemptResult result = attempt.RunWhole(answer);
    if (result.end == AttemptEnd::kCompleted) {
      NoteFirstToken();
      Deliver(answer);
    }
    return result;
  }

  AttemptResult Completion(const StartAttempt& start) {
    UpstreamAttempt attempt(start, plan_.request, plan_.silence, channel_);
    CompletionBuilder builder;
    bool malformed = false;
    AttemptResult result = attempt.RunStream([&](const StreamPieces& pieces) {
      NoteFirstToken();
      tokens_ += static_cast<std::uint32_t>(std::count_if(
          pieces.events.begin(), pieces.events.end(), HasContent));
      if (plan_.shape == AnswerShape::kEventStream) {
        return Relay(pieces);
      }
      for (const std::string& event : pieces.events) {
        malformed = malformed || !builder.Add(event);
      }
      return !malformed && !channel_->left();
    });
    if (attempt.resumes() > 0) {
      recorder_.Resumed(plan_.info);
    }
    if (malformed) {
      result.end = AttemptEnd::kBroken;
      result.verdict = Verdict::kRan;
      result.error = MakeError(
          ErrorCode::kUpstreamMalformed,
          "the upstream's event is not a chunk of a completion", Verdict::kRan);
    } else if (result.end == AttemptEnd::kCompleted &&
               plan_.shape == AnswerShape::kWholeCompletion) {
      Deliver(builder.Build(plan_.info.id, tokens_));
    }
    return result;
  }

  void NoteFirstTokenTime() {
    if (!summary_.first_token) {
      summary_.first_token = EntryCore::Now();
    }
  }

  void NoteFirstToken() {
    if (!summary_.first_token) {
      NoteFirstTokenTime();
      core_.FirstToken(plan_.info.id);
    }
  }

  bool Relay(const StreamPieces& pieces) {
    bool there = true;
    if (!begun_) {
      begun_ = true;
      there = channel_->Push(AnswerBegin{});
    }
    for (const std::string& event : pieces.events) {
      there = there && channel_->Push(AnswerEvent{event});
    }
    if (there && pieces.done) {
      there = channel_->Push(AnswerEnd{});
    }
    return there;
  }

  void Deliver(const WholeAnswer& answer) {
    if (plan_.guard) {
      plan_.guard->Ended(Verdict::kRan, &answer);
    }
    channel_->Push(answer);
  }

  EntryCore& core_;
  const RequestRecorder& recorder_;
  const ExchangePlan& plan_;
  std::shared_ptr<AnswerChannel> channel_;
  RequestSummary summary_;
  std::optional<WholeAnswer> stored_;
  std::uint32_t tokens_ = 0;
  bool begun_ = false;
};

}  // namespace

void RunExchange(EntryCore& core, const RequestRecorder& recorder,
                 const ExchangePlan& plan, DecisionMailbox& mailbox,
                 StartAttempt first,
                 const std::shared_ptr<AnswerChannel>& channel) {
  ExchangeRun run(core, recorder, plan, channel);
  StartAttempt start = std::move(first);
  while (true) {
    const AttemptResult result = run.Attempt(start);
    core.Finish(result);
    if (result.end == AttemptEnd::kCompleted ||
        result.end == AttemptEnd::kCallerLeft) {
      run.Conclude(result);
      return;
    }
    policy::Decision decision = mailbox.Wait();
    if (const auto* refuse = std::get_if<policy::Refuse>(&decision)) {
      run.Fail(refuse->error);
      return;
    }
    start = std::get<StartAttempt>(std::move(decision));
  }
}

}  // namespace rattanward::entry
