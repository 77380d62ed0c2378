#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "rattanward/control/push_plan.h"
#include "rattanward/control/routing_texts.h"

namespace rattanward::control {
namespace {

constexpr Duration kStep{std::chrono::milliseconds(50)};
/// Reports come in this period, and at once after routes were taken.
constexpr int kStepsOfReport = 8;

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

/// An entry's side of routes: what it holds, and what it was sent.
struct EntrySide {
  ConfigVersion runs;
  std::string text;
  std::size_t bytes = 0;
  int pushes = 0;
  int refused = 0;

  void Take(const std::string& encoded) {
    ++pushes;
    bytes += encoded.size();
    const auto push = protocol::Decode<protocol::RoutingPush>(encoded);
    RC_ASSERT(push.has_value());
    if (push.value().version <= runs) {
      return;
    }
    if (push.value().base == ConfigVersion{}) {
      text = push.value().text;
    } else if (push.value().base != runs) {
      ++refused;
      return;
    } else {
      const auto made = Apply(push.value().difference, text);
      RC_ASSERT(made.has_value());
      text = made.value();
    }
    runs = push.value().version;
  }
};

/// A control VM's side: what it knows of routes and of the entry.
struct ControlSide {
  RoutingTexts texts;
  PushPlan plan;
  ConfigVersion heard;
  bool leads = false;
  bool connected = true;

  void Tick(EntrySide& entry, TimePoint now) {
    const RoutingPushStep step = plan.Next(texts.newest(), heard, leads, now);
    if (step.kind == RoutingPushKind::kNothing || !connected) {
      return;
    }
    entry.Take(step.kind == RoutingPushKind::kWhole
                   ? texts.PushWhole()
                   : texts.PushFrom(step.base));
  }
};

/// Five control VMs and one entry, stepped by hand.
struct Deployment {
  std::vector<ControlSide> controls{5};
  EntrySide entry;
  TimePoint now{std::chrono::seconds(100)};
  ConfigVersion newest;
  std::string text;
  int step = 0;

  Deployment() { controls[0].leads = true; }

  void Commit(int count) {
    newest = ConfigVersion{newest.value + 1};
    text = RoutesText(static_cast<int>(newest.value), count);
  }

  /// Followers learn of a commit one step later than the leader.
  void Step() {
    now += kStep;
    const ConfigVersion before = entry.runs;
    for (ControlSide& control : controls) {
      control.Tick(entry, now);
      control.texts.Note(newest, text);
    }
    if (++step % kStepsOfReport == 0 || entry.runs != before) {
      Report();
    }
  }

  void Report() {
    for (ControlSide& control : controls) {
      if (control.connected) {
        control.heard = entry.runs;
      }
    }
  }

  void Reconnect(std::size_t control) {
    controls[control].connected = true;
    controls[control].plan = PushPlan();
  }

  void Lead(std::size_t leader) {
    for (std::size_t i = 0; i < controls.size(); ++i) {
      controls[i].leads = i == leader;
    }
  }
};

}  // namespace

TEST_CASE("a difference makes the text again, for any two texts") {
  rc::check([](const std::string& base, const std::string& text) {
    const auto made = Apply(DifferenceOf(base, text), base);
    RC_ASSERT(made.has_value());
    RC_ASSERT(made.value() == text);
  });
  rc::check([] {
    const int before = *rc::gen::inRange(0, 40);
    const int after = *rc::gen::inRange(0, 40);
    const std::string base = RoutesText(1, before);
    const std::string text = RoutesText(2, after);
    const auto made = Apply(DifferenceOf(base, text), base);
    RC_ASSERT(made.has_value());
    RC_ASSERT(made.value() == text);
  });
}

TEST_CASE("a difference from another text is refused") {
  const std::string base = RoutesText(1, 10);
  const TextDifference difference = DifferenceOf(base, RoutesText(2, 11));
  const auto made = Apply(difference, RoutesText(1, 9));
  REQUIRE_FALSE(made.has_value());
  CHECK(made.error().code == ErrorCode::kMalformedMessage);
}

TEST_CASE("one new route of 500 costs little, wherever it stands") {
  RoutingTexts texts;
  texts.Note(ConfigVersion{1}, RoutesText(1, 500));
  texts.Note(ConfigVersion{2}, RoutesText(2, 501));
  CHECK(texts.PushWhole().size() > 50'000);
  CHECK(texts.PushFrom(ConfigVersion{1}).size() < 1'000);
  CHECK(texts.PushFrom(ConfigVersion{7}) == texts.PushWhole());
}

TEST_CASE("a change goes to an entry once, not once from each control VM") {
  Deployment deployment;
  deployment.Commit(500);
  for (int i = 0; i < 100; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.runs == deployment.newest);
  CHECK(deployment.entry.pushes == 1);
  deployment.entry.bytes = 0;
  deployment.Commit(501);
  for (int i = 0; i < 100; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.runs == deployment.newest);
  CHECK(deployment.entry.pushes == 2);
  CHECK(deployment.entry.bytes < 1'000);
}

TEST_CASE("changes in quick succession are each of use to the entry") {
  Deployment deployment;
  deployment.Commit(100);
  for (int i = 0; i < 20; ++i) {
    deployment.Step();
  }
  ControlSide& leader = deployment.controls[0];
  for (int change = 0; change < 3; ++change) {
    // The entry's reports of the changes before are still on their way.
    deployment.Commit(101 + change);
    leader.texts.Note(deployment.newest, deployment.text);
    leader.Tick(deployment.entry, deployment.now);
    CHECK(deployment.entry.runs == deployment.newest);
  }
  CHECK(deployment.entry.refused == 0);
  CHECK(deployment.entry.text == deployment.text);
}

TEST_CASE("an entry that the leader does not reach gets it from the others") {
  Deployment deployment;
  deployment.controls[0].connected = false;
  deployment.Commit(10);
  for (int i = 0; i < 12; ++i) {
    deployment.Step();
  }
  CHECK(deployment.entry.runs == deployment.newest);
}

TEST_CASE("whatever was cut, lost or overtaken, the entry gets the newest") {
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
          deployment.Lead(control);
          break;
        case 5:  // The entry starts anew.
          deployment.entry.runs = ConfigVersion{};
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
    RC_ASSERT(deployment.entry.runs == deployment.newest);
    RC_ASSERT(deployment.entry.text == deployment.text);
  });
}

}  // namespace rattanward::control
