#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/event.h"
#include "rattanward/policy/account_limits.h"
#include "rattanward/policy/chooser.h"
#include "rattanward/policy/class_queue.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/policy/latency_estimator.h"
#include "rattanward/policy/quarantine.h"
#include "rattanward/policy/retry_budget.h"
#include "rattanward/policy/target.h"
#include "rattanward/policy/upstream_table.h"

namespace rattanward::policy {

/// @brief The dispatcher with service levels: tiers, floors, deadlines,
/// account limits, probation, retry budgets and quarantine.
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
  std::size_t OpenRequests() const { return open_requests_.size(); }

  /// @brief Events since the last call.
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

  Quarantine& quarantine() { return quarantine_; }
  AccountLimits& accounts() { return accounts_; }

 private:
  /// A request that waits or runs.
  struct OpenRequest {
    RequestInfo info;
    RequestClass declared;
    Target target;
    std::uint32_t attempt = 0;
    /// Where it runs; empty while it waits.
    UpstreamId upstream;
    /// Strongest verdict of its ended attempts.
    Verdict verdict = Verdict::kNotRun;
    std::vector<UpstreamId> tried;
    std::optional<TimePoint> first_token;
    /// Whether the account's limits count it.
    bool counted = true;
  };
  using Decisions = std::vector<Decision>;

  void EmitProbationEvents(const UpstreamTable::List& list);
  std::optional<Error> CheckRequest(const RequestInfo& request) const;
  std::optional<QueuedRequest> AdmitToAccount(const RequestInfo& request,
                                              Tier tier, bool* admitted,
                                              TimePoint now);
  void Enqueue(const OpenRequest& open);
  /// Whether a request that found no upstream is kept; occupancy_freed says
  /// that another one has left the queue's room to it.
  bool AdmitWaiting(const RequestId& id, bool occupancy_freed, Decisions* out,
                    TimePoint now);
  void RefuseDisplaced(const QueuedRequest& displaced, const RequestId& by,
                       Decisions* out, TimePoint now);

  void DispatchWaiting(const Target& target, Decisions* out, TimePoint now);
  Eligibility CheckEligibility(const QueuedRequest& queued, bool floor_due,
                               TimePoint now, UpstreamState** chosen,
                               std::vector<RequestId>* unstartable);
  std::optional<Error> CheckStartable(const OpenRequest& open,
                                      TimePoint now) const;
  void Start(OpenRequest* open, UpstreamState* upstream, Decisions* out,
             TimePoint now);
  bool AllTried(const OpenRequest& open) const;
  void ShedUnstartable(Decisions* out, TimePoint now);
  void RefuseWithoutUpstream(const Target& target, Decisions* out);

  void RecordAttemptEnd(const OpenRequest& open, const AttemptResult& result,
                        TimePoint now);
  void RecordCrash(const UpstreamId& upstream, TimePoint now);
  std::optional<Error> CheckRetry(const OpenRequest& open,
                                  const AttemptResult& result, TimePoint now);
  void FinishFailed(OpenRequest* open, const AttemptResult& result,
                    Decisions* out, TimePoint now);
  /// Takes the id by value: the open request that holds it is erased.
  void RefuseOpen(RequestId id, Error error, Decisions* out);
  void Close(const RequestId& id);

  /// Expected wait of a new request of the class: by its tier, or by its
  /// floor if that is sooner.
  Duration ExpectedSlotWait(const Target& target, const RequestClass& declared,
                            TimePoint now) const;
  /// Which requests' first tokens can't come within their target any more.
  ClassQueue::Cutoff LateCutoff(const Target& target, TimePoint now) const;
  TimePoint DeadlineOf(const OpenRequest& open) const;
  bool IsSuspect(std::uint64_t fingerprint) const;

  Config config_;
  ClassQueue queue_;
  UpstreamTable upstreams_;
  Chooser chooser_;
  LatencyEstimator latency_;
  AccountLimits accounts_;
  RetryBudget retry_budget_;
  Quarantine quarantine_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  /// Attempts that run, by fingerprint.
  std::unordered_map<std::uint64_t, std::uint32_t> running_by_fingerprint_;
  std::optional<TimePoint> next_maintenance_;
  std::vector<Event> events_;
};

}  // namespace rattanward::policy
