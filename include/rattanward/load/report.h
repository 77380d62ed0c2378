#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/load/scenario.h"

namespace rattanward::load {

/// @brief Outcome of a request as seen by its caller.
enum class CallOutcome : std::uint8_t {
  /// The complete answer arrived.
  kComplete,
  /// An error answer or an error event arrived.
  kError,
  /// The connection ended or timed out before the answer was complete, and no
  /// error arrived.
  kInterrupted,
  /// No entry accepted the connection.
  kNoConnection,
  /// The load tool skipped the request because its limit of open requests was
  /// reached.
  kNotSent,
};

/// @brief Measurements of one request.
struct CallRecord {
  PlannedRequest planned;
  CallOutcome outcome = CallOutcome::kNotSent;
  /// Whether the request ran, as far as its caller can tell.
  Verdict verdict = Verdict::kNotRun;
  /// Error code that arrived; 0 if none, -1 if the error has no code.
  int error = 0;
  /// Delay from the planned moment until the request was sent.
  Duration lateness{0};
  /// Time from the planned moment to the first token, or to the complete
  /// answer if it isn't streamed.
  std::optional<Duration> first_token;
  /// Time from the planned moment to the end of the request.
  Duration total{0};
  std::uint32_t tokens = 0;
  /// Mean time between consecutive tokens; 0 for fewer than two tokens.
  Duration between_tokens{0};
  /// The answer was invalid: it contained tokens of another answer or out of
  /// order, a malformed event, or not the requested number of tokens.
  bool wrong_answer = false;

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

/// @brief Counters of the upstreams at the end of a run.
struct UpstreamCounts {
  /// Tokens that the engines generated during the run.
  std::uint64_t engine_tokens = 0;
  /// Highest number of executions of any idempotency key. More than 1 means
  /// that a service executed a request twice.
  std::uint64_t max_runs_of_key = 0;

  friend bool operator==(const UpstreamCounts&,
                         const UpstreamCounts&) = default;
};

/// @brief Results for one request class.
/// @note Covers the requests planned after the warm-up, except those with
/// outcome kNotSent.
struct ClassReport {
  RequestClassName request_class;
  std::uint64_t sent = 0;
  /// Requests with a complete answer.
  std::uint64_t whole = 0;
  /// Requests with a complete answer whose first token met the target.
  std::uint64_t met = 0;
  /// Errors with verdict kNotRun.
  std::uint64_t not_run = 0;
  /// Errors with any other verdict, kRan included.
  std::uint64_t may_have_run = 0;
  /// Interrupted answers and requests that no entry accepted.
  std::uint64_t broken = 0;
  /// Tokens of the answers counted by met.
  std::uint64_t goodput_tokens = 0;
  /// Percentiles of CallRecord::first_token, whatever the outcome.
  Duration first_token_p50{0};
  Duration first_token_p95{0};
  Duration first_token_p99{0};
  /// 95th percentile of the means in CallRecord::between_tokens.
  Duration between_tokens_p95{0};

  /// @brief Fraction of sent requests that met their target; 1 if none was
  /// sent.
  double Attainment() const;

  friend bool operator==(const ClassReport&, const ClassReport&) = default;
};

/// @brief Results of a run.
struct LoadReport {
  std::string scenario;
  std::string label;
  std::uint64_t seed = 0;
  /// Duration of the scenario without the warm-up.
  Duration measured_duration{0};
  std::vector<ClassReport> classes;
  /// Requests with outcome kNotSent. This and all figures below include the
  /// warm-up.
  std::uint64_t not_sent = 0;
  std::uint64_t wrong_answers = 0;
  /// 99th percentile of CallRecord::lateness. High values mean that the load
  /// tool itself was overloaded.
  Duration late_p99{0};
  std::uint64_t engine_tokens = 0;
  /// Generated tokens that are not part of a complete answer.
  std::uint64_t wasted_tokens = 0;
  std::uint64_t max_runs_of_key = 0;

  /// @brief Fraction of the generated tokens that were wasted; 0 if none was
  /// generated.
  double WastedShare() const;
  /// @brief Tokens per second, after the warm-up, of answers that met their
  /// target; 0 if the measured duration is 0.
  double GoodputTokensPerSecond() const;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// @brief Computes the results of a run.
/// @param scenario The scenario of the run.
/// @param label Name of the run, such as the profile under test.
/// @param records One record per planned request.
/// @param upstreams Counters of the upstreams.
/// Complexity: O(n log n) in the number of records.
LoadReport MakeReport(const Scenario& scenario, std::string label,
                      const std::vector<CallRecord>& records,
                      const UpstreamCounts& upstreams);

/// @brief Formats a report as JSON on one line, without a newline.
std::string ToJson(const LoadReport& report);

/// @brief Formats a report as a text table at most 40 characters wide.
std::string ToTable(const LoadReport& report);

}  // namespace rattanward::load
