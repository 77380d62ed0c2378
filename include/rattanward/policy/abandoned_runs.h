#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief One start of an upstream, at which a request ran.
struct RunPlace {
  UpstreamId upstream;
  /// Start of its process; 0 where each start has an id of its own.
  std::uint64_t born = 0;

  friend auto operator<=>(const RunPlace&, const RunPlace&) = default;
};

/// @brief Requests that an entry let go of while an upstream may have run them:
/// their callers left, their time was over, or another attempt was faster.
/// @tparam Evidence What counts against the request if its upstream crashes.
/// @note Pure: no I/O, and the time is a parameter. The connection is closed by
/// then and no longer shows whether the upstream crashes on the request.
template <class Evidence>
class AbandonedRuns {
 public:
  /// Time for which an upstream may go on with a request that was let go of.
  static constexpr Duration kRunTime{std::chrono::seconds(2)};
  /// Time within which a crash is noticed: by four missed heartbeats at last.
  static constexpr Duration kNoticeTime{std::chrono::seconds(8)};
  /// Number of requests kept. For a further one the oldest is dropped.
  static constexpr std::size_t kMaxRuns = 2048;

  void Add(RunPlace place, Evidence evidence, TimePoint now) {
    while (!runs_.empty() &&
           (runs_.size() >= kMaxRuns || !IsRecent(runs_.front(), now))) {
      runs_.pop_front();
    }
    runs_.push_back({now, std::move(place), std::move(evidence)});
  }

  /// @brief The upstream answered: it has outlived what was let go of more than
  /// kRunTime before.
  /// Complexity: linear in the number of requests kept.
  void RecordAlive(const RunPlace& place, TimePoint now) {
    std::erase_if(runs_, [&](const Run& run) {
      return now - run.let_go_at > kRunTime && run.place == place;
    });
  }

  /// @brief The upstream announced its exit, which proves nothing.
  void Forget(const RunPlace& place) {
    std::erase_if(runs_, [&](const Run& run) { return run.place == place; });
  }

  /// @brief Removes and returns what ran at an upstream that crashed.
  std::vector<Evidence> TakeCrashed(const RunPlace& place, TimePoint now) {
    std::vector<Evidence> crashed;
    std::erase_if(runs_, [&](const Run& run) {
      if (run.place != place) {
        return false;
      }
      if (IsRecent(run, now)) {
        crashed.push_back(run.evidence);
      }
      return true;
    });
    return crashed;
  }

  /// @brief A request that ran at this start, if one is kept.
  std::optional<Evidence> FindAt(const RunPlace& place, TimePoint now) const {
    return Find([&](const Run& run) {
      return IsRecent(run, now) && run.place == place;
    });
  }

  /// @brief A request that ran at an earlier start of this upstream id.
  std::optional<Evidence> FindBefore(const RunPlace& place,
                                     TimePoint now) const {
    return Find([&](const Run& run) {
      return IsRecent(run, now) && run.place.upstream == place.upstream &&
             run.place.born < place.born;
    });
  }

  std::size_t size() const { return runs_.size(); }

 private:
  struct Run {
    TimePoint let_go_at;
    RunPlace place;
    Evidence evidence;
  };

  static bool IsRecent(const Run& run, TimePoint now) {
    return now - run.let_go_at <= kNoticeTime;
  }

  template <class Matches>
  std::optional<Evidence> Find(Matches matches) const {
    const auto found = std::find_if(runs_.begin(), runs_.end(), matches);
    return found == runs_.end() ? std::nullopt : std::optional(found->evidence);
  }

  /// Oldest first.
  std::deque<Run> runs_;
};

}  // namespace rattanward::policy
