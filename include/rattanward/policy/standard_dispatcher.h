#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/event.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/policy/abandoned_runs.h"
#include "rattanward/policy/account_limits.h"
#include "rattanward/policy/chooser.h"
#include "rattanward/policy/class_queue.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/policy/latency_estimator.h"
#include "rattanward/policy/quarantine.h"
#include "rattanward/policy/retry_budget.h"
#include "rattanward/policy/stop_plan.h"
#include "rattanward/policy/target.h"
#include "rattanward/policy/upstream_table.h"

namespace rattanward::policy {

/// @brief Dispatcher that enforces service levels: tiers, floors, deadlines,
/// account limits, probation, retry budgets and quarantine.
/// @note The functions are documented in Dispatcher.
class StandardDispatcher {
 public:
  explicit StandardDispatcher(DispatcherOptions options);

  std::vector<Decision> SetConfig(const Config& config, TimePoint now);
  std::vector<Decision> UpstreamChanged(const Announcement& announcement,
                                        TimePoint now);
  std::vector<Decision> UpstreamGone(const UpstreamId& upstream, TimePoint now);
  std::vector<Decision> Submit(const RequestInfo& request, TimePoint now);
  void FirstToken(const RequestId& request, TimePoint now);
  std::vector<Decision> Finish(const AttemptResult& result, TimePoint now);
  std::vector<Decision> Cancel(const RequestId& request, TimePoint now);
  std::vector<Decision> Tick(TimePoint now);
  std::vector<Decision> SetPathLost(const UpstreamId& upstream, bool lost,
                                    TimePoint now);
  std::vector<Decision> BeginStop(const StopPlan& plan, TimePoint now);
  std::size_t OpenRequests() const { return open_requests_.size(); }

  /// @brief Returns the events since the last call.
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

  /// @brief See Dispatcher.
  std::vector<PartSuspicion> TakePartSuspicions(TimePoint now);
  void MergePartSuspicion(const PartSuspicion& suspicion, TimePoint now);

  /// @brief See Dispatcher.
  void SetEntryGroup(const EntryGroup& group, TimePoint now);
  void ReadLimit(const UpstreamId& upstream,
                 const std::optional<RequestRate>& named, TimePoint now);
  std::vector<UpstreamLimit> TakeLimits(TimePoint now);
  void MergeLimit(const UpstreamLimit& limit, TimePoint now);
  void RecordExtraRequest(const UpstreamId& upstream, TimePoint now);

  Quarantine& quarantine() { return quarantine_; }
  AccountLimits& accounts() { return accounts_; }

 private:
  /// A waiting or running request.
  struct OpenRequest {
    RequestInfo info;
    RequestClass declared;
    Target target;
    std::uint32_t attempt = 0;
    /// Upstream of the running attempt; empty while the request waits.
    UpstreamId upstream;
    /// Strongest verdict of the finished attempts.
    Verdict verdict = Verdict::kNotRun;
    /// Upstreams of earlier attempts, which the next attempt avoids.
    std::vector<UpstreamId> tried;
    /// When the running attempt produced its first token.
    std::optional<TimePoint> first_token;
    /// Whether the request counts towards its account's limits.
    bool counted = true;
    /// Attempts that upstreams turned away, asking for back-off.
    std::uint32_t turned_away = 0;
  };
  using Decisions = std::vector<Decision>;

  void EmitProbationEvents(const UpstreamTable::List& list);
  std::optional<Error> CheckRequest(const RequestInfo& request) const;
  /// Counts the request towards its account's limits. At a limit it removes a
  /// waiting lower-tier request of the account from the queue instead and
  /// returns it. Sets *admitted to false if neither is possible.
  std::optional<QueuedRequest> AdmitToAccount(const RequestInfo& request,
                                              Tier tier, bool* admitted,
                                              TimePoint now);
  void Enqueue(const OpenRequest& open);
  /// Decides whether a request that found no upstream may wait, and refuses the
  /// request that is shed. If occupancy_freed, a displaced request of the
  /// account has already left the queue, so nothing is shed for a full queue.
  /// Returns whether the request was kept.
  bool AdmitWaiting(const RequestId& id, bool occupancy_freed, Decisions* out,
                    TimePoint now);
  /// Refuses a request displaced by another one of its account, which then
  /// counts towards the account's limits instead.
  void RefuseDisplaced(const QueuedRequest& displaced, const RequestId& by,
                       Decisions* out, TimePoint now);

