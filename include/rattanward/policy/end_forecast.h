#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"
#include "rattanward/policy/run_time_estimator.h"

namespace rattanward::policy {

/// @brief Streams whose times between tokens are comparable.
struct StreamKind {
  std::string route;
  ServiceName service;

  friend auto operator<=>(const StreamKind&, const StreamKind&) = default;
};

/// @brief Tokens that an answer is expected to have: the caller's estimate, at
/// most its declared maximum; without an estimate, half of the maximum.
/// @return 0 if the caller tells neither.
std::uint32_t ExpectedTokens(const AnswerLength& length);

/// @brief Forecasts, optimistically, how long a stream that has not begun takes
/// to its end.
/// @note Performs no I/O and reads no clock. Uses only samples of the last
/// kMaxAge, so that a load that has passed refuses nobody, and a kind of which
/// every request is refused is tried again.
class EndForecast {
 public:
  /// Kinds that are told apart, at most.
  static constexpr std::size_t kMaxKinds = 4096;
  /// Engines go from their slowest to their fastest within about this time once
  /// a burst is over.
  static constexpr Duration kMaxAge = std::chrono::seconds(3);

  /// @brief Records how fast a stream has just advanced.
  /// @param time Time in which the tokens came, without the time to the first
  /// event. Ignored if there are no tokens.
  void RecordPace(const StreamKind& kind, Duration time, std::uint64_t tokens,
                  TimePoint now);

  /// @brief Records how many tokens an answer had that ended as it should.
  /// @param length What its caller told of the length.
  void RecordLength(const StreamKind& kind, const AnswerLength& length,
                    std::uint64_t tokens, TimePoint now);

  /// @brief Tokens that four in five answers exceed, as far as answers of the
  /// kind lately differed from what their callers told; otherwise what this
  /// caller tells, see ExpectedTokens().
  std::uint64_t OptimisticTokens(const StreamKind& kind,
                                 const AnswerLength& length,
                                 TimePoint now) const;

  /// @brief A time per token that one in five recent samples didn't exceed.
  /// @return Nothing with too few samples.
  std::optional<Duration> TimePerToken(const StreamKind& kind,
                                       TimePoint now) const;

  /// @brief Time until the end of the stream, if it begins now.
  /// @param first_event Time until its first event.
  /// @return Nothing without samples, or if the length is unknown.
  /// Complexity: logarithmic in the number of kinds.
  std::optional<Duration> Expected(const StreamKind& kind,
                                   const AnswerLength& length,
                                   Duration first_event, TimePoint now) const;

 private:
  /// The estimates of callers and shares of the maximum are wrong by different
  /// factors.
  struct LengthKind {
    StreamKind kind;
    bool estimated = false;

    friend auto operator<=>(const LengthKind&, const LengthKind&) = default;
  };

  /// Tokens in thousandths of those expected.
  std::map<LengthKind, QuantileWindow> lengths_;
  /// Microseconds per token.
  std::map<StreamKind, QuantileWindow> paces_;
};

}  // namespace rattanward::policy
