#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "rattanward/adapter/config_text.h"
#include "rattanward/adapter/settings.h"

namespace rattanward::adapter {
namespace {

std::string Example(const std::string& name) {
  return std::string(RATTANWARD_SOURCE_DIR) + "/examples/" + name;
}

Config LoadExample(const std::string& name) {
  const auto text = ReadTextFile(Example(name));
  REQUIRE_MESSAGE(text.has_value(), text.error().message);
  const auto config = ParseConfigText(text.value(), name);
  REQUIRE_MESSAGE(config.has_value(), config.error().message);
  return config.value();
}

}  // namespace

TEST_CASE("the example declarations load") {
  for (const char* name : {"enchufe-frio.toml", "tuul.toml"}) {
    CAPTURE(name);
    const Config config = LoadExample(name);
    CHECK(config.accounts.size() == 10);
    CHECK(config.services.size() == 3);
    CHECK(config.models.size() == 2);
    CHECK(std::any_of(config.services.begin(), config.services.end(),
                      [](const auto& service) { return !service.idempotent; }));
  }
}

TEST_CASE("the examples give each kind of caller its tier") {
  const Config port = LoadExample("enchufe-frio.toml");
  CHECK(FindClass(port, RequestClassName("gate-clerk"))->tier == Tier{0});
  CHECK(FindClass(port, RequestClassName("yard-planner"))->tier == Tier{3});
  CHECK(FindClass(port, RequestClassName("yard-planner"))->floor_permille > 0);
  CHECK_FALSE(FindClass(port, RequestClassName("plug-assignment"))->idempotent);
  const Config centres = LoadExample("tuul.toml");
  CHECK(FindClass(centres, RequestClassName("counsellor"))->tier == Tier{0});
  CHECK_FALSE(FindClass(centres, RequestClassName("appointment"))->idempotent);
}

TEST_CASE("the example settings load") {
  const auto entry = LoadEntrySettings(Example("entry.toml"));
  REQUIRE_MESSAGE(entry.has_value(), entry.error().message);
  CHECK(entry.value().control_endpoints.size() == 3);
  const auto control = LoadControlSettings(Example("control.toml"));
  REQUIRE_MESSAGE(control.has_value(), control.error().message);
  CHECK(control.value().bootstrap);
  CHECK(ReadSecret(entry.value().shared_secret).value() ==
        ReadSecret(control.value().shared_secret).value());
}

}  // namespace rattanward::adapter
