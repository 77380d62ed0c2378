#include "rattanward/load/caller.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "rattanward/http/message.h"

namespace rattanward::load {
namespace {

using Json = nlohmann::json;

constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kReadTimeout = std::chrono::seconds(60);
constexpr int kHttpOk = 200;
constexpr std::string_view kEventTerminator = "\n\n";
constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";

/// Parses a verdict; unknown or empty text gives kMayHaveRun.
Verdict ParseVerdict(const std::string& text) {
  if (text == ToString(Verdict::kNotRun)) {
    return Verdict::kNotRun;
  }
  return text == ToString(Verdict::kRan) ? Verdict::kRan : Verdict::kMayHaveRun;
}

/// Makes a prompt that starts differently for each index and is padded to the
/// configured size.
std::string MakePrompt(const CallerLoad& load, std::uint32_t prompt_index) {
  std::string text = "case " + std::to_string(prompt_index) + " of " +
                     load.request_class.str() + ": ";
  text.resize(std::max<std::size_t>(load.prompt_bytes, text.size()), 'x');
  return text;
}

std::string MakeRequestBody(const Scenario& scenario, const CallerLoad& load,
                            const PlannedRequest& planned) {
  if (!load.service.empty()) {
    return Json({{"case", planned.prompt_index}}).dump();
  }
  const Json message = {{"role", "user"},
                        {"content", MakePrompt(load, planned.prompt_index)}};
  return Json({{"model", scenario.model.str()},
               {"stream", load.streamed},
               {"max_tokens", planned.output_tokens},
               {"messages", Json::array({message})}})
      .dump();
}

/// Error code of an error body or error event; -1 if there is none.
int ParseErrorCode(const Json& json) {
  const Json error = json.is_object() ? json.value("error", Json()) : Json();
  return error.is_object() ? error.value("code", -1) : -1;
}

}  // namespace

std::uint32_t StreamReader::Feed(std::string_view bytes) {
  const std::uint32_t tokens_before = tokens_;
  buffer_ += bytes;
  std::size_t start = 0;
  for (std::size_t end = buffer_.find(kEventTerminator);
       end != std::string::npos; end = buffer_.find(kEventTerminator, start)) {
    const std::size_t data = buffer_.find(kDataField, start);
    if (data < end) {
      HandleEvent(buffer_.substr(data + kDataField.size(),
                                 end - data - kDataField.size()));
    }
    start = end + kEventTerminator.size();
  }
  buffer_.erase(0, start);
  return tokens_ - tokens_before;
}

void StreamReader::HandleEvent(const std::string& data) {
  invalid_ = invalid_ || done_;  // no event may follow the end marker
  if (data == kDoneMarker) {
    done_ = true;
    return;
  }
  const Json json = Json::parse(data, nullptr, false);
  if (json.is_object() && json.contains("error")) {
    error_ = ParseErrorCode(json);
    verdict_ = ParseVerdict(json["error"].value("verdict", std::string()));
    return;
  }
  if (!json.is_object() || !json.contains("choices")) {
    invalid_ = true;
    return;
  }
  const Json delta = json["choices"].at(0).value("delta", Json::object());
  if (delta.contains("content")) {
    ++tokens_;
    CheckToken(delta["content"].get<std::string>());
  }
}

void StreamReader::CheckToken(const std::string& content) {
  if (!request_.empty() &&
      content != request_ + ":" + std::to_string(tokens_) + " ") {
    invalid_ = true;
  }
}

/// State of one request while it is in progress.
struct Caller::Exchange {
  const CallerLoad& load;
  std::size_t plan_index;
  std::string body;
  CallRecord record;
  /// Time from the planned moment to the latest token.
  Duration last_token{0};

  void RecordTokens(Duration now, std::uint32_t tokens) {
    if (tokens > 0 && !record.first_token) {
      record.first_token = now;
    }
    record.tokens += tokens;
    last_token = tokens > 0 ? now : last_token;
  }

  void Finish(Duration now) {
    record.total = now;
    if (record.tokens > 1) {
      record.between_tokens =
          (last_token - *record.first_token) / (record.tokens - 1);
    }
  }
};

Caller::Caller(const Scenario& scenario, std::vector<Endpoint> entries,
               Clock::time_point start)
    : scenario_(scenario), entries_(std::move(entries)), start_(start) {}

Duration Caller::ElapsedSince(Duration planned) const {
  return std::chrono::duration_cast<Duration>(Clock::now() - start_) - planned;
}

CallRecord Caller::Call(const PlannedRequest& planned,
                        std::size_t plan_index) const {
  const CallerLoad& load = scenario_.callers[planned.caller_index];
  Exchange exchange{
      load, plan_index, MakeRequestBody(scenario_, load, planned), {}, {}};
  exchange.record.planned = planned;
  exchange.record.lateness = ElapsedSince(planned.at);
  exchange.record.outcome = CallOutcome::kNoConnection;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (Send(exchange, entries_[(plan_index + i) % entries_.size()])) {
      break;
    }
  }
  exchange.Finish(ElapsedSince(planned.at));
  return exchange.record;
}

