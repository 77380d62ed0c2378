#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "rattanward/control/push_plan.h"
#include "rattanward/control/routing_texts.h"

namespace rattanward::control {
namespace {

/// Simulated time per step.
constexpr Duration kStep{std::chrono::milliseconds(50)};
/// The entry reports once per this number of steps, and at once after it has
/// applied routes.
constexpr int kStepsPerReport = 8;

std::string RouteText(int number) {
  return "{\"name\":\"r" + std::to_string(number) +
         "\",\"host\":\"h\",\"prefix\":\"/" + std::to_string(number) +
         "/\",\"kind\":\"idempotent\",\"services\":[{\"service\":\"s\","
         "\"weight\":1}],\"timeout_ms\":5000}";
}

std::string RoutesText(int version, int count) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (int i = 0; i < count; ++i) {
    text += (i > 0 ? "," : "") + RouteText(i);
  }
  return text + "]}";
}

/// Entry that applies pushed routes and counts the pushes.
struct SimulatedEntry {
  ConfigVersion running_version;
  std::string text;
  std::size_t bytes = 0;
  int pushes = 0;
  int refused = 0;

  void Receive(const std::string& encoded) {
    ++pushes;
    bytes += encoded.size();
    const auto push = protocol::Decode<protocol::RoutingPush>(encoded);
    RC_ASSERT(push.has_value());
    if (push.value().version <= running_version) {
      return;
    }
    if (push.value().base == ConfigVersion{}) {
      text = push.value().text;
    } else if (push.value().base != running_version) {
      ++refused;
      return;
    } else {
      const auto applied = Apply(push.value().difference, text);
      RC_ASSERT(applied.has_value());
      text = applied.value();
    }
    running_version = push.value().version;
  }
};

/// Control VM with the routes and the entry's version as it knows them.
struct SimulatedControl {
  RoutingTexts texts;
  PushPlan plan;
  ConfigVersion reported_version;
  bool leads = false;
  bool connected = true;

  void Tick(SimulatedEntry& entry, TimePoint now) {
    const RoutingPushStep step =
        plan.Next(texts.newest(), reported_version, leads, now);
    if (step.kind == RoutingPushKind::kNone || !connected) {
      return;
    }
    entry.Receive(step.kind == RoutingPushKind::kFullText
                      ? texts.EncodedFullPush()
                      : texts.EncodedPushFrom(step.base));
  }
};

/// Simulation of five control VMs and one entry, advanced step by step.
struct Deployment {
  std::vector<SimulatedControl> controls{5};
  SimulatedEntry entry;
  TimePoint now{std::chrono::seconds(100)};
  ConfigVersion newest;
  std::string text;
  int step = 0;

  Deployment() { controls[0].leads = true; }

  void Commit(int count) {
    newest = ConfigVersion{newest.value + 1};
    text = RoutesText(static_cast<int>(newest.value), count);
  }

  /// Advances the time by one step. Each control VM pushes before it learns of
  /// a commit, so it pushes new routes from the following step on.
  void Step() {
    now += kStep;
    const ConfigVersion before = entry.running_version;
    for (SimulatedControl& control : controls) {
      control.Tick(entry, now);
      control.texts.Update(newest, text);
    }
    if (++step % kStepsPerReport == 0 || entry.running_version != before) {
      Report();
    }
  }

  void Report() {
    for (SimulatedControl& control : controls) {
      if (control.connected) {
        control.reported_version = entry.running_version;
      }
    }
  }

  void Reconnect(std::size_t control) {
    controls[control].connected = true;
    controls[control].plan = PushPlan();
  }

  void SetLeader(std::size_t leader) {
    for (std::size_t i = 0; i < controls.size(); ++i) {
      controls[i].leads = i == leader;
    }
  }
};

}  // namespace

