#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/policy_values.h"
#include "rattanward/policy/trunk_reservation.h"

namespace rattanward::policy {
namespace {

using Command = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr int kUpstreams = 4;
constexpr int kAccounts = 2;
constexpr std::uint32_t kAccountLimit = 6;
constexpr int kMaxCompletionRounds = 60;

Config MakeConfig() {
  Config config;
  for (std::uint8_t tier = 0; tier < Tier::kCount; ++tier) {
    config.classes.push_back(
        fakes::MakeClass("c" + std::to_string(tier), tier, 1 + tier % 2U));
  }
  for (int i = 0; i < kAccounts; ++i) {
    ClientAccount account;
    account.id = ClientAccountId("a" + std::to_string(i));
    account.max_in_flight = kAccountLimit;
    config.accounts.push_back(account);
  }
  return config;
}

// Expected state of one open request.
struct TrackedRequest {
  RequestInfo info;
  Tier tier;
  std::uint32_t attempts = 0;
  std::string upstream;
  Verdict verdict = Verdict::kNotRun;
  bool answer_begun = false;
};

// Runs commands against a dispatcher and checks each decision against a model
// of the open requests and upstreams.
class DispatcherHarness {
 public:
  DispatcherHarness() : dispatcher_(fakes::MakeOptions(Profile::kStandard)) {
    dispatcher_.SetConfig(config_, now_);
  }

  void Run(const Command& command) {
    const auto [kind, a, b] = command;
    switch (kind % 8) {
      case 0:
      case 1:
      case 2:
        return Submit(a, b);
      case 3:
        return Announce(a % kUpstreams, b);
      case 4:
      case 5:
        return FinishOne(a, b);
      case 6:
        now_ += std::chrono::milliseconds(20 * a);
        return ApplyDecisions(dispatcher_.Tick(now_));
      default:
        return CancelOne(a, b);
    }
  }

  void BeginStop() {
    stop_ = StopPlan(now_, {std::chrono::seconds(1), std::chrono::seconds(8)});
    ApplyDecisions(dispatcher_.BeginStop(*stop_, now_));
  }

  // At the time of the final answers, no request may be waiting.
  void CheckNothingWaitsAtStop() {
    now_ = std::max(now_, stop_->answers_at());
    ApplyDecisions(dispatcher_.Tick(now_));
    for (const auto& [id, request] : open_) {
      RC_ASSERT(!request.upstream.empty());
    }
  }

  // Completes all running requests and advances the time until no request is
  // open; fails if some remain.
  void RunToCompletion() {
    for (int round = 0; round < kMaxCompletionRounds && !open_.empty();
         ++round) {
      std::vector<std::string> running;
      for (const auto& [id, request] : open_) {
        if (!request.upstream.empty()) {
          running.push_back(id);
        }
      }
      for (const std::string& id : running) {
        Finish(id, AttemptEnd::kCompleted, Verdict::kRan, false);
      }
      now_ += std::chrono::seconds(1);
      ApplyDecisions(dispatcher_.Tick(now_));
    }
    RC_ASSERT(open_.empty());
  }

 private:
  void Submit(std::uint8_t a, std::uint8_t b) {
    const std::uint8_t tier = a % Tier::kCount;
    const std::string id = "r" + std::to_string(next_id_++);
    TrackedRequest request;
    request.info = fakes::MakeRequest(id, "c" + std::to_string(tier), now_);
    request.info.account = ClientAccountId("a" + std::to_string(b % kAccounts));
    request.info.idempotent = b % 3 != 0;
    request.info.fingerprint = b / 8U;
    request.tier = Tier{tier};
    open_[id] = request;
    ApplyDecisions(dispatcher_.Submit(request.info, now_));
  }

  void Announce(int index, std::uint8_t b) {
    const std::string id = "e" + std::to_string(index);
    if (b % 8 == 0) {
      upstreams_.erase(id);
      return ApplyDecisions(dispatcher_.UpstreamGone(UpstreamId(id), now_));
    }
    Announcement engine = fakes::MakeEngine(id, 1 + b % 5U);
    engine.sequence = ++sequence_;
    engine.draining = b % 8 == 1;
    engine.load.running = b / 8U % 4U;
    upstreams_[id] = engine;
    ApplyDecisions(dispatcher_.UpstreamChanged(engine, now_));
  }

  void FinishOne(std::uint8_t a, std::uint8_t b) {
    std::vector<std::string> running;
    for (const auto& [id, request] : open_) {
      if (!request.upstream.empty()) {
        running.push_back(id);
      }
    }
    if (running.empty()) {
      return;
    }
    const std::string id = running[a % running.size()];
    const std::uint32_t attempt = open_.at(id).attempts;
    if (b % 16 == 15 && attempt > 1) {
      // A late result of an earlier attempt must be ignored.
      return ApplyDecisions(dispatcher_.Finish(
          fakes::MakeResult(id, attempt - 1, AttemptEnd::kCompleted), now_));
    }
    const auto end = static_cast<AttemptEnd>(b % 7);
    const bool not_sent = end == AttemptEnd::kRefused ||
                          end == AttemptEnd::kConnectFailed ||
                          end == AttemptEnd::kAbandoned;
    if (end == AttemptEnd::kCompleted) {
      dispatcher_.FirstToken(RequestId(id), now_);
    }
    Finish(id, end, not_sent ? Verdict::kNotRun : Verdict::kMayHaveRun,
           !not_sent && b % 5 == 0);
  }

