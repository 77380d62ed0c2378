#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "rattanward/domain/config.h"
#include "rattanward/domain/error.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/policy/account_portions.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/policy/stop_plan.h"

namespace rattanward::policy {

/// @brief Attributes of a caller's request that dispatching depends on.
struct RequestInfo {
  RequestId id;
  ClientAccountId account;
  RequestClassName request_class;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  /// Empty for a service call.
  ModelName model;
  /// Empty for a model request.
  ServiceName service;
  /// Whether the request may safely run more than once.
  bool idempotent = true;
  /// Hash of account and body; equal when a caller resends the same request.
  std::uint64_t fingerprint = 0;
  /// Hashes of the messages of the prompt that other requests may share: all
  /// but the last.
  std::vector<std::uint64_t> shared_parts;
  /// Hash of the start of the prompt, for cache affinity; 0 means none.
  std::uint64_t prefix = 0;
  TimePoint arrived;

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

/// @brief Decision to send a request to an upstream now.
struct StartAttempt {
  RequestId request;
  /// 1 for the first attempt.
  std::uint32_t attempt = 0;
  UpstreamId upstream;
  Endpoint endpoint;
  Tier tier;
  /// HTTP status codes by which the upstream declares that it did not run the
  /// request.
  std::vector<std::uint16_t> not_run_statuses;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// @brief Decision to answer the caller with an error now; ends the request.
struct Refuse {
  RequestId request;
  Error error;

  friend bool operator==(const Refuse&, const Refuse&) = default;
};

using Decision = std::variant<StartAttempt, Refuse>;

/// @brief How an attempt ended, as observed by the exchange that ran it.
enum class AttemptEnd : std::uint8_t {
  /// The complete answer was received.
  kCompleted,
  /// The upstream refused the request with a status that means "not run".
  kRefused,
  /// The connection could not be opened; no byte was sent.
  kConnectFailed,
  /// The connection broke after the first byte, or the answer was invalid.
  kBroken,
  /// The upstream did not respond on the existing or on a new connection.
  kSilent,
  /// The caller disconnected, so the attempt was cancelled.
  kCallerLeft,
  /// The attempt was abandoned before any byte was sent, because no claim was
  /// obtained or the process is shutting down.
  kAbandoned,
};

/// @brief Outcome of a finished attempt, reported by its exchange.
struct AttemptResult {
  RequestId request;
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kCompleted;
  /// Whether this attempt may have run.
  Verdict verdict = Verdict::kNotRun;
  /// Part of the answer was sent to the caller, so no retry is possible.
  bool answer_begun = false;
  std::uint32_t output_tokens = 0;
  /// The upstream refused the request and wants none of this entry for so long.
  std::optional<Duration> backoff_for;
  /// Error returned to the caller if the attempt is not retried.
  Error error;

  friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

/// @brief Dispatching algorithm.
enum class Profile : std::uint8_t {
  /// Service levels; see StandardDispatcher.
  kStandard,
  /// Reference for comparison: FIFO queue, round robin, shedding only when the
  /// queue is full, no probation.
  kBaseline,
};

/// @brief Options of a dispatcher that do not come from the configuration.
struct DispatcherOptions {
  Profile profile = Profile::kStandard;
  /// Failure domain of this entry; its upstreams are preferred.
  FailureDomain failure_domain;
  /// Seed of the random choices, for reproducible runs.
  std::uint64_t seed = 1;
  /// Number of entries that share the account limits, including this one.
  std::uint32_t entries = 1;
};

/// @brief Suspicion that a request crashes upstreams, exchanged among entries.
struct Suspicion {
  std::uint64_t fingerprint = 0;
  /// Distinct upstream instances that crashed while running the request, alone
  /// or alongside others.
  std::vector<UpstreamId> deaths;
  bool quarantined = false;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// @brief Schedules the requests of one entry: decides which request starts on
/// which upstream and which requests are shed.
/// @note Performs no I/O and reads no clock: the time is a parameter, and the
/// caller carries out the returned decisions. Each submitted request ends in
/// exactly one way: a Refuse decision, a Finish() with kCompleted, or a
/// Finish() or Cancel() after its caller disconnected.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// @brief Applies a newer configuration.
  std::vector<Decision> SetConfig(const Config& config, TimePoint now);