TEST_CASE("applying a difference reproduces the text, for any two texts") {
  rc::check([](const std::string& base, const std::string& text) {
    const auto applied = Apply(DifferenceOf(base, text), base);
    RC_ASSERT(applied.has_value());
    RC_ASSERT(applied.value() == text);
  });
  rc::check([] {
    const int before = *rc::gen::inRange(0, 40);
    const int after = *rc::gen::inRange(0, 40);
    const std::string base = RoutesText(1, before);
    const std::string text = RoutesText(2, after);
    const auto applied = Apply(DifferenceOf(base, text), base);
    RC_ASSERT(applied.has_value());
    RC_ASSERT(applied.value() == text);
  });
}

TEST_CASE("a difference is rejected if the base text differs") {
  const std::string base = RoutesText(1, 10);
  const TextDifference difference = DifferenceOf(base, RoutesText(2, 11));
  const auto applied = Apply(difference, RoutesText(1, 9));
  REQUIRE_FALSE(applied.has_value());
  CHECK(applied.error().code == ErrorCode::kMalformedMessage);
}

TEST_CASE("adding one route to 500 is pushed as a small difference") {
  RoutingTexts texts;
  texts.Update(ConfigVersion{1}, RoutesText(1, 500));
  texts.Update(ConfigVersion{2}, RoutesText(2, 501));
  CHECK(texts.EncodedFullPush().size() > 50'000);
  CHECK(texts.EncodedPushFrom(ConfigVersion{1}).size() < 1'000);
  CHECK(texts.EncodedPushFrom(ConfigVersion{7}) == texts.EncodedFullPush());
}

TEST_CASE("an entry receives each change once, not from every control VM") {
  Deployment deployment;
  deployment.Commit(500);
  for (int i = 0; i < 100; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.running_version == deployment.newest);
  CHECK(deployment.entry.pushes == 1);
  deployment.entry.bytes = 0;
  deployment.Commit(501);
  for (int i = 0; i < 100; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.running_version == deployment.newest);
  CHECK(deployment.entry.pushes == 2);
  CHECK(deployment.entry.bytes < 1'000);
}

TEST_CASE("the entry can apply each of several changes in quick succession") {
  Deployment deployment;
  deployment.Commit(100);
  for (int i = 0; i < 20; ++i) {
    deployment.Step();
  }
  SimulatedControl& leader = deployment.controls[0];
  for (int change = 0; change < 3; ++change) {
    // The entry's reports of the earlier changes have not arrived yet.
    deployment.Commit(101 + change);
    leader.texts.Update(deployment.newest, deployment.text);
    leader.Tick(deployment.entry, deployment.now);
    CHECK(deployment.entry.running_version == deployment.newest);
  }
  CHECK(deployment.entry.refused == 0);
  CHECK(deployment.entry.text == deployment.text);
}

TEST_CASE("followers push routes to an entry that the leader cannot reach") {
  Deployment deployment;
  deployment.controls[0].connected = false;
  deployment.Commit(10);
  for (int i = 0; i < 12; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.running_version == deployment.newest);
}

TEST_CASE(
    "the entry gets the newest routes despite disconnects, restarts and "
    "leader changes") {
  rc::check([] {
    Deployment deployment;
    const int events = *rc::gen::inRange(1, 60);
    for (int i = 0; i < events; ++i) {
      const auto control = *rc::gen::inRange<std::size_t>(0, 5);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
          deployment.Commit(*rc::gen::inRange(0, 30));
          break;
        case 2:
          deployment.controls[control].connected = false;
          break;
        case 3:
          deployment.Reconnect(control);
          break;
        case 4:
          deployment.SetLeader(control);
          break;
        case 5:  // The entry restarts.
          deployment.entry.running_version = ConfigVersion{};
          deployment.entry.text.clear();
          deployment.Report();
          break;
        default:
          break;
      }
      const int steps = *rc::gen::inRange(0, 12);
      for (int s = 0; s < steps; ++s) {
        deployment.Step();
      }
    }
    deployment.Reconnect(*rc::gen::inRange<std::size_t>(0, 5));
    for (int s = 0; s < 40; ++s) {
      deployment.Step();
    }
    RC_ASSERT(deployment.entry.running_version == deployment.newest);
    RC_ASSERT(deployment.entry.text == deployment.text);
  });
}

}  // namespace rattanward::control
