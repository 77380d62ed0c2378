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
#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/domain/upstream.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/policy/account_portions.h"

namespace rattanward::policy {

/// @brief What the dispatcher knows of one caller's request.
struct RequestInfo {
  RequestId id;
  ClientAccountId account;
  RequestClassName request_class;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  /// Empty for a service call.
  ModelName model;
  /// Empty for a model request.
  ServiceName service;
  /// Whether a second run does no harm.
  bool idempotent = true;
  /// Hash of account and body; equal for a request that is sent again.
  std::uint64_t fingerprint = 0;
  /// Hash of the start of the prompt, for cache affinity; 0 means none.
  std::uint64_t prefix = 0;
  TimePoint arrived;

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

/// @brief Decision: send the request to this upstream now.
struct StartAttempt {
  RequestId request;
  /// 1 for the first attempt.
  std::uint32_t attempt = 0;
  UpstreamId upstream;
  Endpoint endpoint;
  Tier tier;
  std::vector<std::uint16_t> not_run_statuses;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// @brief Decision: the caller gets this final answer now.
struct Refuse {
  RequestId request;
  Error error;

  friend bool operator==(const Refuse&, const Refuse&) = default;
};

using Decision = std::variant<StartAttempt, Refuse>;

/// @brief How an attempt ended, as the exchange saw it.
enum class AttemptEnd : std::uint8_t {
  /// The whole answer arrived.
  kCompleted,
  /// The upstream refused, and its contract says not run.
  kRefused,
  /// No connection could be opened; not a byte was sent.
  kConnectFailed,
  /// The connection broke after the first byte, or the answer was unusable.
  kBroken,
  /// The upstream stayed silent on the old and on a new connection.
  kSilent,
  /// The caller hung up, so the attempt was cancelled.
  kCallerLeft,
  /// The attempt was given up before a byte was sent (no claim, shutdown).
  kAbandoned,
};

/// @brief Report of the exchange on a finished attempt.
struct AttemptResult {
  RequestId request;
  std::uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kCompleted;
  /// Whether this attempt may have run.
  Verdict verdict = Verdict::kNotRun;
  /// Part of the answer has reached the caller, so no other attempt may start.
  bool answer_begun = false;
  std::uint32_t output_tokens = 0;
  /// What the caller is told if this was the last attempt.
  Error error;

  friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

/// @brief Which decisions are made: ours, or the plain ones to compare with.
enum class Profile : std::uint8_t {
  kStandard,
  /// FIFO, round robin, no shedding but for a full queue, no probation.
  kBaseline,
};

/// @brief Options of a dispatcher that do not come from the configuration.
struct DispatcherOptions {
  Profile profile = Profile::kStandard;
  /// Domain of this entry; upstreams of it are preferred.
  FailureDomain failure_domain;
  /// Seed of the random choices, so that runs can be repeated.
  std::uint64_t seed = 1;
  /// Entries that share the account limits, this one included.
  std::uint32_t entries = 1;
};

/// @brief Suspicion that a request makes upstreams crash, told among entries.
struct Suspicion {
  std::uint64_t fingerprint = 0;
  /// Distinct upstream instances that died while running it alone or not.
  std::vector<UpstreamId> deaths;
  bool quarantined = false;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// @brief Decides, for one entry, what runs where and when, and what is shed.
/// @note Pure: time is a parameter, effects are the returned decisions. Each
/// submitted request ends by exactly one of: a Refuse, a Finish with
/// kCompleted, or a Finish or Cancel after its caller left.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// @brief Puts a newer configuration in force.
  std::vector<Decision> SetConfig(const Config& config, TimePoint now);

  /// @brief Takes a new or changed announcement (draining ones included).
  std::vector<Decision> UpstreamChanged(const Announcement& announcement,
                                        TimePoint now);

  /// @brief Forgets an upstream that expired; running attempts go on.
  std::vector<Decision> UpstreamGone(const UpstreamId& upstream, TimePoint now);

  /// @brief Takes a caller's request.
  std::vector<Decision> Submit(const RequestInfo& request, TimePoint now);

  /// @brief Notes the first token (or answer byte) of an attempt.
  void FirstToken(const RequestId& request, TimePoint now);

  /// @brief Notes how an attempt ended; may start another or refuse.
  std::vector<Decision> Finish(const AttemptResult& result, TimePoint now);

  /// @brief Forgets a request that is still waiting and whose caller left.
  std::vector<Decision> Cancel(const RequestId& request, TimePoint now);

  /// @brief Sheds what has passed its deadline and refills budgets.
  std::vector<Decision> Tick(TimePoint now);

  /// @brief Suspicions that are new here since the last call, to be told.
  /// @note Call it after each Finish and UpstreamGone, and tell the other
  /// entries before the callers are answered: a caller sends again at once.
  std::vector<Suspicion> TakeSuspicions();

  /// @brief Merges a suspicion that another entry told.
  void MergeSuspicion(const Suspicion& suspicion, TimePoint now);

  /// @brief Every suspicion known here, for operators.
  std::vector<Suspicion> Suspicions() const;

  /// @brief Forgets a suspicion or quarantine on an operator's order.
  /// @return Whether it was known here.
  bool ReleaseSuspicion(std::uint64_t fingerprint);

  /// @brief Events of the decisions since the last call: probation begun and
  /// ended.
  std::vector<Event> TakeEvents();

  /// @brief Names the entries that share the account limits.
  /// @note Until it is called, DispatcherOptions::entries shares them evenly.
  void SetEntryGroup(const EntryGroup& group, TimePoint now);

  /// @brief Portion requests that are due, to be sent to their homes.
  std::vector<AddressedRequest> TakePortionRequests(TimePoint now);

  /// @brief Answers another entry's portion request.
  /// @return The grant to send back; nothing if the request is stale or this
  /// entry is not the account's home.
  std::optional<PortionGrant> AnswerPortion(const PortionRequest& request,
                                            TimePoint now);

  /// @brief Takes the answer of an account's home.
  void ApplyPortionGrant(const PortionGrant& grant);

  /// @brief Requests that wait or run here.
  std::size_t OpenRequests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::policy
