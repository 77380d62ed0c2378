#include <doctest/doctest.h>
#include <httplib.h>

#include <filesystem>
#include <sstream>
#include <string>
#include <thread>

#include "rattanward/adapter/config_text.h"
#include "rattanward/load/caller.h"
#include "rattanward/load/report.h"
#include "rattanward/load/scenario.h"

namespace rattanward::load {
namespace {

constexpr const char* kScenarioText = R"(name = "steady"
model = "small"
duration_s = 60
warmup_s = 10
max_requests = 5000

[[callers]]
class = "gate"
key = "some-key"
requests_per_minute = 600
output_tokens_median = 40
output_tokens_p95 = 160
output_tokens_max = 400
first_token_target_ms = 500

[[callers.bursts]]
at_s = 20
duration_s = 10
requests_per_minute = 1200
)";

Scenario ParseTestScenario() {
  const auto scenario = ParseScenario(kScenarioText, "s.toml");
  REQUIRE_MESSAGE(scenario.has_value(), scenario.error().message);
  return scenario.value();
}

/// A request with a complete answer. Its send time planned_s is relative to the
/// start of the run.
CallRecord MakeCompleteRecord(int planned_s, int first_ms,
                              std::uint32_t tokens) {
  CallRecord record;
  record.planned.at = std::chrono::seconds(planned_s);
  record.planned.output_tokens = tokens;
  record.outcome = CallOutcome::kComplete;
  record.first_token = std::chrono::milliseconds(first_ms);
  record.tokens = tokens;
  return record;
}

/// Server-sent event with one token.
std::string TokenEvent(const std::string& content) {
  return "data: {\"choices\":[{\"delta\":{\"content\":\"" + content +
         "\"}}]}\n\n";
}

/// HTTP server that streams two tokens for each chat completion, and answers
/// 503 if the bearer token isn't "some-key".
class FakeEntry {
 public:
  FakeEntry() {
    server_.Post("/v1/chat/completions", [](const auto& request, auto& answer) {
      if (request.get_header_value("Authorization") != "Bearer some-key") {
        answer.status = 503;
        answer.set_header("X-Rattanward-Verdict", "not-run");
        answer.set_content("{\"error\":{\"code\":2001}}", "application/json");
        return;
      }
      answer.set_header("X-Rattanward-Request", "r1");
      answer.set_content(
          TokenEvent("r1:1 ") + TokenEvent("r1:2 ") + "data: [DONE]\n\n",
          "text/event-stream");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~FakeEntry() {
    server_.stop();
    thread_.join();
  }
  FakeEntry(const FakeEntry&) = delete;
  FakeEntry& operator=(const FakeEntry&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", static_cast<std::uint16_t>(port_)};
  }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace

TEST_CASE("a plan is determined by the seed and follows the rates and limits") {
  const Scenario scenario = ParseTestScenario();
  const auto plan = PlanArrivals(scenario);
  CHECK(plan == PlanArrivals(scenario));
  // Expected: 600 requests from the base rate and 200 from the burst.
  CHECK(plan.size() == doctest::Approx(800).epsilon(0.15));
  std::size_t in_burst = 0;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    CHECK((i == 0 || plan[i - 1].at <= plan[i].at));
    CHECK(plan[i].output_tokens >= 1);
    CHECK(plan[i].output_tokens <= 400);
    in_burst += plan[i].at >= std::chrono::seconds(20) &&
                        plan[i].at < std::chrono::seconds(30)
                    ? 1
                    : 0;
  }
  CHECK(in_burst == doctest::Approx(300).epsilon(0.2));
  Scenario bounded = scenario;
  bounded.max_requests = 10;
  CHECK(PlanArrivals(bounded).size() == 10);
}

TEST_CASE("scenario errors name the setting") {
  const std::string text(kScenarioText);
  const auto unknown = ParseScenario(text + "rate = 1\n", "s.toml");
  REQUIRE(unknown.has_error());
  CHECK(unknown.error().message.find("callers[0].bursts[0].rate") !=
        std::string::npos);
  CHECK(ParseScenario("name = \"x\"", "s.toml").has_error());
}

TEST_CASE("the scenarios in bench/scenarios are valid") {
  const std::string folder =
      std::string(RATTANWARD_SOURCE_DIR) + "/bench/scenarios";
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const auto text = adapter::ReadTextFile(file.path().string());
    const auto scenario =
        ParseScenario(text.value(), file.path().filename().string());
    CHECK_MESSAGE(scenario.has_value(), scenario.error().message);
    ++count;
  }
  CHECK(count >= 3);
}

TEST_CASE("a report contains attainment, goodput and wasted tokens") {
  const Scenario scenario = ParseTestScenario();
  CallRecord rejected = MakeCompleteRecord(30, 0, 0);
  rejected.outcome = CallOutcome::kError;
  rejected.first_token.reset();
  CallRecord interrupted = MakeCompleteRecord(31, 100, 7);
  interrupted.outcome = CallOutcome::kInterrupted;
  interrupted.verdict = Verdict::kRan;
  const std::vector<CallRecord> records = {
      MakeCompleteRecord(5, 100, 50), MakeCompleteRecord(20, 400, 40),
      MakeCompleteRecord(21, 600, 30), rejected, interrupted};
  const LoadReport report = MakeReport(scenario, "standard", records, {140, 1});
  REQUIRE(report.classes.size() == 1);
  const ClassReport& gate = report.classes[0];
  CHECK(gate.sent == 4);
  CHECK(gate.whole == 2);
  CHECK(gate.met == 1);
  CHECK(gate.not_run == 1);
  CHECK(gate.broken == 1);
  CHECK(gate.Attainment() == doctest::Approx(0.25));
  CHECK(gate.first_token_p50 == std::chrono::milliseconds(400));
  CHECK(gate.first_token_p99 == std::chrono::milliseconds(600));
  CHECK(report.GoodputTokensPerSecond() == doctest::Approx(40.0 / 50.0));
  CHECK(report.wasted_tokens == 20);
  std::istringstream table(ToTable(report));
  for (std::string line; std::getline(table, line);) {
    CHECK_MESSAGE(line.size() <= 40, line);
  }
  CHECK(ToJson(report).find("\"wasted_tokens\":20") != std::string::npos);
}

TEST_CASE("a streamed answer is parsed for any split into two parts") {
  const std::string text =
      TokenEvent("r1:1 ") + TokenEvent("r1:2 ") + "data: [DONE]\n\n";
  for (std::size_t split = 1; split < text.size(); ++split) {
    StreamReader reader("r1");
    const std::uint32_t tokens =
        reader.Feed(text.substr(0, split)) + reader.Feed(text.substr(split));
    CHECK(tokens == 2);
    CHECK(reader.done());
    CHECK_FALSE(reader.invalid());
  }
}

TEST_CASE("a foreign, missing or repeated token makes an answer invalid") {
  for (const std::string& text :
       {TokenEvent("r2:1 "), TokenEvent("r1:2 "),
        TokenEvent("r1:1 ") + TokenEvent("r1:1 "),
        "data: [DONE]\n\n" + TokenEvent("r1:1 "), std::string("data: x\n\n")}) {
    StreamReader reader("r1");
    reader.Feed(text);
    CHECK_MESSAGE(reader.invalid(), text);
  }
  StreamReader reader("r1");
  reader.Feed("data: {\"error\":{\"code\":3005,\"verdict\":\"ran\"}}\n\n");
  CHECK(reader.error() == 3005);
  CHECK(reader.verdict() == Verdict::kRan);
}

TEST_CASE("a call skips an unreachable entry and records the outcome") {
  const FakeEntry entry;
  Scenario scenario = ParseTestScenario();
  const auto start = Caller::Clock::now();
  const Endpoint unreachable{"127.0.0.1", 1};
  const Caller caller(scenario, {unreachable, entry.endpoint()}, start);
  const CallRecord complete = caller.Call({Duration(0), 0, 2, 0}, 0);
  CHECK(complete.outcome == CallOutcome::kComplete);
  CHECK(complete.tokens == 2);
  CHECK_FALSE(complete.wrong_answer);
  const CallRecord too_short = caller.Call({Duration(0), 0, 3, 0}, 0);
  CHECK(too_short.wrong_answer);
  scenario.callers[0].key = "other";
  const CallRecord refused = caller.Call({Duration(0), 0, 2, 0}, 1);
  CHECK(refused.outcome == CallOutcome::kError);
  CHECK(refused.error == 2001);
  CHECK(refused.verdict == Verdict::kNotRun);
  const Caller unreachable_only(scenario, {unreachable}, start);
  CHECK(unreachable_only.Call({Duration(0), 0, 2, 0}, 0).outcome ==
        CallOutcome::kNoConnection);
}

}  // namespace rattanward::load
