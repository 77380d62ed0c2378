#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "fakes/proxy_entry.h"
#include "platform/scaling_terms.h"
#include "platform/wire.h"
#include "rattanward/control/scaling_orders.h"
#include "rattanward/policy/need_history.h"
#include "rattanward/policy/prompt_meter.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Configuration(const std::string& scaling) {
  return R"({"version":1,"routes":[],"services":[{"name":"s","scaling":)" +
         scaling + "}]}";
}

ErrorCode CodeOf(const std::string& scaling) {
  const auto decoded = platform::DecodeConfiguration(Configuration(scaling));
  REQUIRE_FALSE(decoded.has_value());
  return decoded.error().code;
}

membership::InstanceRecord Spot(const std::string& id, std::uint64_t sequence) {
  membership::InstanceRecord record;
  record.id = UpstreamId(id);
  record.stamp = {1, sequence};
  record.service = ServiceName("s");
  record.failure_domain = FailureDomain("a");
  record.spot = true;
  return record;
}

}  // namespace

TEST_CASE("terms of scaling are decoded") {
  const auto decoded = platform::DecodeConfiguration(Configuration(
      R"({"min":1,"max":70,"boot_s":4.5,"spot_price":0.18,
          "zone_prices":{"a":1.0,"b":0.8},"dry_run":true,
          "pinned":{"b":{"regular":3,"spot":4}}})"));
  REQUIRE(decoded.has_value());
  const ScalingTerms terms = *decoded.value().services[0].scaling;
  CHECK(terms.min == 1);
  CHECK(terms.max == 70);
  CHECK(terms.boot == milliseconds(4500));
  CHECK(terms.spot_price == 0.18);
  CHECK(terms.prices.at(FailureDomain("b")) == 0.8);
  CHECK(terms.dry_run);
  CHECK(terms.pinned.at(FailureDomain("b")) == PinnedUpstreams{3, 4});
}

// Failure: terms that contradict themselves lead to orders.
TEST_CASE("terms of scaling are refused by number") {
  CHECK(CodeOf(R"({"min":3,"max":2})") == ErrorCode::kScalingBounds);
  CHECK(CodeOf(R"({"max":10001})") == ErrorCode::kScalingBounds);
  CHECK(CodeOf(R"({"max":2,"boot_s":-1})") == ErrorCode::kScalingTerms);
  CHECK(CodeOf(R"({"max":2,"boot_s":1e300})") == ErrorCode::kScalingTerms);
  CHECK(CodeOf(R"({"max":2,"spot_price":-0.1})") == ErrorCode::kScalingTerms);
  CHECK(CodeOf(R"({"max":2,"zone_prices":{"a":-1}})") ==
        ErrorCode::kScalingTerms);
  CHECK(CodeOf(R"({"max":2,"pinned":{"a":{"spot":3}}})") ==
        ErrorCode::kScalingPin);
  CHECK(CodeOf(R"({"min":1})") == ErrorCode::kInvalidConfig);
  CHECK(CodeOf(R"({"max":-1})") == ErrorCode::kInvalidConfig);
  CHECK(CodeOf(R"({"max":4294967297})") == ErrorCode::kInvalidConfig);
  CHECK(CodeOf("[]") == ErrorCode::kInvalidConfig);
}

// Failure: an upstream that is being reclaimed counts as capacity, or each of
// its heartbeats is pushed to every entry.
TEST_CASE("a registration tells of spot upstreams and their reclaim") {
  const auto record = platform::DecodeHeartbeat(
      "u", R"({"service":"s","address":"1.2.3.4:5","zone":"a","born":1,
               "state":"draining","sequence":7,"slots":4,"spot":true,
               "leaves_ms":1500})");
  REQUIRE(record.has_value());
  CHECK(record.value().spot);
  CHECK(record.value().leaves_in == milliseconds(1500));
  using Change = membership::InstanceDirectory::Change;
  membership::InstanceDirectory directory;
  const TimePoint now;
  directory.Merge(Spot("u", 6), now);
  CHECK(directory.Merge(record.value(), now) == Change::kChanged);
  membership::InstanceRecord later = record.value();
  later.stamp.sequence = 8;
  later.leaves_in = milliseconds(500);
  CHECK(directory.Merge(later, now) == Change::kRefreshed);
  CHECK(directory.Find(UpstreamId("u"))->leaves_in == milliseconds(500));
}

