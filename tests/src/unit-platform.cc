#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/settings.h"
#include "platform/wire.h"
#include "rattanward/adapter/asio_timer_service.h"

namespace rattanward::platform {
namespace {

constexpr const char* kConfiguration = R"({"version":7,
 "routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","route_kind":"streaming",
   "timeout_ms":12000,"slo_ms":2500,"priority":2,
   "split":[{"service":"s","weight":90},{"service":"t","weight":10}],
   "max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,
   "gap_slo_ms":600},
  {"name":"r2","host":"a.example","path_prefix":"/y/",
   "route_kind":"idempotent","timeout_ms":6000,"service":"t"}],
 "services":[
  {"name":"s","max_connections":370,"engine":{"slots":64,
   "kv_capacity_tokens":507885,"stride":3}},
  {"name":"t","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"u","api_keys":["k1","k2"],"priority":1}]})";

constexpr const char* kHeartbeat = R"({"service":"s",
 "address":"10.1.0.9:8080","zone":"z","version":"v1","slots":48,
 "state":"ready","sequence":4,"born":1700000000000})";

nlohmann::json ParseJson(const char* text) {
  return nlohmann::json::parse(text);
}

http::RequestHead MakeCallerHead() {
  http::RequestHead head;
  head.method = "POST";
  head.target = "/x/1?q=2";
  head.fields.Add("Host", "a.example");
  head.fields.Add("X-Attempt-Id", "id1");
  head.fields.Add("X-Deadline-Ms", "8000");
  head.fields.Add("X-Token-Usage", "1460,80");
  head.fields.Add("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410, e4402b7d:250");
  head.fields.Add("Authorization", "Bearer key1");
  head.fields.Add("X-Tenant", "forged");
  head.fields.Add("X-Hold", "forged");
  head.fields.Add("Kv-From", "forged");
  head.fields.Add("Connection", "keep-alive, X-Mine");
  head.fields.Add("X-Mine", "1");
  head.fields.Add("X-Model", "m");
  return head;
}

}  // namespace