  /// Starts waiting requests of the target until none can start.
  void DispatchWaiting(const Target& target, Decisions* out, TimePoint now);
  /// Chooses an upstream for a waiting request. Requests that may not start any
  /// more are added to unstartable, to be refused.
  Eligibility CheckEligibility(const QueuedRequest& queued, bool floor_due,
                               TimePoint now, UpstreamState** chosen,
                               std::vector<RequestId>* unstartable);
  /// Returns an error if no further attempt may start: the request is
  /// quarantined or can't begin before its deadline.
  std::optional<Error> CheckStartable(const OpenRequest& open,
                                      TimePoint now) const;
  void Start(OpenRequest* open, UpstreamState* upstream, Decisions* out,
             TimePoint now);
  bool AllTried(const OpenRequest& open) const;
  void ShedUnstartable(Decisions* out, TimePoint now);
  /// Returns an error if this entry stops, and the request would not end in
  /// time after it has waited for a slot.
  std::optional<Error> CheckStop(const OpenRequest& open, Duration wait,
                                 TimePoint now) const;
  void RefuseUnfinishable(Decisions* out, TimePoint now);
  Error UnavailableError(const Target& target) const;
  void RefuseWithoutUpstream(const Target& target, Decisions* out);

  void RecordAttemptEnd(const OpenRequest& open, const AttemptResult& result,
                        TimePoint now);
  /// Adds a crash of the upstream to the record of every request running there.
  void RecordCrash(const UpstreamId& upstream, TimePoint now);
  void AddChangedParts(const std::vector<PartSuspicion>& changed);
  bool IsQuarantined(const RequestInfo& request) const;
  /// Returns the final error if the request may not be tried again.
  std::optional<Error> CheckRetry(const OpenRequest& open,
                                  const AttemptResult& result, TimePoint now);
  void FinishFailed(OpenRequest* open, const AttemptResult& result,
                    Decisions* out, TimePoint now);
  /// Takes the id by value because it may belong to the open request, which is
  /// erased.
  void RefuseOpen(RequestId id, Error error, Decisions* out);
  void Close(const RequestId& id);

  /// Expected wait for an upstream slot of a new request of the class: by its
  /// tier or by its floor, whichever is shorter.
  Duration ExpectedSlotWait(const Target& target, const RequestClass& declared,
                            TimePoint now) const;
  /// Returns the function that gives each class's cutoff: requests that arrived
  /// by then can no longer meet their first-token target.
  ClassQueue::Cutoff LateCutoff(const Target& target, TimePoint now) const;
  TimePoint DeadlineOf(const OpenRequest& open) const;
  bool IsSuspect(std::uint64_t fingerprint) const;
  /// Returns an error if every upstream wants no request of this entry, for
  /// longer than the request should wait.
  std::optional<Error> CheckHeldBack(const OpenRequest& open,
                                     TimePoint now) const;
  void ApplyLimit(const UpstreamId& upstream, TimePoint now);

  Config config_;
  ClassQueue queue_;
  UpstreamTable upstreams_;
  Chooser chooser_;
  LatencyEstimator latency_;
  AccountLimits accounts_;
  RetryBudget retry_budget_;
  Quarantine quarantine_;
  PartQuarantine part_quarantine_;
  AbandonedRuns<RunningAttempt> abandoned_;
  /// Changes for TakePartSuspicions().
  std::vector<PartSuspicion> changed_parts_;
  TimePoint all_parts_told_at_;
  /// Latest limit that each upstream named, or that it withdrew.
  std::unordered_map<UpstreamId, NamedLimit> limits_;
  /// Changes for TakeLimits().
  std::vector<UpstreamId> changed_limits_;
  TimePoint all_limits_told_at_;
  EntryGroup group_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  /// Number of running attempts by fingerprint.
  std::unordered_map<std::uint64_t, std::uint32_t> running_by_fingerprint_;
  std::optional<TimePoint> next_maintenance_;
  /// Set once this entry stops.
  std::optional<StopPlan> stop_plan_;
  std::vector<Event> events_;
};

}  // namespace rattanward::policy