  void Finish(const std::string& id, AttemptEnd end, Verdict verdict,
              bool answer_begun) {
    TrackedRequest& request = open_.at(id);
    AttemptResult result =
        fakes::MakeResult(id, request.attempts, end, verdict);
    result.answer_begun = answer_begun;
    request.verdict = Strongest(request.verdict, verdict);
    request.answer_begun = answer_begun;
    request.upstream.clear();
    if (end == AttemptEnd::kCompleted || end == AttemptEnd::kCallerLeft) {
      open_.erase(id);
    }
    ApplyDecisions(dispatcher_.Finish(result, now_));
  }

  void CancelOne(std::uint8_t a, std::uint8_t b) {
    if (open_.empty()) {
      return;
    }
    auto it = open_.begin();
    std::advance(it, a % open_.size());
    if (it->second.upstream.empty() && b % 2 == 0) {
      const std::string id = it->first;
      open_.erase(it);
      ApplyDecisions(dispatcher_.Cancel(RequestId(id), now_));
    }
  }

  void ApplyDecisions(const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartAttempt>(&decision)) {
        CheckStart(*start);
      } else {
        CheckRefuse(std::get<Refuse>(decision));
      }
    }
    RC_ASSERT(dispatcher_.OpenRequests() == open_.size());
    CheckAccounts();
    CheckWaitingHaveUpstream();
  }

  std::uint32_t RunningOn(const std::string& upstream) const {
    return std::count_if(open_.begin(), open_.end(), [&](const auto& item) {
      return item.second.upstream == upstream;
    });
  }

  void CheckStart(const StartAttempt& start) {
    const auto it = open_.find(start.request.str());
    RC_ASSERT(it != open_.end());
    TrackedRequest& request = it->second;
    RC_ASSERT(request.upstream.empty());
    RC_ASSERT(start.attempt == request.attempts + 1);
    RC_ASSERT(start.attempt <= config_.limits.max_attempts);
    RC_ASSERT(!request.answer_begun);
    RC_ASSERT(!stop_ || now_ < stop_->answers_at());
    if (!request.info.idempotent) {
      RC_ASSERT(request.verdict == Verdict::kNotRun);
    }
    const auto upstream = upstreams_.find(start.upstream.str());
    RC_ASSERT(upstream != upstreams_.end());
    RC_ASSERT(!upstream->second.draining);
    RC_ASSERT(RunningOn(start.upstream.str()) <
              TrunkLimit(upstream->second.capacity, request.tier));
    request.upstream = start.upstream.str();
    request.attempts = start.attempt;
  }

  void CheckRefuse(const Refuse& refuse) {
    const auto it = open_.find(refuse.request.str());
    RC_ASSERT(it != open_.end());
    const TrackedRequest refused = it->second;
    RC_ASSERT(refused.upstream.empty());
    RC_ASSERT(refuse.error.verdict >= refused.verdict);
    if (refuse.error.code == ErrorCode::kShuttingDown) {
      RC_ASSERT(stop_.has_value());
      RC_ASSERT(refuse.error.verdict == Verdict::kNotRun);
      RC_ASSERT(refuse.error.retry_after.has_value());
    }
    open_.erase(it);
    for (const auto& [id, other] : open_) {
      if (!other.upstream.empty() || other.tier <= refused.tier) {
        continue;
      }
      RC_ASSERT(refuse.error.code != ErrorCode::kQueueFull);
      RC_ASSERT(refuse.error.code != ErrorCode::kDisplaced);
      if (other.info.account == refused.info.account) {
        RC_ASSERT(refuse.error.code != ErrorCode::kAccountLimit);
      }
    }
  }

  // Requests may only wait while some upstream is not draining.
  void CheckWaitingHaveUpstream() const {
    const bool served =
        std::any_of(upstreams_.begin(), upstreams_.end(),
                    [](const auto& item) { return !item.second.draining; });
    for (const auto& [id, request] : open_) {
      if (request.upstream.empty()) {
        RC_ASSERT(served);
      }
    }
  }

  void CheckAccounts() const {
    std::map<ClientAccountId, std::uint32_t> in_flight;
    for (const auto& [id, request] : open_) {
      RC_ASSERT(++in_flight[request.info.account] <= kAccountLimit);
    }
  }

  Config config_ = MakeConfig();
  Dispatcher dispatcher_;
  TimePoint now_;
  std::map<std::string, Announcement> upstreams_;
  std::map<std::string, TrackedRequest> open_;
  std::optional<StopPlan> stop_;
  std::uint64_t sequence_ = 0;
  int next_id_ = 0;
};

}  // namespace

TEST_CASE(
    "dispatcher: each request ends once with the right verdict, and starts "
    "respect trunk reservation and draining") {
  CHECK(rc::check("dispatcher keeps its invariants",
                  [](const std::vector<Command>& commands) {
                    DispatcherHarness harness;
                    for (const Command& command : commands) {
                      harness.Run(command);
                    }
                    harness.RunToCompletion();
                  }));
}

TEST_CASE("dispatcher: at a stop nothing begins late, waits or is misnamed") {
  CHECK(rc::check("a stop keeps the dispatcher's invariants",
                  [](const std::vector<Command>& before,
                     const std::vector<Command>& after) {
                    DispatcherHarness harness;
                    for (const Command& command : before) {
                      harness.Run(command);
                    }
                    harness.BeginStop();
                    for (const Command& command : after) {
                      harness.Run(command);
                    }
                    harness.CheckNothingWaitsAtStop();
                    harness.RunToCompletion();
                  }));
}

}  // namespace rattanward::policy
