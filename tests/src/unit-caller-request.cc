#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/adapter/announcement_json.h"
#include "rattanward/entry/caller_request.h"

namespace rattanward::entry {
namespace {

const std::string kKey = "key-of-the-terminal";

ConfigSnapshot MakeSnapshot() {
  Config config;
  config.models = {ModelName("small")};
  RequestClass gate;
  gate.name = RequestClassName("gate");
  RequestClass booking;
  booking.name = RequestClassName("booking");
  booking.idempotent = false;
  RequestClass hidden;
  hidden.name = RequestClassName("hidden");
  config.classes = {gate, booking, hidden};
  ClientAccount account;
  account.id = ClientAccountId("terminal");
  account.key_sha256 = Sha256Hex(kKey);
  account.classes = {gate.name, booking.name};
  config.accounts = {account};
  config.services = {{ServiceName("plugs"), booking.name, false}};
  return ConfigSnapshot(ConfigVersion{1}, config);
}

http::ServerRequest Post(const std::string& target, const std::string& body) {
  http::ServerRequest request;
  request.head.method = "POST";
  request.head.target = target;
  request.body = std::make_shared<const std::string>(body);
  return request;
}

http::ServerRequest Completion(const std::string& body) {
  return Post("/v1/chat/completions", body);
}

const std::string kValidBody =
    R"({"model":"small","messages":[{"role":"user","content":"x"}]})";

ErrorCode RejectionCode(const http::ServerRequest& request) {
  const ConfigSnapshot config = MakeSnapshot();
  const auto checked = CheckCompletion(config, config.config().accounts[0],
                                       request, RequestId("r-1"));
  REQUIRE_FALSE(checked);
  CHECK(checked.error().verdict == Verdict::kNotRun);
  return checked.error().code;
}

http::ServerRequest WithHeader(const std::string& name,
                               const std::string& value) {
  http::ServerRequest request = Completion(kValidBody);
  request.head.fields.Set(name, value);
  return request;
}

}  // namespace

TEST_CASE("a client account is identified by its bearer key alone") {
  const ConfigSnapshot config = MakeSnapshot();
  http::ServerRequest request = Completion(kValidBody);
  CHECK_FALSE(Authenticate(config, request));
  request.head.fields.Set("Authorization", "Bearer " + kKey);
  REQUIRE(Authenticate(config, request));
  CHECK(Authenticate(config, request).value()->id.str() == "terminal");
  http::ServerRequest wrong = Completion(kValidBody);
  wrong.head.fields.Set("Authorization", "Bearer " + kKey + "x");
  CHECK(Authenticate(config, wrong).error().code == ErrorCode::kUnknownKey);
}

TEST_CASE(
    "an invalid completion request is rejected with the verdict not run") {
  CHECK(RejectionCode(Completion("")) == ErrorCode::kMalformedBody);
  CHECK(RejectionCode(Completion("{\"model\":1}")) ==
        ErrorCode::kMalformedBody);
  CHECK(RejectionCode(Completion(R"({"model":"small","messages":[]})")) ==
        ErrorCode::kMalformedBody);
  CHECK(RejectionCode(Completion(R"({"model":"big","messages":[{}]})")) ==
        ErrorCode::kUnknownModel);
  CHECK(RejectionCode(WithHeader("X-Request-Class", "nothing")) ==
        ErrorCode::kUnknownClass);
  CHECK(RejectionCode(WithHeader("X-Request-Class", "hidden")) ==
        ErrorCode::kClassNotAllowed);
  CHECK(RejectionCode(WithHeader("X-Request-Class", std::string(300, 'x'))) ==
        ErrorCode::kMalformedHeader);
  CHECK(RejectionCode(WithHeader("X-Request-Class", "booking")) ==
        ErrorCode::kIdempotencyKeyRequired);
}

TEST_CASE("a valid completion is planned as a stream from the upstream") {
  const ConfigSnapshot config = MakeSnapshot();
  const auto checked =
      CheckCompletion(config, config.config().accounts[0],
                      Completion(kValidBody), RequestId("r-1"));
  REQUIRE(checked);
  const ExchangePlan& plan = checked.value().plan;
  CHECK(plan.info.request_class.str() == "gate");
  CHECK(plan.shape == AnswerShape::kBufferedCompletion);
  CHECK(plan.request.body.find("\"stream\":true") != std::string::npos);
  CHECK(checked.value().idempotency_key.empty());
}

TEST_CASE("a service call keeps its path and requires an idempotency key") {
  const ConfigSnapshot config = MakeSnapshot();
  const ClientAccount& account = config.config().accounts[0];
  http::ServerRequest request = Post("/services/plugs/assign/7?bay=3", "");
  CHECK(
      CheckServiceCall(config, account, request, RequestId("r")).error().code ==
      ErrorCode::kIdempotencyKeyRequired);
  request.head.fields.Set("Idempotency-Key", "k-1");
  const auto checked =
      CheckServiceCall(config, account, request, RequestId("r"));
  REQUIRE(checked);
  CHECK(checked.value().plan.request.path == "/assign/7?bay=3");
  CHECK(checked.value().idempotency_key.str() == "k-1");
  CHECK_FALSE(checked.value().plan.info.idempotent);
}

TEST_CASE("a silent service call doesn't end before its class's deadline") {
  const std::vector<std::pair<int, int>> deadlines_and_silences = {
      {0, 30}, {12, 30}, {90, 90}};
  for (const auto& [deadline, silence] : deadlines_and_silences) {
    Config config = MakeSnapshot().config();
    config.classes[1].deadline = std::chrono::seconds(deadline);
    http::ServerRequest request = Post("/services/plugs/assign/7", "");
    request.head.fields.Set("Idempotency-Key", "k-1");
    const auto checked =
        CheckServiceCall(ConfigSnapshot(ConfigVersion{1}, config),
                         config.accounts[0], request, RequestId("r"));
    REQUIRE(checked);
    CHECK(checked.value().plan.silence == std::chrono::seconds(silence));
  }
}

TEST_CASE(
    "announcements round-trip through JSON; malformed ones are rejected") {
  Announcement announcement;
  announcement.instance = UpstreamId("engine-1");
  announcement.sequence = 7;
  announcement.endpoint = {"127.0.0.1", 9001};
  announcement.failure_domain = FailureDomain("a");
  announcement.models = {ModelName("small")};
  announcement.capacity = 8;
  announcement.load = {3, 1, 250, 41};
  announcement.draining = true;
  announcement.not_run_statuses = {429, 503};
  const std::string json = adapter::AnnouncementToJson(announcement);
  REQUIRE(adapter::AnnouncementFromJson(json));
  CHECK(adapter::AnnouncementFromJson(json).value() == announcement);
  for (const std::string body :
       {"", "[]", "{}", "{\"instance\":\"\"}",
        "{\"instance\":\"x\",\"sequence\":-1,\"kind\":\"service\"}"}) {
    const auto read = adapter::AnnouncementFromJson(body);
    REQUIRE_FALSE(read);
    CHECK(read.error().code == ErrorCode::kMalformedBody);
  }
}

}  // namespace rattanward::entry
