#include <doctest/doctest.h>

#include <string>

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

httplib::Request Completion(const std::string& body) {
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = body;
  return request;
}

const std::string kGood =
    R"({"model":"small","messages":[{"role":"user","content":"x"}]})";

ErrorCode CodeOf(const httplib::Request& request) {
  const ConfigSnapshot config = MakeSnapshot();
  const auto checked = CheckCompletion(config, config.config().accounts[0],
                                       request, RequestId("r-1"));
  REQUIRE_FALSE(checked);
  CHECK(checked.error().verdict == Verdict::kNotRun);
  return checked.error().code;
}

httplib::Request WithHeader(const std::string& name, const std::string& value) {
  httplib::Request request = Completion(kGood);
  request.set_header(name, value);
  return request;
}

}  // namespace

TEST_CASE("a client account is known by its key alone") {
  const ConfigSnapshot config = MakeSnapshot();
  httplib::Request request;
  CHECK_FALSE(Authenticate(config, request));
  request.set_header("Authorization", "Bearer " + kKey);
  REQUIRE(Authenticate(config, request));
  CHECK(Authenticate(config, request).value()->id.str() == "terminal");
  httplib::Request wrong;
  wrong.set_header("Authorization", "Bearer " + kKey + "x");
  CHECK(Authenticate(config, wrong).error().code == ErrorCode::kUnknownKey);
}

TEST_CASE("a completion is checked before anything else happens") {
  CHECK(CodeOf(Completion("")) == ErrorCode::kMalformedBody);
  CHECK(CodeOf(Completion("{\"model\":1}")) == ErrorCode::kMalformedBody);
  CHECK(CodeOf(Completion(R"({"model":"small","messages":[]})")) ==
        ErrorCode::kMalformedBody);
  CHECK(CodeOf(Completion(R"({"model":"big","messages":[{}]})")) ==
        ErrorCode::kUnknownModel);
  CHECK(CodeOf(WithHeader("X-Request-Class", "nothing")) ==
        ErrorCode::kUnknownClass);
  CHECK(CodeOf(WithHeader("X-Request-Class", "hidden")) ==
        ErrorCode::kClassNotAllowed);
  CHECK(CodeOf(WithHeader("X-Request-Class", std::string(300, 'x'))) ==
        ErrorCode::kMalformedHeader);
  CHECK(CodeOf(WithHeader("X-Request-Class", "booking")) ==
        ErrorCode::kIdempotencyKeyRequired);
}

TEST_CASE("a checked completion is planned as a stream to the upstream") {
  const ConfigSnapshot config = MakeSnapshot();
  const auto checked = CheckCompletion(config, config.config().accounts[0],
                                       Completion(kGood), RequestId("r-1"));
  REQUIRE(checked);
  const ExchangePlan& plan = checked.value().plan;
  CHECK(plan.info.request_class.str() == "gate");
  CHECK(plan.shape == AnswerShape::kWholeCompletion);
  CHECK(plan.request.body.find("\"stream\":true") != std::string::npos);
  CHECK(checked.value().idempotency_key.empty());
}

TEST_CASE("a service call keeps its path and needs a key") {
  const ConfigSnapshot config = MakeSnapshot();
  const ClientAccount& account = config.config().accounts[0];
  httplib::Request request;
  request.method = "POST";
  request.path = "/services/plugs/assign/7";
  request.target = request.path + "?bay=3";
  CHECK(
      CheckServiceCall(config, account, request, RequestId("r")).error().code ==
      ErrorCode::kIdempotencyKeyRequired);
  request.set_header("Idempotency-Key", "k-1");
  const auto checked =
      CheckServiceCall(config, account, request, RequestId("r"));
  REQUIRE(checked);
  CHECK(checked.value().plan.request.path == "/assign/7?bay=3");
  CHECK(checked.value().idempotency_key.str() == "k-1");
  CHECK_FALSE(checked.value().plan.info.idempotent);
}

TEST_CASE("an announcement survives its JSON, and bad ones are named") {
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