TEST_CASE("a valid configuration is decoded") {
  const auto decoded = DecodeConfiguration(kConfiguration);
  REQUIRE(decoded.has_value());
  const RoutingDeclaration& declaration = decoded.value();
  CHECK(declaration.version == ConfigVersion{7});
  REQUIRE(declaration.routes.size() == 2);
  CHECK(declaration.routes[0].kind == RouteKind::kStream);
  CHECK(declaration.routes[0].gap_target == std::chrono::milliseconds(600));
  CHECK(declaration.routes[0].split.size() == 2);
  CHECK(declaration.routes[1].split[0].service == ServiceName("t"));
  CHECK(declaration.services[0].engine->tokens_per_event == 3);
  CHECK(declaration.accounts[0].rank == 1U);
  CHECK(declaration.limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("a configuration truncated at any byte is rejected") {
  const std::string whole = kConfiguration;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    REQUIRE_FALSE(DecodeConfiguration(whole.substr(0, size)).has_value());
  }
}

TEST_CASE("a configuration with an invalid field is rejected") {
  const std::vector<std::pair<const char*, nlohmann::json>> invalid_cases = {
      {"/version", "seven"},
      {"/version", -1},
      {"/routes", 3},
      {"/routes/0/timeout_ms", 0},
      {"/routes/0/timeout_ms", "12000"},
      {"/routes/0/route_kind", "sometimes"},
      {"/routes/0/split/0/service", "none"},
      {"/routes/0/split", nlohmann::json::array()},
      {"/routes/1/path_prefix", "/x/"},
      {"/routes/1/host", 5},
      {"/tenants/0/api_keys", "k1"},
      {"/tenants/0/weight", 0},
      {"/tenants/0/weight", -0.5}};
  for (const auto& invalid_case : invalid_cases) {
    const char* where = invalid_case.first;
    nlohmann::json object = ParseJson(kConfiguration);
    object[nlohmann::json::json_pointer(where)] = invalid_case.second;
    CAPTURE(where);
    CHECK_FALSE(DecodeConfiguration(object.dump()).has_value());
  }
}

TEST_CASE("an optional part of a configuration may be absent, null or empty") {
  enum class Read { kAsAbsent, kInvalid, kEmptyAccounts, kDefaults };
  struct Case {
    const char* where;
    Read null;
    Read empty_list;
    Read empty_object;
  };
  const std::vector<Case> cases = {
      {"/tenants", Read::kAsAbsent, Read::kEmptyAccounts, Read::kInvalid},
      {"/limits", Read::kAsAbsent, Read::kInvalid, Read::kAsAbsent},
      {"/limits/idle_timeout_ms", Read::kAsAbsent, Read::kInvalid,
       Read::kInvalid},
      {"/services/0/engine", Read::kAsAbsent, Read::kInvalid, Read::kDefaults},
      {"/routes/1/slo_ms", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/routes/1/gap_slo_ms", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/routes/1/priority", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/routes/1/split", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/routes/1/anonymous", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/tenants/0/priority", Read::kAsAbsent, Read::kInvalid, Read::kInvalid},
      {"/tenants/0/weight", Read::kAsAbsent, Read::kInvalid, Read::kInvalid}};
  for (const Case& c : cases) {
    CAPTURE(c.where);
    const nlohmann::json::json_pointer where(c.where);
    nlohmann::json without = ParseJson(kConfiguration);
    if (without.contains(where)) {
      without.at(where.parent_pointer()).erase(where.back());
    }
    const auto absent = DecodeConfiguration(without.dump());
    REQUIRE(absent.has_value());
    const auto check = [&](const nlohmann::json& value, Read expected) {
      nlohmann::json with = without;
      with[where] = value;
      CAPTURE(with.at(where).dump());
      const auto decoded = DecodeConfiguration(with.dump());
      CHECK(decoded.has_value() == (expected != Read::kInvalid));
      if (expected == Read::kAsAbsent) {
        CHECK(decoded.value() == absent.value());
      } else if (expected == Read::kEmptyAccounts) {
        CHECK(decoded.value().accounts.empty());
        CHECK(decoded.value().needs_keys);
      } else if (expected == Read::kDefaults) {
        CHECK(decoded.value() != absent.value());
      }
    };
    check(nullptr, c.null);
    check(nlohmann::json::array(), c.empty_list);
    check(nlohmann::json::object(), c.empty_object);
  }
}

TEST_CASE("keys are needed exactly if a configuration has tenants") {
  nlohmann::json object = ParseJson(kConfiguration);
  CHECK(DecodeConfiguration(object.dump()).value().needs_keys);
  object.erase("tenants");
  CHECK_FALSE(DecodeConfiguration(object.dump()).value().needs_keys);
}

TEST_CASE("unknown fields of a configuration are ignored") {
  nlohmann::json object = ParseJson(kConfiguration);
  object["new"] = 1;
  object["routes"][0]["new"] = nlohmann::json::object();
  CHECK(DecodeConfiguration(object.dump()).has_value());
}

TEST_CASE("a valid heartbeat is decoded into an instance record") {
  const auto record = DecodeHeartbeat("i-1", kHeartbeat);
  REQUIRE(record.has_value());
  CHECK(record.value().id == UpstreamId("i-1"));
  CHECK(record.value().stamp == membership::InstanceStamp{1700000000000, 4});
  CHECK(record.value().endpoint == Endpoint{"10.1.0.9", 8080});
  CHECK(record.value().slots == 48);
}

TEST_CASE("a heartbeat with an invalid or missing field is rejected") {
  const std::vector<std::pair<const char*, nlohmann::json>> invalid_cases = {
      {"state", "resting"}, {"sequence", "4"},       {"sequence", -1},
      {"slots", "many"},    {"address", "10.1.0.9"}, {"address", 5},
      {"zone", nullptr},    {"born", "yesterday"},   {"born", 1.5},
      {"service", ""}};
  for (const auto& invalid_case : invalid_cases) {
    const char* field = invalid_case.first;
    nlohmann::json object = ParseJson(kHeartbeat);
    object[field] = invalid_case.second;
    CAPTURE(field);
    CHECK_FALSE(DecodeHeartbeat("i-1", object.dump()).has_value());
  }
  for (const char* field :
       {"service", "address", "zone", "state", "sequence"}) {
    nlohmann::json object = ParseJson(kHeartbeat);
    object.erase(field);
    CAPTURE(field);
    CHECK_FALSE(DecodeHeartbeat("i-1", object.dump()).has_value());
  }
  CHECK_FALSE(DecodeHeartbeat("i-1", "\x80\xff").has_value());
  CHECK_FALSE(DecodeHeartbeat("i-1", "[]").has_value());
}

TEST_CASE("the start time in a deregistration is optional") {
  CHECK(DecodeBorn(R"({"born":12})") == 12U);
  CHECK_FALSE(DecodeBorn("").has_value());
  CHECK_FALSE(DecodeBorn(R"({"born":"x"})").has_value());
}

TEST_CASE("header fields of a caller request are decoded") {
  const proxy::RequestTraits traits =
      PlatformDialect().ReadRequest(MakeCallerHead());
  CHECK(traits.attempt == AttemptId("id1"));
  CHECK(traits.key == "key1");
  CHECK(traits.deadline == std::chrono::seconds(8));
  CHECK(traits.prompt_tokens == 1460);
  CHECK(traits.max_output_tokens == 80);
  CHECK(traits.expected_output_tokens == 0);
  REQUIRE(traits.prompt.size() == 3);
  CHECK(traits.prompt[2] == policy::PromptPart{0xe4402b7d, 250});
}

TEST_CASE("the caller's estimate of the length is optional") {
  const auto estimate = [](const char* text) {
    http::RequestHead head;
    head.fields.Add("X-Length-Hint", text);
    return PlatformDialect().ReadRequest(head).expected_output_tokens;
  };
  CHECK(estimate("120") == 120);
  CHECK(estimate(" 120 ") == 120);
  CHECK(estimate("") == 0);
  CHECK(estimate("-1") == 0);
  CHECK(estimate("many") == 0);
  CHECK(estimate("99999999999") == 0);
}

TEST_CASE("a deadline of any size is a valid time from now on") {
  for (const char* text :
       {"86400001", "9223372036854775", "9223372036854775807"}) {
    CAPTURE(text);
    http::RequestHead head;
    head.fields.Add("X-Deadline-Ms", text);
    const auto deadline = PlatformDialect().ReadRequest(head).deadline;
    REQUIRE(deadline.has_value());
    CHECK(*deadline >= std::chrono::hours(24));
    CHECK(adapter::MonotonicNow() + *deadline > adapter::MonotonicNow());
  }
}

TEST_CASE(
    "an upstream request has the caller's fields and the system's, but no API "
    "key and no forged fields") {
  proxy::ForwardingInfo info;
  info.left = std::chrono::milliseconds(1500);
  info.expected = UpstreamId("i-1");
  info.account = ClientAccountId("u");
  info.rank = 12;
  info.by_prefix = true;
  const http::RequestHead head =
      PlatformDialect().MakeUpstreamRequest(MakeCallerHead(), info, 5);
  const auto value = [&](const char* name) {
    const std::string* found = head.fields.Find(name);
    return found == nullptr ? std::string("-") : *found;
  };
  CHECK(head.target == "/x/1?q=2");
  CHECK(value("X-Attempt-Id") == "id1");
  CHECK(value("X-Prefix-Hash") == "5c1e07a2:800,91bd3f06:410, e4402b7d:250");
  CHECK(value("X-Model") == "m");
  CHECK(value("X-Deadline-Ms") == "1500");
  CHECK(value("X-Tenant") == "u");
  CHECK(value("X-Expect-Instance") == "i-1");
  CHECK(value("X-Request-Priority") == "9");
  CHECK(value("Content-Length") == "5");
  CHECK(value("Authorization") == "-");
  CHECK(value("X-Hold") == "-");
  CHECK(value("Kv-From") == "-");
  CHECK(value("X-Mine") == "-");
}

TEST_CASE("without a client account the caller's X-Tenant is removed") {
  const http::RequestHead head =
      PlatformDialect().MakeUpstreamRequest(MakeCallerHead(), {}, 0);
  CHECK(head.fields.Find("X-Tenant") == nullptr);
}

TEST_CASE(
    "response fields tell whether it matches the attempt, is signed, and was "
    "not executed") {
  const PlatformDialect dialect;
  http::ResponseHead head;
  head.fields.Add("X-Attempt-Id", "id1");
  CHECK(dialect.ReadResponse(head, AttemptId("id1")).matches_request);
  CHECK_FALSE(dialect.ReadResponse(head, AttemptId("id2")).matches_request);
  CHECK_FALSE(dialect.ReadResponse(head, AttemptId("id1")).has_signature);
  head.fields.Add("X-Server-Signature", "s");
  CHECK(dialect.ReadResponse(head, AttemptId("id1")).has_signature);
  head.status = 503;
  CHECK_FALSE(dialect.ReadResponse(head, AttemptId("id1")).not_run);
  head.fields.Add("X-Not-Executed", "1");
  CHECK(dialect.ReadResponse(head, AttemptId("id1")).not_run);
}

TEST_CASE("what an upstream says of itself in an answer is decoded") {
  const PlatformDialect dialect;
  http::ResponseHead head;
  head.status = 200;
  head.fields.Set("Server-Leaving", "1");
  head.fields.Set("Retry-After", "3");
  const auto leaving = dialect.ReadResponse(head, AttemptId("id1"));
  CHECK(leaving.leaving);
  CHECK_FALSE(leaving.backoff_for);  // Only a 503 asks for back-off.
  head.fields.Set("Server-Leaving", "0");
  head.status = 503;
  struct Case {
    const char* text;
    Duration backoff;
  };
  const std::vector<Case> cases = {
      {"3", std::chrono::seconds(3)},
      {" 0.25 ", std::chrono::milliseconds(250)},
      {"0", Duration(0)},
      {"99999999999999999999", std::chrono::hours(24)},
      // A date or a malformed value stands for a second.
      {"Fri, 04 Dec 2026 11:00:00 GMT", std::chrono::seconds(1)},
      {"-1", std::chrono::seconds(1)},
      {"nan", std::chrono::seconds(1)},
      {"1e9", std::chrono::seconds(1)},
      {"", std::chrono::seconds(1)}};
  for (const Case& one : cases) {
    CAPTURE(one.text);
    head.fields.Set("Retry-After", one.text);
    const auto traits = dialect.ReadResponse(head, AttemptId("id1"));
    CHECK_FALSE(traits.leaving);
    CHECK(traits.backoff_for == one.backoff);
  }
}

TEST_CASE("a caller that takes a stream up is recognized") {
  http::RequestHead head = MakeCallerHead();
  CHECK_FALSE(PlatformDialect().ReadRequest(head).resumes_stream);
  head.fields.Set("Last-Event-Id", "7");
  head.fields.Set("Resumes", "id0");
  const auto traits = PlatformDialect().ReadRequest(head);
  CHECK(traits.resumes_stream);
  CHECK(traits.resumed_attempt == AttemptId("id0"));
}

TEST_CASE("the limit that an upstream names in an answer is decoded") {
  const PlatformDialect dialect;
  http::ResponseHead head;
  head.status = 200;
  CHECK_FALSE(dialect.ReadResponse(head, AttemptId("id1")).limit);
  CHECK_FALSE(dialect.ReadResponse(head, AttemptId("id1")).limit_malformed);
  struct Case {
    const char* text;
    std::optional<RequestRate> limit;
  };
  const std::vector<Case> cases = {
      {"1", RequestRate{1000}},
      {" 0.25 ", RequestRate{250}},
      {"0", RequestRate{0}},
      {"12.3456", RequestRate{12346}},
      {"1e3", std::nullopt},
      {"-1", std::nullopt},
      {"", std::nullopt},
      {"nan", std::nullopt},
      {"99999999999999999999", RequestRate{1'000'000'000'000}}};
  for (const Case& one : cases) {
    CAPTURE(one.text);
    head.fields.Set("Server-Limit", one.text);
    const auto traits = dialect.ReadResponse(head, AttemptId("id1"));
    CHECK(traits.limit == one.limit);
    CHECK(traits.limit_malformed == !one.limit);
  }
}

TEST_CASE("a rejection limit is read, and never as none") {
  struct Case {
    const char* text;
    std::optional<std::uint32_t> read;
  };
  for (const Case& one : {Case{"3", 3}, Case{" 1 ", 1}, Case{"0", 1},
                          Case{"many", std::nullopt}}) {
    CAPTURE(one.text);
    http::ResponseHead head;
    head.status = 200;
    head.fields.Set("Server-Brittle", one.text);
    const auto traits = PlatformDialect().ReadResponse(head, AttemptId("a"));
    CHECK(traits.rejection_limit == one.read);
    CHECK(traits.limit_malformed == !one.read.has_value());
  }
}

TEST_CASE("a valid settings file is decoded") {
  const auto settings = DecodeSettings(R"({"node_name":"edge-1","role":"entry",
   "zone":"z","ip":"10.1.0.40","listen":{"front":"10.1.0.40:8227",
   "ready":"10.1.0.40:8220"},"internal_ports":[7340,7355],
   "seeds":["10.1.0.43:8229","10.2.0.31:8229"],"first_start":true,
   "limits":{"memory_mb":260,"max_fds":4100},"data_dir":null,
   "heartbeat_ms":1200,"fault_tolerance":{"machines":2},
   "bounds":{"revoke_ms":5000,"strict_revoke":true,"grace_s":8,
   "retry_budget_ratio":0.2,"retry_slack":58,"retry_window_s":10},
   "unknown":[1]})");
  REQUIRE(settings.has_value());
  CHECK(settings.value().callers == Endpoint{"10.1.0.40", 8227});
  CHECK(settings.value().control.port == 0);
  CHECK(settings.value().peer_listen == Endpoint{"10.1.0.40", 7340});
  CHECK(settings.value().seeds[1] == Endpoint{"10.2.0.31", 7340});
  CHECK(settings.value().tolerated_losses == 2);
  CHECK(settings.value().retries.window == std::chrono::seconds(10));
  CHECK_FALSE(DecodeSettings("{").has_value());
  CHECK_FALSE(DecodeSettings("{}").has_value());
}

TEST_CASE("the contracts tell whether engines fail beyond their memory") {
  const std::string text = R"({"node_name":"edge-1","role":"entry",
   "zone":"z","ip":"10.1.0.40","listen":{},"internal_ports":[7340],
   "seeds":[],"limits":{"memory_mb":260,"max_fds":4100},
   "fault_tolerance":{"machines":2},"bounds":{})";
  CHECK_FALSE(DecodeSettings(text + "}").value().limits_memory);
  CHECK_FALSE(
      DecodeSettings(text + R"(,"contracts":["base"]})").value().limits_memory);
  CHECK(DecodeSettings(text + R"(,"contracts":["base","pressure"]})")
            .value()
            .limits_memory);
}

}  // namespace rattanward::platform
