#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/policy_values.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep(10);
constexpr milliseconds kFirstTokenDelay(100);
constexpr milliseconds kAnswerDuration(1000);
constexpr seconds kBurstDuration(30);
constexpr int kEngines = 2;
constexpr std::uint32_t kCapacity = 8;

struct ClassCounts {
  int sent = 0;
  int in_target = 0;
  int completed = 0;
  int refused = 0;
};

struct RunningRequest {
  RequestId id;
  std::uint32_t attempt = 0;
  TimePoint started;
  bool first_token_sent = false;
};

// Simulates, in fixed time steps, engines that answer every request in the same
// time.
class BurstSimulation {
 public:
  BurstSimulation(Profile profile, const std::vector<RequestClass>& classes)
      : dispatcher_(fakes::MakeOptions(profile)), classes_(classes) {
    Config config;
    config.classes = classes;
    dispatcher_.SetConfig(config, now_);
    for (int i = 0; i < kEngines; ++i) {
      dispatcher_.UpstreamChanged(
          fakes::MakeEngine("e" + std::to_string(i), kCapacity), now_);
    }
  }

  // Sends a request of the class if a period begins at the current time.
  void Send(const std::string& name, Duration period) {
    if (now_.time_since_epoch() % period != Duration(0)) {
      return;
    }
    const std::string id = name + std::to_string(next_id_++);
    arrivals_[RequestId(id)] = {name, now_};
    ++counts_[name].sent;
    ApplyDecisions(
        dispatcher_.Submit(fakes::MakeRequest(id, name, now_), now_));
  }

  void Step() {
    now_ += kStep;
    for (RunningRequest& running : running_) {
      if (!running.first_token_sent &&
          now_ - running.started >= kFirstTokenDelay) {
        running.first_token_sent = true;
        dispatcher_.FirstToken(running.id, now_);
        CountFirstToken(running.id);
      }
    }
    const auto ended =
        std::stable_partition(running_.begin(), running_.end(),
                              [this](const RunningRequest& running) {
                                return now_ - running.started < kAnswerDuration;
                              });
    const std::vector<RunningRequest> done(ended, running_.end());
    running_.erase(ended, running_.end());
    for (const RunningRequest& running : done) {
      ++counts_[arrivals_.at(running.id).first].completed;
      ApplyDecisions(dispatcher_.Finish(
          fakes::MakeResult(running.id.str(), running.attempt,
                            AttemptEnd::kCompleted, Verdict::kRan),
          now_));
    }
    ApplyDecisions(dispatcher_.Tick(now_));
  }

  TimePoint now() const { return now_; }
  const ClassCounts& CountsFor(const std::string& name) {
    return counts_[name];
  }

 private:
  void CountFirstToken(const RequestId& id) {
    const auto& [name, arrived] = arrivals_.at(id);
    for (const RequestClass& c : classes_) {
      if (c.name.str() == name && now_ - arrived <= c.first_token_target) {
        ++counts_[name].in_target;
      }
    }
  }

  void ApplyDecisions(const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartAttempt>(&decision)) {
        running_.push_back({start->request, start->attempt, now_, false});
      } else {
        const auto& refuse = std::get<Refuse>(decision);
        ++counts_[arrivals_.at(refuse.request).first].refused;
      }
    }
  }

  TimePoint now_;
  Dispatcher dispatcher_;
  std::vector<RequestClass> classes_;
  std::map<RequestId, std::pair<std::string, TimePoint>> arrivals_;
  std::vector<RunningRequest> running_;
  std::map<std::string, ClassCounts> counts_;
  int next_id_ = 0;
};

std::vector<RequestClass> MakeGateAndStowageClasses() {
  RequestClass gate = fakes::MakeClass("gate", 0, 50);
  gate.first_token_target = milliseconds(700);
  gate.deadline = seconds(3);
  RequestClass stowage = fakes::MakeClass("stowage", 3, 100);
  stowage.first_token_target = seconds(10);
  stowage.deadline = seconds(60);
  stowage.floor_permille = 50;
  return {gate, stowage};
}

// The engines have a capacity of 16 requests per second.
BurstSimulation RunBurst(Profile profile, Duration gate_period,
                         Duration stowage_period) {
  BurstSimulation burst(profile, MakeGateAndStowageClasses());
  while (burst.now() < TimePoint(kBurstDuration)) {
    burst.Send("gate", gate_period);
    burst.Send("stowage", stowage_period);
    burst.Step();
  }
  return burst;
}

}  // namespace

TEST_CASE("burst: a low tier above capacity does not delay the top tier") {
  BurstSimulation burst =
      RunBurst(Profile::kStandard, milliseconds(100), kStep);
  const ClassCounts gate = burst.CountsFor("gate");
  MESSAGE("gate " << gate.in_target << " of " << gate.sent << " in target");
  CHECK(gate.refused == 0);
  CHECK(gate.in_target >= gate.sent - 2);
  CHECK(burst.CountsFor("stowage").completed > 0);
}

TEST_CASE("burst: a top tier above capacity leaves a low tier its floor") {
  BurstSimulation burst =
      RunBurst(Profile::kStandard, milliseconds(30), milliseconds(200));
  const ClassCounts gate = burst.CountsFor("gate");
  const ClassCounts stowage = burst.CountsFor("stowage");
  MESSAGE("completed: stowage " << stowage.completed << ", gate "
                                << gate.completed);
  MESSAGE("gate " << gate.in_target << " of " << gate.completed
                  << " completed in target");
  CHECK(gate.in_target >= gate.completed * 9 / 10);
  // The floor guarantees one of 20 dispatches, at 16 dispatches per second.
  CHECK(stowage.completed >= 20);
  CHECK(gate.completed + stowage.completed >= 16 * 28);
}

TEST_CASE("burst: in the baseline, a low tier delays the top tier") {
  BurstSimulation burst =
      RunBurst(Profile::kBaseline, milliseconds(100), kStep);
  const ClassCounts gate = burst.CountsFor("gate");
  MESSAGE("gate " << gate.in_target << " of " << gate.sent << " in target");
  CHECK(gate.in_target < gate.sent / 2);
}

}  // namespace rattanward::policy