TEST_CASE("records and reports keep the new fields on their way") {
  protocol::EntryReport report;
  report.demand = {{ServiceName("s"), 1, 2, 3, 4, 5}};
  CHECK(protocol::Decode<protocol::EntryReport>(protocol::Encode(report))
            .value() == report);
  protocol::InstancePush push{1, {Spot("u", 1)}, {}};
  push.records[0].leaves_in = seconds(1);
  CHECK(protocol::Decode<protocol::InstancePush>(protocol::Encode(push))
            .value() == push);
}

TEST_CASE("the scarcest resource decides how many upstreams are needed") {
  const policy::UpstreamCapacity capacity{10, 1000, 100};
  policy::ServiceDemand demand;
  demand.running = 50;
  demand.waiting = 10;
  CHECK(policy::NeededUpstreams(demand, capacity) == doctest::Approx(10));
  demand.reserved_tokens = 14'000;
  CHECK(policy::NeededUpstreams(demand, capacity) == doctest::Approx(20));
  demand.prompt_tokens_per_s = 2000;
  CHECK(policy::NeededUpstreams(demand, capacity) == doctest::Approx(40));
  CHECK(policy::NeededUpstreams(demand, {10, 0, 0}) == doctest::Approx(10));
}

TEST_CASE("prompt tokens are metered as sent and as read") {
  policy::PromptMeter meter;
  const ServiceName s("s");
  const TimePoint now(std::chrono::hours(1));
  meter.RecordSent(s, 300, now);
  meter.RecordSent(s, 200, now + milliseconds(500));
  CHECK(meter.TokensPerSecond(s, now + milliseconds(900)) == 500);
  CHECK(meter.TokensPerSecond(s, now + milliseconds(1900)) == 500);
  CHECK(meter.TokensPerSecond(s, now + milliseconds(2100)) == 0);
  meter.RecordRead(s, 4000, milliseconds(200), now);
  meter.RecordRead(s, 4000, milliseconds(800), now);
  meter.RecordRead(s, 100, milliseconds(1), now);
  CHECK(meter.ReadTokensPerSecond(s, now + seconds(20)) == 20'000);
  CHECK(meter.ReadTokensPerSecond(s, now + seconds(90)) == 0);
}

// Failure: an outstanding order hides that its upstreams were reclaimed.
TEST_CASE("an order counts until its upstreams are there or reclaimed") {
  RoutedService service;
  service.name = ServiceName("s");
  service.scaling = ScalingTerms{};
  service.scaling->boot = seconds(4);
  control::ScalingOrders orders;
  TimePoint now;
  membership::InstanceRecord record = Spot("u", 1);
  orders.Count(service, {record}, now);
  const policy::ScalingTarget target{FailureDomain("a"), true, 1, 3,
                                     policy::ScalingReason::kDemand};
  CHECK(orders.Begin(target) == 3);
  CHECK_FALSE(orders.MayOrder(target, now));
  orders.End(target, control::DutyResult::kAccepted, now);
  CHECK(orders.Pools(now)[0].spot.expected == 3);
  SUBCASE("reclaimed") {
    record.state = membership::InstanceState::kDraining;
    record.leaves_in = seconds(1);
    orders.Count(service, {record}, now);
    CHECK(orders.Pools(now)[0].spot.expected == 0);
  }
  SUBCASE("not seen in time") {
    now += seconds(7);
    orders.Count(service, {record}, now);
    CHECK(orders.Pools(now)[0].spot.expected == 1);
  }
  SUBCASE("silent upstreams are still counted by the platform") {
    record.silent = true;
    orders.Count(service, {record}, now + seconds(7));
    CHECK(orders.Pools(now)[0].spot.live == 0);
    CHECK(orders.Begin(target) == 4);
  }
}

// Failure: control plans by a demand that entries don't report.
TEST_CASE("an entry reports what runs and waits") {
  fakes::ProxyEntry entry;
  RoutingDeclaration declaration = fakes::MakeDeclaration();
  declaration.version = ConfigVersion{2};
  declaration.services[0].scaling = ScalingTerms{};
  entry.data_path->SetRouting(
      std::make_shared<const RoutingTable>(declaration));
  entry.data_path->ConfirmRouting(adapter::MonotonicNow(), ConfigVersion{2},
                                  std::chrono::hours(1));
  const auto caller = entry.ConnectCaller();
  caller->Send(fakes::MakeRequest("/safe/x", "1"));
  CHECK(entry.RunUntil([&] {
    const auto demand = entry.data_path->Demand();
    return demand.size() == 1 && demand[0].waiting == 1;
  }));
  entry.AddUpstream([](const auto&...) {});
  CHECK(entry.RunUntil([&] {
    const auto demand = entry.data_path->Demand();
    return demand[0].running == 1 && demand[0].waiting == 0;
  }));
}

}  // namespace rattanward