namespace {

/// Makes the request without its body. The request id is the scenario's name
/// and the index in the plan; calls of services use it as idempotency key too.
httplib::Request MakeRequest(const CallerLoad& load, std::size_t plan_index,
                             const std::string& name) {
  httplib::Request request;
  request.method = "POST";
  request.path = load.service.empty()
                     ? "/v1/chat/completions"
                     : "/services/" + load.service.str() + "/assign";
  request.set_header("Authorization", "Bearer " + load.key);
  request.set_header("Content-Type", "application/json");
  request.set_header("X-Request-Class", load.request_class.str());
  const std::string id = name + "-" + std::to_string(plan_index);
  request.set_header("X-Request-Id", id);
  if (!load.service.empty()) {
    request.set_header("Idempotency-Key", id);
  }
  return request;
}

/// Whether the connection could not be established, so nothing was sent.
bool IsConnectFailure(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout;
}

/// Fills the record of a complete answer that isn't streamed. Services' answers
/// have no token count, so it is checked for completions only.
void RecordBufferedAnswer(const std::string& body, bool service, Duration now,
                          CallRecord& record) {
  record.outcome = CallOutcome::kComplete;
  record.verdict = Verdict::kRan;
  record.first_token = now;
  if (service) {
    return;
  }
  const Json json = Json::parse(body, nullptr, false);
  const bool has_usage = json.is_object() && json.contains("usage");
  record.tokens = has_usage ? json["usage"].value("completion_tokens", 0U) : 0;
  record.wrong_answer = record.tokens != record.planned.output_tokens;
}

/// Fills the record of a streamed answer after its connection has ended.
void RecordStreamedAnswer(const StreamReader& reader, CallRecord& record) {
  record.wrong_answer = reader.invalid();
  record.verdict = reader.verdict();
  if (reader.error() != 0) {
    record.outcome = CallOutcome::kError;
    record.error = reader.error();
  } else if (reader.done()) {
    record.outcome = CallOutcome::kComplete;
    record.wrong_answer =
        reader.invalid() || record.tokens != record.planned.output_tokens;
  } else {
    record.outcome = CallOutcome::kInterrupted;
  }
}

/// Fills the record of an answer with an HTTP status other than 200.
void RecordErrorAnswer(const httplib::Response& answer, const std::string& body,
                       CallRecord& record) {
  record.outcome = CallOutcome::kError;
  record.error = ParseErrorCode(Json::parse(body, nullptr, false));
  record.verdict =
      ParseVerdict(answer.get_header_value("X-Rattanward-Verdict"));
}

}  // namespace

bool Caller::Send(Exchange& exchange, const Endpoint& entry) const {
  httplib::Client client(entry.address, entry.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kReadTimeout);
  client.set_tcp_nodelay(true);
  httplib::Request request =
      MakeRequest(exchange.load, exchange.plan_index, scenario_.name);
  request.body = exchange.body;
  CallRecord& record = exchange.record;
  httplib::Response response_head;
  StreamReader reader("");
  std::string body;
  const bool streamed = exchange.load.service.empty() && exchange.load.streamed;
  request.response_handler = [&](const httplib::Response& answer) {
    response_head.status = answer.status;
    response_head.headers = answer.headers;
    reader = StreamReader(answer.get_header_value("X-Rattanward-Request"));
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    if (streamed && response_head.status == kHttpOk) {
      exchange.RecordTokens(ElapsedSince(record.planned.at),
                            reader.Feed({data, size}));
    } else {
      body.append(data, size);
    }
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool completed = client.send(request, response, error);
  if (!completed && IsConnectFailure(error)) {
    return false;
  }
  if (streamed && response_head.status == kHttpOk) {
    RecordStreamedAnswer(reader, record);
  } else if (!completed || !http::IsStatus(response_head.status)) {
    record.outcome = CallOutcome::kInterrupted;
    record.verdict = Verdict::kMayHaveRun;
  } else if (response_head.status == kHttpOk) {
    RecordBufferedAnswer(body, !exchange.load.service.empty(),
                         ElapsedSince(record.planned.at), record);
  } else {
    RecordErrorAnswer(response_head, body, record);
  }
  return true;
}

}  // namespace rattanward::load
