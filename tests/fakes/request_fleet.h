#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/domain/time.h"
#include "rattanward/membership/crash_memory.h"
#include "rattanward/membership/crash_news.h"
#include "rattanward/policy/abandoned_runs.h"

namespace rattanward::fakes {

/// @brief Numbers of a simulated fleet; times in steps of 50 ms.
struct RequestFleetOptions {
  std::size_t entries = 6;
  std::size_t upstreams = 12;
  /// Steps until news of a crash reaches the hub, or from there an entry.
  int max_news_delay = 4;
  /// Steps until an entry hears that an upstream leaves.
  int max_exit_delay = 30;
  /// Steps for which an upstream that leaves serves on.
  int max_linger = 60;
  /// Request that crashes each upstream that begins to run it.
  std::uint64_t bad_request = 66;
  /// Share of the callers that leave before their answer, of 100.
  int impatient = 0;
  /// Whether the caller of the bad request leaves before the crash, each time.
  bool bad_caller_leaves = false;
  /// Without it, what was let go of proves nothing.
  bool keeps_abandoned = true;
  /// Without it, each lost upstream counts as crashed, and for good.
  bool weighs_evidence = true;
  /// Without it, a restart of the hub loses all that it knew.
  bool keeps_crashes = true;
};

/// @brief Entries with their CrashMemory, a hub with CrashNews, and upstreams
/// that crash and that leave as announced.
/// @note Random numbers come from the caller, so that a run can be repeated.
class RequestFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(50);

  /// @param draw Returns a number of 0 to n - 1.
  template <class Draw>
  RequestFleet(RequestFleetOptions options, Draw draw)
      : options_(options),
        draw_(std::move(draw)),
        entries_(options.entries),
        upstreams_(options.upstreams) {}

  /// @brief Sends a request through a random entry.
  /// @return False if that entry refuses it.
  bool Send(std::uint64_t fingerprint, int max_steps) {
    const std::size_t entry = draw_(entries_.size());
    latest_sender_ = entry;
    membership::CrashMemory& memory = entries_[entry].memory;
    if (memory.IsQuarantined(fingerprint)) {
      if (!options_.weighs_evidence ||
          !memory.MayTry(fingerprint, PlaceOf(entry), time())) {
        return false;
      }
      memory.RecordTrial(fingerprint, time());
    }
    const std::optional<std::size_t> upstream = DrawUpstream();
    if (upstream) {
      const int begins = now_ + 2 + Draw(8);
      Request request{
          entry,  entries_[entry].started_at,   *upstream,   fingerprint,
          begins, begins + 4 + Draw(max_steps), std::nullopt};
      if (fingerprint == options_.bad_request && options_.bad_caller_leaves) {
        request.let_go_at = begins - 1;
      } else if (Draw(100) < options_.impatient) {
        request.let_go_at = begins + Draw(request.ends - begins);
      }
      requests_.push_back(request);
    }
    return true;
  }

  /// @brief Whether the entry of the latest request has run for so long.
  bool LatestSenderRanFor(int steps) const {
    return now_ - entries_[latest_sender_].started_at > steps;
  }

