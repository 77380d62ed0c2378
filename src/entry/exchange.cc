#include "rattanward/entry/exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
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
  ExchangeRun(EntryCore& core, const ExchangePlan& plan,
              std::shared_ptr<AnswerChannel> channel)
      : core_(core), plan_(plan), channel_(std::move(channel)) {}

  /// Runs one attempt; its report has gone to the core when this returns.
  AttemptResult Attempt(const StartAttempt& start) {
    if (plan_.guard) {
      if (const Status claimed = plan_.guard->BeforeSend(); !claimed) {
        return Abandon(start, claimed.error());
      }
    }
    AttemptResult result = plan_.shape == AnswerShape::kService
                               ? Service(start)
                               : Completion(start);
    result.output_tokens = tokens_;
    result.answer_begun = begun_;
    verdict_ = Strongest(verdict_, result.verdict);
    result.error.verdict = verdict_;
    return result;
  }

  /// Whether no attempt may have run.
  bool never_ran() const { return verdict_ == Verdict::kNotRun; }

 private:
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
    const AttemptResult result = attempt.RunWhole(answer);
    if (result.end == AttemptEnd::kCompleted) {
      Deliver(answer);
    }
    return result;
  }

  AttemptResult Completion(const StartAttempt& start) {
    UpstreamAttempt attempt(start, plan_.request, plan_.silence, channel_);
    CompletionBuilder builder;
    tokens_ = 0;
    bool malformed = false;
    AttemptResult result = attempt.RunStream([&](const StreamPieces& pieces) {
      if (tokens_ == 0) {
        core_.FirstToken(plan_.info.id);
      }
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
    if (malformed) {
      result.end = AttemptEnd::kBroken;
      result.verdict = Verdict::kRan;
      result.error = MakeError(ErrorCode::kUpstreamMalformed,
                               "the upstream's event is not a chunk of a "
                               "completion",
                               Verdict::kRan);
    } else if (result.end == AttemptEnd::kCompleted &&
               plan_.shape == AnswerShape::kWholeCompletion) {
      Deliver(builder.Build(plan_.info.id, tokens_));
    }
    return result;
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
      plan_.guard->Finished(answer);
    }
    channel_->Push(answer);
  }

  EntryCore& core_;
  const ExchangePlan& plan_;
  std::shared_ptr<AnswerChannel> channel_;
  std::uint32_t tokens_ = 0;
  bool begun_ = false;
  Verdict verdict_ = Verdict::kNotRun;
};

}  // namespace

void RunExchange(EntryCore& core, const ExchangePlan& plan,
                 DecisionMailbox& mailbox, StartAttempt first,
                 const std::shared_ptr<AnswerChannel>& channel) {
  ExchangeRun run(core, plan, channel);
  StartAttempt start = std::move(first);
  while (true) {
    const AttemptResult result = run.Attempt(start);
    core.Finish(result);
    if (result.end == AttemptEnd::kCompleted ||
        result.end == AttemptEnd::kCallerLeft) {
      return;
    }
    policy::Decision decision = mailbox.Wait();
    if (const auto* refuse = std::get_if<policy::Refuse>(&decision)) {
      if (plan.guard && run.never_ran()) {
        plan.guard->NeverRan();
      }
      channel->Push(refuse->error);
      return;
    }
    start = std::get<StartAttempt>(std::move(decision));
  }
}

}  // namespace rattanward::entry
