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

/// @brief How a request ended, as its caller saw it.
enum class CallOutcome : std::uint8_t {
  /// The whole answer to this request arrived.
  kComplete,
  /// An error with a verdict arrived.
  kError,
  /// The answer broke off without an error.
  kInterrupted,
  /// No entry took the connection.
  kNoConnection,
  /// The load tool had no free thread.
  kNotSent,
};

/// @brief What the load tool saw of one request.
struct CallRecord {
  PlannedRequest planned;
  CallOutcome outcome = CallOutcome::kNotSent;
  Verdict verdict = Verdict::kNotRun;
  /// Number of the error that arrived; 0 if none.
  int error = 0;
  /// Sent this much later than planned.
  Duration lateness{0};
  /// From the planned moment to the first token (or whole answer).
  std::optional<Duration> first_token;
  /// From the planned moment to the end.
  Duration total{0};
  std::uint32_t tokens = 0;
  /// Mean time between two tokens; zero for fewer than two.
  Duration between_tokens{0};
  /// A piece of another answer, or a piece out of order, arrived.
  bool wrong_answer = false;

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

/// @brief What the upstreams counted during the run.
struct UpstreamCounts {
  /// Tokens that engines generated.
  std::uint64_t engine_tokens = 0;
  /// Most runs of one idempotency key.
  std::uint64_t max_runs_of_key = 0;

  friend bool operator==(const UpstreamCounts&,
                         const UpstreamCounts&) = default;
};

/// @brief Figures of one request class.
struct ClassReport {
  RequestClassName request_class;
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t met = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t broken = 0;
  std::uint64_t goodput_tokens = 0;
  Duration first_token_p50{0};
  Duration first_token_p95{0};
  Duration first_token_p99{0};
  Duration between_tokens_p95{0};

  /// @brief Share of sent requests that met their target; 1 if none was sent.
  double Attainment() const;

  friend bool operator==(const ClassReport&, const ClassReport&) = default;
};

/// @brief Figures of a run.
struct LoadReport {
  std::string scenario;
  std::string label;
  std::uint64_t seed = 0;
  Duration measured_duration{0};
  std::vector<ClassReport> classes;
  std::uint64_t not_sent = 0;
  std::uint64_t wrong_answers = 0;
  Duration late_p99{0};
  /// Tokens generated over the whole run, the warm-up included.
  std::uint64_t engine_tokens = 0;
  /// Generated tokens that are in no whole answer.
  std::uint64_t wasted_tokens = 0;
  std::uint64_t max_runs_of_key = 0;

  /// @brief Wasted share of the generated tokens.
  double WastedShare() const;
  /// @brief Tokens a second of answers that met their target.
  double GoodputTokensPerSecond() const;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// @brief Works the figures of a run out.
/// @param scenario What was sent.
/// @param label Name of the run, such as the profile under test.
/// @param records One for each planned request.
/// @param upstreams What the upstreams counted.
/// Complexity: n log n in the number of records.
LoadReport MakeReport(const Scenario& scenario, std::string label,
                      const std::vector<CallRecord>& records,
                      const UpstreamCounts& upstreams);

/// @brief The report as one line of JSON.
std::string ToJson(const LoadReport& report);

/// @brief The report as a table of 40 columns.
std::string ToTable(const LoadReport& report);

}  // namespace rattanward::load
