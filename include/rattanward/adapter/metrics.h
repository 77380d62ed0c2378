#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/verdict.h"

namespace rattanward::adapter {

/// @brief How a request that was taken ended for its caller.
enum class Outcome : std::uint8_t {
  /// The whole answer was delivered.
  kAnswered,
  /// The caller got an error after the request had been dispatched.
  kFailed,
  /// The caller hung up.
  kCallerLeft,
};

/// @brief One request that ended after its dispatch.
struct RequestFinished {
  RequestClassName request_class;
  Outcome outcome = Outcome::kAnswered;
  Verdict verdict = Verdict::kRan;
  /// From arrival to the first token; absent if none reached the caller.
  std::optional<Duration> first_token;
  /// The answer was whole and its first token came within the target.
  bool met_target = false;
  /// Tokens delivered to the caller.
  std::uint64_t output_tokens = 0;
  /// Tokens made by upstreams for it that no caller got (retries, cancelled
  /// or broken answers).
  std::uint64_t wasted_tokens = 0;
  /// The request was ended because the entry stops.
  bool stopped = false;
};

/// @brief One request that was refused before its dispatch.
struct RequestShed {
  RequestClassName request_class;
  ErrorCode reason = ErrorCode::kQueueFull;
  /// Of a relayed request; none has run here.
  Verdict verdict = Verdict::kNotRun;
};

/// @brief State of an upstream as this entry sees it.
enum class UpstreamState : std::uint8_t { kHealthy, kProbation, kDraining };

/// @brief Health and load of one upstream as this entry sees it.
struct UpstreamSample {
  UpstreamId upstream;
  FailureDomain failure_domain;
  UpstreamState state = UpstreamState::kHealthy;
  /// Attempts of this entry that run there.
  std::uint32_t in_flight = 0;

  friend bool operator==(const UpstreamSample&,
                         const UpstreamSample&) = default;
};

/// @brief Totals of one request class since the process started.
struct ClassTotals {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t shed = 0;
  std::uint64_t met_target = 0;
  std::uint64_t retries = 0;
  std::uint64_t output_tokens = 0;
  /// Tokens of answers that met the target.
  std::uint64_t goodput_tokens = 0;
  std::uint64_t wasted_tokens = 0;
  std::uint32_t queue_length = 0;
  /// First-token times in seconds: sum, count, and estimated quantiles.
  double first_token_sum = 0;
  std::uint64_t first_token_count = 0;
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  double first_token_p99 = 0;
  std::map<ErrorCode, std::uint64_t> shed_by_reason;
  std::map<Verdict, std::uint64_t> by_verdict;
  /// Requests that were ended because the entry stops.
  std::map<Verdict, std::uint64_t> stopped;

  /// @brief Share of requests that met the target; 1 if there were none.
  /// @note Shed and failed requests count as missed; callers who left do not
  /// count.
  double Attainment() const;
};

/// @brief What the process itself uses.
struct ProcessUsage {
  double cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
  std::uint64_t threads = 0;
};

/// @brief Everything that is measured, as one value.
struct MetricsSnapshot {
  std::map<RequestClassName, ClassTotals> classes;
  std::vector<UpstreamSample> upstreams;
  std::uint32_t open_requests = 0;
  ConfigVersion in_force;
  std::uint64_t peer_bytes_sent = 0;
  std::uint64_t peer_bytes_received = 0;
  ProcessUsage usage;
};

/// @brief Counts what an entry does; safe to call from any thread.
/// @note Each call takes one mutex for well under a microsecond. Class names
/// must be declared ones, so that the number of classes stays bounded.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(const RequestFinished& request);
  void Count(const RequestShed& request);
  void CountRetry(const RequestClassName& request_class);
  void CountPeerBytes(std::uint64_t sent, std::uint64_t received);

  /// @brief Replaces the number of waiting requests of a class.
  void SetQueueLength(const RequestClassName& request_class,
                      std::uint32_t length);
  /// @brief Replaces the number of requests that wait or run.
  void SetOpenRequests(std::uint32_t count);
  /// @brief Replaces the version of the configuration in force.
  void SetConfigVersion(ConfigVersion version);
  /// @brief Replaces the samples of all upstreams.
  void SetUpstreams(std::vector<UpstreamSample> upstreams);

  /// @brief Copies all totals and reads the process's own usage.
  MetricsSnapshot Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief The process's processor time, memory and threads.
/// @note Zeros if the system does not tell.
ProcessUsage ReadProcessUsage();

/// @brief The totals in the text format that scrapers read (version 0.0.4).
/// @param snapshot The totals.
/// @return The text, with a "# TYPE" line for each metric.
std::string ToScrapeText(const MetricsSnapshot& snapshot);

}  // namespace rattanward::adapter