  /// @brief Processes a new or changed announcement, which may be draining.
  std::vector<Decision> UpstreamChanged(const Announcement& announcement,
                                        TimePoint now);

  /// @brief Removes an upstream that expired; its running attempts continue.
  std::vector<Decision> UpstreamGone(const UpstreamId& upstream, TimePoint now);

  /// @brief Admits, queues or refuses a caller's request.
  std::vector<Decision> Submit(const RequestInfo& request, TimePoint now);

  /// @brief Records the first token (or answer byte) of a running attempt.
  void FirstToken(const RequestId& request, TimePoint now);

  /// @brief Records the outcome of an attempt; may retry or refuse the request.
  std::vector<Decision> Finish(const AttemptResult& result, TimePoint now);

  /// @brief Removes a waiting request whose caller disconnected.
  std::vector<Decision> Cancel(const RequestId& request, TimePoint now);

  /// @brief Performs periodic work: sheds requests that can no longer begin in
  /// time, reviews probations and starts waiting requests.
  std::vector<Decision> Tick(TimePoint now);

  /// @brief Begins a planned stop: waiting requests that would not end in time
  /// are refused, now and later (kShuttingDown, or kEntryStopped after an
  /// attempt that may have run).
  std::vector<Decision> BeginStop(const StopPlan& plan, TimePoint now);

  /// @brief Sets whether this entry has lost its path to an upstream, which
  /// then gets no request. Without any path, requests are refused at once
  /// (kNoPath), so that another entry can serve them.
  std::vector<Decision> SetPathLost(const UpstreamId& upstream, bool lost,
                                    TimePoint now);

  /// @brief Returns the suspicions that arose at this entry since the last
  /// call, to be sent to the other entries.
  /// @note Call it after each Finish() and UpstreamGone(), and inform the other
  /// entries before answering the callers, which may resend immediately.
  std::vector<Suspicion> TakeSuspicions();

  /// @brief Returns what changed at this entry against parts of prompts since
  /// the last call, and from time to time everything, since news may be lost.
  std::vector<PartSuspicion> TakePartSuspicions(TimePoint now);

  /// @brief Merges what another entry knows against a part of prompts.
  void MergePartSuspicion(const PartSuspicion& suspicion, TimePoint now);

  /// @brief Reads the limit that an upstream named in an answer, or that it
  /// named none.
  void ReadLimit(const UpstreamId& upstream,
                 const std::optional<RequestRate>& named, TimePoint now);

  /// @brief Returns the limits that changed at this entry since the last call,
  /// and from time to time all, since news may be lost.
  std::vector<UpstreamLimit> TakeLimits(TimePoint now);

  /// @brief Merges the limit that an upstream named to another entry.
  void MergeLimit(const UpstreamLimit& limit, TimePoint now);

  /// @brief Counts a request to an upstream beyond the started attempts: a
  /// status query, a resumed connection or a cancellation.
  void RecordExtraRequest(const UpstreamId& upstream, TimePoint now);

  /// @brief Merges a suspicion received from another entry.
  void MergeSuspicion(const Suspicion& suspicion, TimePoint now);

  /// @brief Returns every known suspicion, for operators.
  std::vector<Suspicion> Suspicions() const;

  /// @brief Removes a suspicion or quarantine at an operator's request.
  /// @return Whether the suspicion was known to this entry.
  bool ReleaseSuspicion(std::uint64_t fingerprint);

  /// @brief Returns the events since the last call: begin and end of upstream
  /// probations.
  std::vector<Event> TakeEvents();

  /// @brief Sets the entries that share the account limits.
  /// @note Before the first call, the limits are divided evenly by
  /// DispatcherOptions::entries.
  void SetEntryGroup(const EntryGroup& group, TimePoint now);

  /// @brief Returns the portion requests that are due, each addressed to the
  /// account's home entry.
  std::vector<AddressedRequest> TakePortionRequests(TimePoint now);

  /// @brief Answers another entry's portion request.
  /// @return The grant to send back; nothing if the request is stale or this
  /// entry is not the account's home.
  std::optional<PortionGrant> AnswerPortion(const PortionRequest& request,
                                            TimePoint now);

  /// @brief Applies a grant received from an account's home entry.
  void ApplyPortionGrant(const PortionGrant& grant);

  /// @brief Returns the number of waiting and running requests.
  std::size_t OpenRequests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::policy
