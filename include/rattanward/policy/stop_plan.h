#pragma once

#include <optional>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Durations of a planned stop.
struct StopTimes {
  /// Time in which the balancer notices that the process isn't ready.
  Duration notice{0};
  /// Time from the signal until the process would be killed.
  Duration grace{0};
  /// Part of the grace time, at its end, that is reserved for the final answers
  /// of all requests that are still open, and for callers to take them.
  Duration answer_margin{std::chrono::milliseconds(800)};
  /// Part of the answer margin, at its end, that is reserved for the end of the
  /// process.
  Duration exit_margin{std::chrono::milliseconds(250)};
};

/// @brief When a process that stops as planned takes requests, begins them,
/// ends them and exits.
/// @note If the margins exceed an eighth of the grace time, or half of that for
/// the exit, they are shortened to it.
class StopPlan {
 public:
  StopPlan(TimePoint began, const StopTimes& times);

  /// @brief New requests are taken until then.
  TimePoint takes_until() const { return takes_until_; }
  /// @brief Every request that is open then gets its final answer.
  TimePoint answers_at() const { return answers_at_; }
  /// @brief The process ends by then.
  TimePoint ends_at() const { return ends_at_; }

  /// @brief Whether a new request is taken.
  bool Takes(TimePoint now) const { return now < takes_until_; }

  /// @brief Whether a request may be sent, for the first time or again: it must
  /// end in time.
  /// @param expected Time that it is expected to run; nothing if unknown. It is
  /// then assumed to run for half the time until its deadline.
  /// @param deadline Time at which it ends in any case.
  bool MayBegin(TimePoint now, std::optional<Duration> expected,
                TimePoint deadline) const;

 private:
  TimePoint takes_until_;
  TimePoint answers_at_;
  TimePoint ends_at_;
};

}  // namespace rattanward::policy