  /// @brief An upstream begins to leave. It cuts what it still runs at its end,
  /// which some entries may see before they hear of it.
  void Release() {
    const std::size_t index = draw_(upstreams_.size());
    Upstream& upstream = upstreams_[index];
    if (upstream.down_until > now_ || upstream.leaves_at) {
      return;
    }
    upstream.leaves_at = now_ + 1 + Draw(options_.max_linger);
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      TellExit(entry, StartOf(index));
    }
    TellExit({}, StartOf(index));
  }

  /// @brief Ends upstreams for another reason than a request.
  void CrashUpstreams(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      End(draw_(upstreams_.size()));
    }
  }

  /// @brief Restarts an entry without its memory.
  void RestartEntry() {
    const std::size_t index = draw_(entries_.size());
    entries_[index] = {};
    entries_[index].started_at = now_;
    Tell(index, hub_.All());
  }

  /// @brief Restarts the hub, which reads what it saved last. The entries tell
  /// it what they know.
  void RestartHub() {
    hub_ = {};
    if (!options_.keeps_crashes) {
      return;
    }
    hub_.Record(saved_, time());
    for (const Entry& entry : entries_) {
      Tell({}, entry.memory.All());
    }
  }

  /// @brief Restarts the hub and all entries at once.
  void RestartAll() {
    news_.clear();
    for (Entry& entry : entries_) {
      entry = {};
      entry.started_at = now_;
    }
    RestartHub();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Tell(i, hub_.All());
    }
  }

  void Step() {
    ++now_;
    DeliverNews();
    if (now_ % kSaveSteps == 0) {
      saved_ = hub_.All();
    }
    LetGo();
    EndRequests();
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i].leaves_at == now_) {
        End(i);
      }
    }
  }

  /// @brief Number of crashes by the bad request.
  int crashes() const { return crashes_; }

 private:
  static constexpr int kSaveSteps = 4;
  static constexpr int kRestartSteps = 40;

  struct Entry {
    membership::CrashMemory memory;
    policy::AbandonedRuns<protocol::CrashWitness> abandoned;
    int started_at = 0;
  };
  struct Upstream {
    std::uint64_t born = 1;
    int down_until = 0;
    std::optional<int> leaves_at;
  };
  struct Request {
    std::size_t entry = 0;
    int entry_started_at = 0;
    std::size_t upstream = 0;
    std::uint64_t fingerprint = 0;
    int begins = 0;
    int ends = 0;
    /// When the entry lets go of it, if it does.
    std::optional<int> let_go_at;
  };
  struct News {
    int arrives = 0;
    /// Unset for the hub.
    std::optional<std::size_t> entry;
    protocol::CrashesTold told;
    std::vector<membership::InstanceStart> exits;
    /// A crash that the entry itself has found.
    bool own = false;
    /// A crash that the entry learns of without a connection of a request; if
    /// `checked` is set, only if that upstream has crashed by then.
    std::optional<membership::InstanceStart> crashed;
    std::optional<std::size_t> checked;
  };

  int Draw(int count) {
    return static_cast<int>(draw_(static_cast<std::size_t>(count)));
  }

  TimePoint time() const { return TimePoint() + now_ * kStep; }

  policy::RoomShare PlaceOf(std::size_t entry) const {
    return {static_cast<std::uint32_t>(entry),
            static_cast<std::uint32_t>(entries_.size())};
  }

  membership::InstanceStart StartOf(std::size_t upstream) const {
    return {UpstreamId("u" + std::to_string(upstream)),
            upstreams_[upstream].born};
  }

  std::optional<std::size_t> DrawUpstream() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i].down_until <= now_ && !upstreams_[i].leaves_at) {
        up.push_back(i);
      }
    }
    return up.empty() ? std::nullopt : std::optional(up[draw_(up.size())]);
  }

  void Tell(std::optional<std::size_t> entry,
            const protocol::CrashesTold& told) {
    News news;
    news.arrives = now_ + 1 + Draw(options_.max_news_delay);
    news.entry = entry;
    news.told = told;
    news_.push_back(news);
  }

  void TellExit(std::optional<std::size_t> entry,
                const membership::InstanceStart& start) {
    News news;
    news.arrives = now_ + 1 + Draw(options_.max_exit_delay);
    news.entry = entry;
    news.exits = {start};
    news_.push_back(news);
  }

  /// The entry finds out somewhat later that the upstream can't be reached.
  void FindCrash(const Request& request,
                 const membership::InstanceStart& start) {
    constexpr int kProbeSteps = 7;
    News news;
    news.arrives = now_ + 1 + Draw(kProbeSteps);
    news.entry = request.entry;
    news.told.witnesses = {{request.fingerprint, start.id, start.born}};
    news.own = true;
    news_.push_back(news);
  }

  /// The next start, or silence, shows the crash at last.
  void TellOfCrash(const membership::InstanceStart& start) {
    constexpr int kNoticeSteps = 100;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      News news;
      news.arrives = now_ + kRestartSteps + Draw(kNoticeSteps);
      news.entry = entry;
      news.crashed = start;
      news_.push_back(news);
    }
  }

  /// What was let go of counts as well, once the crash of its start is known.
  void CountAbandoned(std::size_t index,
                      const membership::InstanceStart& start) {
    Entry& entry = entries_[index];
    const auto let_go =
        entry.abandoned.TakeCrashed({start.id, start.born}, time());
    for (const protocol::CrashWitness& witness : let_go) {
      if (!entry.memory.IsPlannedExit(start)) {
        entry.memory.RecordCrash(witness, time());
        Tell({}, {{witness}, {}, {}});
      }
    }
  }

  /// The entry looks whether the upstream outlived what was let go of.
  void CheckLater(const Request& request, int steps) {
    constexpr int kProbeSteps = 7;
    News news;
    news.arrives = now_ + steps + Draw(kProbeSteps);
    news.entry = request.entry;
    news.checked = request.upstream;
    news.crashed = StartOf(request.upstream);
    news_.push_back(news);
  }

  void LetGo() {
    for (const Request& request : requests_) {
      if (request.let_go_at == now_ && options_.keeps_abandoned &&
          AtSameStart(request)) {
        const membership::InstanceStart start = StartOf(request.upstream);
        entries_[request.entry].abandoned.Add(
            {start.id, start.born}, {request.fingerprint, start.id, start.born},
            time());
        constexpr int kFirstCheckSteps = 10;
        constexpr int kLastCheckSteps = 40;
        CheckLater(request, kFirstCheckSteps);
        CheckLater(request, kLastCheckSteps);
      }
    }
  }

  bool IsLetGo(const Request& request) const {
    return request.let_go_at && *request.let_go_at <= now_;
  }

  void DeliverNews() {
    std::vector<News> due;
    std::erase_if(news_, [&](const News& news) {
      if (news.arrives > now_) {
        return false;
      }
      due.push_back(news);
      return true;
    });
    for (const News& news : due) {
      news.entry ? TellEntry(*news.entry, news) : TellHub(news);
    }
  }

  void TellHub(const News& news) {
    if (options_.weighs_evidence) {
      for (const membership::InstanceStart& start : news.exits) {
        hub_.RecordPlannedExit(start);
      }
    }
    const protocol::CrashesTold fresh = hub_.Record(news.told, time());
    if (!membership::IsEmpty(fresh)) {
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        Tell(i, fresh);
      }
    }
  }

  void TellEntry(std::size_t index, const News& news) {
    membership::CrashMemory& memory = entries_[index].memory;
    if (options_.weighs_evidence) {
      for (const membership::InstanceStart& start : news.exits) {
        memory.RecordPlannedExit(start, time());
      }
    }
    for (const protocol::CrashWitness& cleared : news.told.cleared) {
      memory.RecordCleared(cleared, time());
    }
    const bool outlived =
        news.checked && StartOf(*news.checked) == *news.crashed;
    if (news.crashed && !outlived) {
      CountAbandoned(index, *news.crashed);
    }
    for (const protocol::CrashWitness& witness : news.told.witnesses) {
      CountAbandoned(index, {witness.upstream, witness.born});
      if (!news.own ||
          !memory.IsPlannedExit({witness.upstream, witness.born})) {
        memory.RecordCrash(witness, time());
        if (news.own) {
          Tell({}, news.told);
        }
      }
    }
    TellCleared(memory);
  }

  void TellCleared(membership::CrashMemory& memory) {
    const auto cleared = memory.TakeCleared();
    if (!cleared.empty()) {
      Tell({}, {{}, {}, cleared});
    }
  }

  void EndRequests() {
    std::set<std::size_t> crashing;
    for (const Request& request : requests_) {
      if (request.fingerprint == options_.bad_request &&
          request.begins <= now_) {
        crashing.insert(request.upstream);
      }
    }
    for (const std::size_t upstream : crashing) {
      ++crashes_;
      End(upstream);
    }
    std::erase_if(requests_, [&](const Request& request) {
      if (request.ends > now_) {
        return false;
      }
      if (IsLetGo(request)) {
        return true;
      }
      if (AtSameStart(request)) {
        const membership::InstanceStart start = StartOf(request.upstream);
        entries_[request.entry].abandoned.RecordAlive({start.id, start.born},
                                                      time());
      }
      if (options_.weighs_evidence && AtSameStart(request)) {
        membership::CrashMemory& memory = entries_[request.entry].memory;
        memory.RecordAnswer(request.fingerprint, time());
        TellCleared(memory);
      }
      return true;
    });
  }

  bool AtSameStart(const Request& request) const {
    return entries_[request.entry].started_at == request.entry_started_at;
  }

  /// Cuts all that runs at an upstream, which is back after some seconds.
  void End(std::size_t index) {
    const membership::InstanceStart start = StartOf(index);
    Upstream& upstream = upstreams_[index];
    TellOfCrash(start);
    ++upstream.born;
    upstream.down_until = now_ + kRestartSteps;
    upstream.leaves_at.reset();
    std::erase_if(requests_, [&](const Request& request) {
      if (request.upstream != index) {
        return false;
      }
      if (AtSameStart(request) && !IsLetGo(request)) {
        FindCrash(request, start);
      }
      return true;
    });
  }

  RequestFleetOptions options_;
  std::function<std::size_t(std::size_t)> draw_;
  std::vector<Entry> entries_;
  std::vector<Upstream> upstreams_;
  std::size_t latest_sender_ = 0;
  membership::CrashNews hub_;
  protocol::CrashesTold saved_;
  std::vector<Request> requests_;
  std::vector<News> news_;
  int now_ = 0;
  int crashes_ = 0;
};

}  // namespace rattanward::fakes
