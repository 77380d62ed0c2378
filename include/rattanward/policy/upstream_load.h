#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/placement.h"
#include "rattanward/policy/speed_estimate.h"
#include "rattanward/policy/stream_versions.h"

namespace rattanward::policy {

/// @brief Load that entries have placed on one upstream.
struct UpstreamLoad {
  static constexpr std::uint64_t kMilliPerOutcome = 1000;

  /// Requests sent and not ended.
  std::uint32_t running = 0;
  /// Prompt tokens whose prefill is not complete.
  std::uint64_t pending_prefill_tokens = 0;
  /// Upper bound of the prompt and output tokens of running requests.
  std::uint64_t reserved_tokens = 0;
  /// Recent successful and failed requests, in thousandths of a request; they
  /// decay exponentially.
  std::uint64_t success_milli = 0;
  std::uint64_t failure_milli = 0;
  /// Running streams with tight pauses.
  std::uint32_t tight_streams = 0;

  UpstreamLoad& operator+=(const UpstreamLoad& other) {
    running += other.running;
    pending_prefill_tokens += other.pending_prefill_tokens;
    reserved_tokens += other.reserved_tokens;
    success_milli += other.success_milli;
    failure_milli += other.failure_milli;
    tight_streams += other.tight_streams;
    return *this;
  }
  UpstreamLoad& operator-=(const UpstreamLoad& other) {
    running -= other.running;
    pending_prefill_tokens -= other.pending_prefill_tokens;
    reserved_tokens -= other.reserved_tokens;
    success_milli -= other.success_milli;
    failure_milli -= other.failure_milli;
    tight_streams -= other.tight_streams;
    return *this;
  }

  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

/// @brief Share of the recently ended requests of an upstream that failed.
/// @note A fixed number of successes is added as a prior, so that a single
/// failure changes the rate little.
double FailureRate(const UpstreamLoad& load);

/// @brief Load that one entry has placed on the upstreams that it uses.
struct EntryLoad {
  ProcessId entry;
  /// Whether only the upstreams named here have changed. Otherwise those that
  /// are not named have no load of this entry.
  bool partial = false;
  /// Time until this report expires unless a newer one replaces it. Reports
  /// may be lost.
  Duration valid_for{std::chrono::milliseconds(1500)};
  std::map<UpstreamId, UpstreamLoad> upstreams;
  /// Prompt parts that were recently sent to each upstream.
  std::map<UpstreamId, std::vector<PromptPart>> placed_parts;
  /// Streams that lately began at this entry and may go on at another.
  std::vector<StreamVersion> streams;
  /// Upstreams with a rejection limit that have just rejected a request.
  std::vector<UpstreamId> rejecting;
  /// Paces of streams that ended lately. Reports repeat them, since a report
  /// may be lost.
  std::vector<PaceSample> paces;

  friend bool operator==(const EntryLoad&, const EntryLoad&) = default;
};

}  // namespace rattanward::policy
