#include <doctest/doctest.h>

#include "rattanward/domain/routing.h"

namespace rattanward {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(1);
  route.split = {{ServiceName("s"), 1}};
  return route;
}

RoutingDeclaration MakeDeclaration() {
  RoutingDeclaration declaration;
  declaration.version = ConfigVersion{1};
  declaration.services = {{ServiceName("s"), 10, std::nullopt},
                          {ServiceName("t"), 10, std::nullopt}};
  declaration.routes = {MakeRoute("a.example", "/x/"),
                        MakeRoute("a.example", "/x/y/"),
                        MakeRoute("b.example", "/")};
  declaration.accounts = {{ClientAccountId("one"), {"k1", "k2"}, 3},
                          {ClientAccountId("two"), {"k3"}, std::nullopt}};
  return declaration;
}

ErrorCode CodeOf(const RoutingDeclaration& declaration) {
  const Status status = Check(declaration);
  REQUIRE_FALSE(status.has_value());
  return status.error().code;
}

}  // namespace

TEST_CASE("a proper declaration is valid") {
  CHECK(Check(MakeDeclaration()).has_value());
}

TEST_CASE("what is invalid is refused by number") {
  auto unknown_service = MakeDeclaration();
  unknown_service.routes[0].split = {{ServiceName("none"), 1}};
  CHECK(CodeOf(unknown_service) == ErrorCode::kInvalidConfig);
  auto same_place = MakeDeclaration();
  same_place.routes[1] = MakeRoute("A.EXAMPLE", "/x/");
  CHECK(CodeOf(same_place) == ErrorCode::kInvalidConfig);
  auto no_weight = MakeDeclaration();
  no_weight.routes[0].split = {{ServiceName("s"), 0}, {ServiceName("t"), 0}};
  CHECK(CodeOf(no_weight) == ErrorCode::kInvalidConfig);
  auto no_timeout = MakeDeclaration();
  no_timeout.routes[0].timeout = Duration::zero();
  CHECK(CodeOf(no_timeout) == ErrorCode::kInvalidConfig);
  auto shared_key = MakeDeclaration();
  shared_key.accounts[1].keys.push_back("k1");
  CHECK(CodeOf(shared_key) == ErrorCode::kInvalidConfig);
  auto no_slash = MakeDeclaration();
  no_slash.routes[0].path_prefix = "/x";
  CHECK(CodeOf(no_slash) == ErrorCode::kInvalidConfig);
  auto twice = MakeDeclaration();
  twice.services.push_back(twice.services.front());
  CHECK(CodeOf(twice) == ErrorCode::kInvalidConfig);
}

TEST_CASE("the longest prefix of the host wins") {
  const RoutingTable table(MakeDeclaration());
  const auto name = [&](const char* host, const char* path) {
    const Route* route = table.FindRoute(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(name("a.example", "/x/1") == "a.example/x/");
  CHECK(name("a.example", "/x/y/1?q=/x/") == "a.example/x/y/");
  CHECK(name("A.Example:80", "/x/yy") == "a.example/x/");
  CHECK(name("a.example", "/x").empty());
  CHECK(name("a.example", "/").empty());
  CHECK(name("b.example", "/any/thing") == "b.example/");
  CHECK(name("c.example", "/").empty());
}

TEST_CASE("accounts are found by each of their keys") {
  const RoutingTable table(MakeDeclaration());
  REQUIRE(table.FindAccount("k2") != nullptr);
  CHECK(table.FindAccount("k2")->id == ClientAccountId("one"));
  CHECK(table.FindAccount("k3")->id == ClientAccountId("two"));
  CHECK(table.FindAccount("") == nullptr);
}

TEST_CASE("where no keys are needed, only a request without one is allowed") {
  auto declaration = MakeDeclaration();
  declaration.routes[0].anonymous = true;
  const auto allowed = [&](std::size_t route, const char* key) {
    const RoutingTable table(declaration);
    return table.IsAllowed(table.declaration().routes[route], key);
  };
  CHECK(allowed(1, "k2"));
  CHECK_FALSE(allowed(1, ""));
  CHECK(allowed(0, ""));
  CHECK(allowed(0, "withdrawn"));
  declaration.needs_keys = false;
  declaration.accounts.clear();
  CHECK(allowed(1, ""));
  CHECK_FALSE(allowed(1, "withdrawn"));
  declaration.needs_keys = true;
  CHECK_FALSE(allowed(1, ""));
}

TEST_CASE("the account's rank goes first, the route's decides among equals") {
  auto declaration = MakeDeclaration();
  declaration.routes[0].rank = 2;
  declaration.routes[1].rank = 0;
  declaration.accounts[0].rank = 1;
  declaration.accounts.push_back({ClientAccountId("three"), {"k4"}, 0});
  const RoutingTable table(declaration);
  const Route& slow = table.declaration().routes[0];
  const Route& urgent = table.declaration().routes[1];
  const RoutedAccount* second = table.FindAccount("k1");
  const RoutedAccount* unranked = table.FindAccount("k3");
  const RoutedAccount* first = table.FindAccount("k4");
  CHECK(table.RankOf(urgent, first) < table.RankOf(slow, first));
  CHECK(table.RankOf(slow, first) < table.RankOf(urgent, second));
  CHECK(table.RankOf(urgent, second) < table.RankOf(slow, second));
  CHECK(table.RankOf(slow, second) < table.RankOf(slow, unranked));
  CHECK(table.RankOf(urgent, unranked) == table.RankOf(urgent, nullptr));
  CHECK(table.RankOf(urgent, first) == 0);
}

TEST_CASE("services are chosen by weight, equally for equal draws") {
  Route route = MakeRoute("a.example", "/x/");
  route.split = {{ServiceName("s"), 3}, {ServiceName("t"), 1}};
  int first = 0;
  for (std::uint64_t draw = 0; draw < 400; ++draw) {
    first += ChooseService(route, draw) == ServiceName("s") ? 1 : 0;
    CHECK(ChooseService(route, draw) == ChooseService(route, draw));
  }
  CHECK(first == 300);
}

}  // namespace rattanward
