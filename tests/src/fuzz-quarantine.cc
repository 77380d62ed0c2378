#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/policy_values.h"

namespace rattanward::policy {
namespace {

using Command = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr std::size_t kThreeEntries = 3;
constexpr std::size_t kManyUpstreams = 12;
constexpr std::size_t kFewUpstreams = 4;
constexpr std::uint64_t kPoisonFingerprint = 99;
constexpr std::size_t kMaxDeaths = 2;

struct OpenRequest {
  RequestInfo info;
  std::uint32_t attempt = 0;
  std::string upstream;
};

// Simulates entries that share upstreams. One request, the poison request,
// kills every upstream that runs it. Its caller sends it again, to any entry,
// after each answer.
class Simulation {
 public:
  // gossip_first: whether suspicions reach the other entries before the caller
  // sends its request again.
  Simulation(std::size_t entry_count, std::size_t upstreams, bool gossip_first)
      : entry_count_(entry_count), gossip_first_(gossip_first) {
    Config config;
    config.classes = {fakes::MakeClass("gate", 0, 20)};
    config.limits.max_attempts = 5;
    for (std::size_t i = 0; i < entry_count_; ++i) {
      DispatcherOptions options = fakes::MakeOptions(Profile::kStandard);
      options.seed = i;
      entries_.emplace_back(options);
      entries_[i].SetConfig(config, now_);
      open_requests_.emplace_back();
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
      alive_.insert("e" + std::to_string(i));
    }
    Announce();
  }

  void Apply(const Command& command) {
    const auto [kind, a, b] = command;
    const std::size_t entry = a % entry_count_;
    switch (kind % 8) {
      case 0:
      case 1:
        return Submit(entry, kPoisonFingerprint + next_id_ + 1);
      case 2:
      case 3:
        return poison_open_ ? FinishOne(entry, b)
                            : Submit(entry, kPoisonFingerprint);
      case 4:
      case 5:
        return FinishOne(entry, b);
      case 6:
        return Gossip();
      default:
        now_ += std::chrono::milliseconds(10 * b);
        Announce();
        for (std::size_t i = 0; i < entry_count_; ++i) {
          ApplyDecisions(i, entries_[i].Tick(now_));
        }
    }
  }

  std::size_t poison_deaths() const { return poison_deaths_; }
  bool harmless_quarantined() const { return harmless_quarantined_; }

  // Deaths are bounded for each entry even without gossip.
  std::size_t most_deaths_at_one_entry() const {
    std::size_t most = 0;
    for (const auto& [entry, deaths] : deaths_by_entry_) {
      most = std::max(most, deaths);
    }
    return most;
  }

 private:
  void Announce() {
    ++sequence_;
    for (const std::string& id : alive_) {
      Announcement engine = fakes::MakeEngine(id, 3);
      engine.sequence = sequence_;
      for (std::size_t i = 0; i < entry_count_; ++i) {
        ApplyDecisions(i, entries_[i].UpstreamChanged(engine, now_));
      }
    }
  }

  void Submit(std::size_t entry, std::uint64_t fingerprint) {
    if (gossip_first_) {
      Gossip();
    }
    OpenRequest open_request;
    open_request.info =
        fakes::MakeRequest("r" + std::to_string(next_id_++), "gate", now_);
    open_request.info.fingerprint = fingerprint;
    poison_open_ = poison_open_ || fingerprint == kPoisonFingerprint;
    open_requests_[entry][open_request.info.id.str()] = open_request;
    ApplyDecisions(entry, entries_[entry].Submit(open_request.info, now_));
  }

  // Ends one running request. The poison request ends by its upstream's death.
  void FinishOne(std::size_t entry, std::uint8_t b) {
    std::vector<std::string> running;
    for (const auto& [id, open_request] : open_requests_[entry]) {
      if (!open_request.upstream.empty()) {
        running.push_back(id);
      }
    }
    if (running.empty()) {
      return;
    }
    const OpenRequest open_request =
        open_requests_[entry].at(running[b % running.size()]);
    if (open_request.info.fingerprint == kPoisonFingerprint) {
      ++poison_deaths_;
      ++deaths_by_entry_[entry];
      return Kill(open_request.upstream);
    }
    Finish(entry, open_request, AttemptEnd::kCompleted, Verdict::kRan);
  }

  void Kill(const std::string& upstream) {
    alive_.erase(upstream);
    std::vector<std::pair<std::size_t, OpenRequest>> broken;
    for (std::size_t i = 0; i < entry_count_; ++i) {
      for (const auto& [id, open_request] : open_requests_[i]) {
        if (open_request.upstream == upstream) {
          broken.emplace_back(i, open_request);
        }
      }
    }
    for (const auto& [entry, open_request] : broken) {
      Finish(entry, open_request, AttemptEnd::kBroken, Verdict::kMayHaveRun);
    }
    for (std::size_t i = 0; i < entry_count_; ++i) {
      ApplyDecisions(i, entries_[i].UpstreamGone(UpstreamId(upstream), now_));
    }
  }

  void Finish(std::size_t entry, const OpenRequest& open_request,
              AttemptEnd end, Verdict verdict) {
    const std::string id = open_request.info.id.str();
    if (end == AttemptEnd::kCompleted) {
      open_requests_[entry].erase(id);
    } else {
      open_requests_[entry].at(id).upstream.clear();
    }
    ApplyDecisions(
        entry,
        entries_[entry].Finish(
            fakes::MakeResult(id, open_request.attempt, end, verdict), now_));
  }

  void Gossip() {
    for (std::size_t from = 0; from < entry_count_; ++from) {
      for (const Suspicion& suspicion : entries_[from].TakeSuspicions()) {
        for (std::size_t to = 0; to < entry_count_; ++to) {
          if (to != from) {
            entries_[to].MergeSuspicion(suspicion, now_);
          }
        }
      }
    }
  }

  void ApplyDecisions(std::size_t entry,
                      const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartAttempt>(&decision)) {
        OpenRequest& open_request =
            open_requests_[entry].at(start->request.str());
        open_request.attempt = start->attempt;
        open_request.upstream = start->upstream.str();
        continue;
      }
      const auto& refuse = std::get<Refuse>(decision);
      const OpenRequest open_request =
          open_requests_[entry].at(refuse.request.str());
      open_requests_[entry].erase(refuse.request.str());
      if (open_request.info.fingerprint == kPoisonFingerprint) {
        poison_open_ = false;
      } else if (refuse.error.code == ErrorCode::kQuarantined) {
        harmless_quarantined_ = true;
      }
    }
  }

  std::size_t entry_count_;
  bool gossip_first_;
  TimePoint now_;
  std::vector<Dispatcher> entries_;
  std::vector<std::map<std::string, OpenRequest>> open_requests_;
  std::set<std::string> alive_;
  std::map<std::size_t, std::size_t> deaths_by_entry_;
  std::size_t poison_deaths_ = 0;
  bool poison_open_ = false;
  bool harmless_quarantined_ = false;
  std::uint64_t sequence_ = 0;
  int next_id_ = 0;
};

}  // namespace

TEST_CASE(
    "quarantine: at most two deaths if suspicions are sent before answers") {
  CHECK(rc::check("one poison request, gossip before resending",
                  [](const std::vector<Command>& commands) {
                    Simulation simulation(kThreeEntries, kManyUpstreams, true);
                    for (const Command& command : commands) {
                      simulation.Apply(command);
                      RC_ASSERT(simulation.poison_deaths() <= kMaxDeaths);
                    }
                  }));
}

TEST_CASE("quarantine: at most two deaths at each entry if gossip is late") {
  CHECK(rc::check("one poison request, late gossip",
                  [](const std::vector<Command>& commands) {
                    Simulation simulation(kThreeEntries, kManyUpstreams, false);
                    for (const Command& command : commands) {
                      simulation.Apply(command);
                      RC_ASSERT(simulation.most_deaths_at_one_entry() <=
                                kMaxDeaths);
                    }
                  }));
}

// Holds for a single entry only: two entries may each run a suspect on the same
// upstream.
TEST_CASE("quarantine: a single entry quarantines no harmless request") {
  CHECK(rc::check("one poison request, one entry",
                  [](const std::vector<Command>& commands) {
                    Simulation simulation(1, kFewUpstreams, true);
                    for (const Command& command : commands) {
                      simulation.Apply(command);
                      RC_ASSERT(!simulation.harmless_quarantined());
                      RC_ASSERT(simulation.poison_deaths() <= kMaxDeaths);
                    }
                  }));
}

}  // namespace rattanward::policy
