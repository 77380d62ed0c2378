#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/backoff_period.h"
#include "rattanward/policy/failing_upstreams.h"
#include "rattanward/policy/hedge_plan.h"
#include "rattanward/policy/limit_share.h"
#include "rattanward/policy/placement.h"
#include "rattanward/policy/placer_options.h"
#include "rattanward/policy/reading_rate.h"
#include "rattanward/policy/room_share.h"
#include "rattanward/policy/speed_estimate.h"
#include "rattanward/policy/upstream_load.h"

namespace rattanward::policy {

/// @brief Chooses an upstream for each request by load and prefix-cache
/// affinity.
/// @note Performs no I/O and reads no clock. Requests of this entry count
/// immediately, those of other entries once their load reports arrive. The
/// score of an engine is the estimated work ahead of the request, in prompt
/// tokens; the score of a plain service's upstream is relative to its slots.
/// The lowest score wins.
class Placer {
 public:
  explicit Placer(FailureDomain own_domain, PlacerOptions options = {})
      : own_domain_(std::move(own_domain)), options_(options) {}

  // Not copyable: services hold pointers to the instances of this object.
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;
  Placer(Placer&&) noexcept = default;
  Placer& operator=(Placer&&) noexcept = default;
  ~Placer() = default;

  /// @brief Replaces the declared services; upstreams of any other service are
  /// not used.
  void SetServices(const std::vector<RoutedService>& services);

  /// @brief Adds or updates an upstream instance. A restart of the instance
  /// resets its load and cached parts.
  /// @return Whether it is new or has restarted.
  bool SetInstance(const membership::InstanceRecord& record);
  void RemoveInstance(const UpstreamId& id);

  /// @brief Sets the number of entries that share the upstreams, this one
  /// included.
  void SetEntries(std::size_t entries);

  /// @brief Replaces the reported load of another entry and drops expired
  /// reports.
  void SetEntryLoad(const EntryLoad& load, TimePoint now);

  /// @brief Chooses the upstream for a request.
  /// @param excluded Upstreams that must not be chosen.
  /// @return None if no upstream is available, or if a long prompt should wait
  /// for the chosen engine's prefill backlog to shrink.
  std::optional<UpstreamId> Choose(const PlacementRequest& request,
                                   const std::set<UpstreamId>& excluded,
                                   TimePoint now) const;

  /// @brief Sets the period of the load reports between entries.
  void SetReportPeriod(Duration period) { report_period_ = period; }

  /// @brief Whether every upstream of a service is full, avoided or not ready.
  /// True for an unknown service.
  bool NoneAvailable(const ServiceName& service, TimePoint now) const;

  /// @brief Whether a service has any ready upstream.
  bool HasUpstream(const ServiceName& service) const;

  /// @brief Whether a service has a ready upstream that is not excluded.
  bool HasAlternative(const ServiceName& service,
                      const std::set<UpstreamId>& excluded) const;

  /// @brief Whether a ready upstream has a version that may run the request and
  /// is not excluded.
  bool HasAlternative(const PlacementRequest& request,
                      const std::set<UpstreamId>& excluded) const;

  /// @brief Records that a request was sent to an upstream.
  /// @return The load that was added, to be passed to RecordFirstEvent() and
  /// ReleaseCharge().
  PlacementCharge RecordSend(const UpstreamId& id,
                             const PlacementRequest& request, TimePoint now);

  /// @brief Records the first event of an answer, which means that the prefill
  /// is complete.
  /// @param charge Its pending prefill tokens are set to 0.
  void RecordFirstEvent(const UpstreamId& id, PlacementCharge* charge);

  /// @brief Learns from the first event of an answer how fast engines read.
  /// @param charge As it is before RecordFirstEvent().
  void RecordReading(const UpstreamId& id, const PlacementCharge& charge,
                     TimePoint now);

  /// @brief Least time until the first event of a request over the usable
  /// engines of its service, full ones included, if it were sent now.
  /// @return None for a plain service, or if no engine is usable.
  /// @note Optimistic: only reading prompts counts, at a rate that few exceed.
  std::optional<Duration> ExpectedFirstEvent(
      const PlacementRequest& request, const std::set<UpstreamId>& excluded,
      TimePoint now) const;

  /// @brief Subtracts the load of a request that has ended.
  void ReleaseCharge(const UpstreamId& id, const PlacementCharge& charge);

  /// @brief Records that an upstream refused a request or could not be reached,
  /// and avoids it for a while.
  /// @param unreachable False for a refusal. If true, the avoidance doubles
  /// with each consecutive failure and the cached parts are forgotten.
  void RecordFailure(const UpstreamId& id, bool unreachable, TimePoint now);

  /// @brief Sets whether this entry has lost its path to an upstream, which
  /// then gets no request.
  void SetPathLost(const UpstreamId& id, bool lost);

  /// @brief Whether the requests of a service should be relayed to other
  /// entries: this entry has no path to any upstream, or has lost half of the
  /// paths or more and the other upstreams have no room.
  bool ShouldRelay(const ServiceName& service, TimePoint now) const;

  /// @brief Whether this entry has a path to any upstream of a service.
  bool HasPath(const ServiceName& service) const;

  /// @brief Whether a service has engines, which take long to answer.
  bool HasEngines(const ServiceName& service) const;

  /// @brief Records that an upstream wants no request of this entry for some
  /// time.
  /// @return Time that counts.
  Duration RecordBackoff(const UpstreamId& id, Duration backoff_for,
                         TimePoint now);

  /// @brief Sets the limit that an upstream names for all entries together, or
  /// that it names none.
  void SetLimit(const UpstreamId& id, const std::optional<RequestRate>& limit,
                TimePoint now);

  /// @brief Replaces this entry's shares in the limits. An upstream with a
  /// limit and without a share gets no request of this entry.
  /// @param confirmed_at Time for which a leader confirmed them.
  void SetLimitShares(const std::vector<LimitShare>& shares,
                      TimePoint confirmed_at, TimePoint now);

  /// @brief Sets the rejections a second beyond which an upstream fails, or 0.
  /// This entry then keeps within its part of the upstream's room.
  void SetRejectionLimit(const UpstreamId& id, std::uint32_t rejections,
                         TimePoint now);

  /// @brief A start of an upstream has become known.
  void RecordStart(const UpstreamId& id, TimePoint now);

  /// @brief Sets this entry's place among the live entries.
  /// @param confirmed_at Time for which a leader confirmed it.
  void SetRoomShare(const RoomShare& share, TimePoint confirmed_at,
                    TimePoint now);

  /// @brief Number of upstreams with a rejection limit.
  std::size_t UpstreamsWithRejectionLimit() const;

  /// @brief Halves the shares that no leader has confirmed for
  /// kLimitShareLease.
  void AgeLimitShares(TimePoint now);

  /// @brief If all upstreams of a service want no request of this entry now, by
  /// back-off or limit: the earliest time at which one of them may get one.
  /// @param excluded Not considered unless there is no other.
  /// @return TimePoint::max() if that is not known.
  std::optional<TimePoint> HeldBackUntil(const ServiceName& service,
                                         const std::set<UpstreamId>& excluded,
                                         TimePoint now) const;

  /// @brief Number of upstreams that name a limit.
  std::size_t UpstreamsWithLimit() const;

  /// @brief Number of upstreams that want no request of this entry now.
  std::size_t UpstreamsInBackoff(TimePoint now) const;

  /// @brief Records that an upstream answered, which resets its count of
  /// consecutive failures.
  void RecordAnswer(const UpstreamId& id);

  /// @brief Records the outcome of a request that an upstream had accepted.
  /// @param well Whether it succeeded.
  void RecordOutcome(const UpstreamId& id, bool well);

  /// @brief Records the shortest time between two events of a stream that has
  /// ended at an engine; see EnginePace.
  void RecordPace(const UpstreamId& id, Duration event_time, TimePoint now);

  /// @brief Speed of an engine relative to the others of its service, or 1.
  double SpeedOf(const UpstreamId& id) const;

  /// @brief Engines whose learned speed class has changed since the last call.
  std::vector<SpeedChange> TakeSpeedChanges();

  /// @brief Number of engines that are slower than the others of their service.
  std::size_t EnginesSlow() const;

  /// @brief Number of upstreams that count as failing; see FailingUpstreams().
  std::size_t UpstreamsFailing() const;

  /// @brief Upstreams that began or ceased to count as failing since the last
  /// call.
  std::vector<FailingChange> TakeFailingChanges();

  /// @brief Load of an upstream: this entry's and that reported by others.
  /// @note Prompts that others reported are taken to be read meanwhile.
  UpstreamLoad LoadOf(const UpstreamId& id, TimePoint now) const;

  /// @brief Slots and running requests of a service's usable upstreams.
  ServiceRoom RoomOf(const ServiceName& service, TimePoint now) const;

  /// @brief Prompt tokens of a request that an upstream would have to read.
  std::uint32_t UncachedTokensAt(const UpstreamId& id,
                                 const PlacementRequest& request) const;

  /// @brief Number of connections that this entry may hold to an upstream.
  std::uint32_t ConnectionShare(const UpstreamId& id) const;

  /// @brief Load report of this entry for the other entries.
  /// @param placed_since Only prompt parts sent at or after this are included.
  /// @note Each call decays the recorded outcomes by the time since the last
  /// one, and updates which upstreams fail.
  EntryLoad OwnLoad(const ProcessId& self, TimePoint placed_since,
                    TimePoint now);

  /// @brief Whether TakeUrgentLoad() has anything to report.
  bool has_urgent_load() const {
    return !urgent_.empty() || !rejecting_.empty();
  }

  /// @brief Partial load report of the engines that long prompts were sent to
  /// since the last call.
  EntryLoad TakeUrgentLoad(const ProcessId& self);

 private:
  struct Instance {
    membership::InstanceRecord record;
    /// Stable hash of the id.
    std::uint64_t hash = 0;
    /// Index of the failure domain among those of the service.
    std::size_t domain = 0;
    /// Position in the stable order of the engines of its domain, the first of
    /// which are kept for streams with tight pauses.
    std::size_t position = 0;
    UpstreamLoad local_load;
    /// Sum of the loads reported by other entries.
    UpstreamLoad remote_load;
    /// Sum over those reports: pending prefill tokens times the time of the
    /// report, in ms since the origin of the placer.
    double remote_token_ms = 0;
    /// Ids of prompt parts sent there by this entry or, as reported, by others.
    std::unordered_set<std::uint64_t> cached_parts;
    /// Total tokens of cached_parts.
    std::uint64_t cached_tokens = 0;
    /// Parts most recently sent by this entry, oldest first.
    std::deque<std::pair<TimePoint, PromptPart>> placed_parts;
    /// Consecutive times that the instance was unreachable.
    std::uint32_t failures = 0;
    TimePoint avoid_until;
    bool path_lost = false;
    /// Whether it gets only trials; see FailingUpstreams().
    bool failing = false;
    FailingTrials trials;
    PaceMean pace;
    /// Relative to the other engines of the service; see LearnedSpeeds().
    double speed = 1;
    /// Updates in a row that found another class of its speed.
    std::uint32_t class_confirmations = 0;
    BackoffPeriod backoff;
    /// Limit that the upstream names for all entries together.
    std::optional<RequestRate> limit;
    /// Entries that share it, or 0 if this entry holds no share.
    std::uint32_t limit_holders = 0;
    PacedShare share;
    /// Rejections a second beyond which the upstream fails; 0 if it names none.
    std::uint32_t rejection_limit = 0;
    RoomPart room;
  };
  struct Service {
    RoutedService declared;
    /// Ready upstreams. The pointers stay valid since instances_ is a std::map.
    std::vector<const Instance*> instances;
    /// Number of failure domains of the instances.
    std::size_t domains = 0;
    /// Whether upstreams of it name rejection limits; then all are taken to
    /// have one.
    bool limits_rejections = false;
  };
  /// Load of an upstream as reported by another entry.
  struct RemoteLoad {
    UpstreamLoad load;
    /// In ms since the origin of the placer.
    double reported_ms = 0;

    double token_ms() const {
      return static_cast<double>(load.pending_prefill_tokens) * reported_ms;
    }
  };
  /// Latest load reports of another entry.
  struct RemoteEntry {
    TimePoint valid_until;
    std::map<UpstreamId, RemoteLoad> upstreams;
    /// Sequence of its newest pace sample that was counted.
    std::uint64_t last_pace = 0;
  };

  static bool HasPermittedVersion(const membership::InstanceRecord& record,
                                  const PlacementRequest& request);
  double ReadingTokensPerMs(const ServiceName& service, TimePoint now) const;
  double TokensAhead(const Instance& instance, const PlacementRequest& request,
                     TimePoint now) const;
  bool IsUsable(const Instance& instance, TimePoint now) const;
  bool MayReturn(const Instance& instance, TimePoint now) const;
  static TimePoint HeldBackUntil(const Instance& instance, TimePoint now);
  void UpdateShareRate(Instance* instance, TimePoint now) const;
  void UpdateRoomParts(TimePoint now);
  void RecordRejection(Instance* instance, TimePoint now) const;
  bool ExceedsRoom(const Instance& instance, const Service& service,
                   std::uint64_t request_tokens, TimePoint now) const;
  static bool ExceedsMemory(const UpstreamLoad& total, const Service& service,
                            std::uint64_t request_tokens);
  void DecayOutcomes(TimePoint now);
  void AddPaces(const EntryLoad& load, TimePoint now, RemoteEntry* remote);
  std::vector<PaceSample> PacesSince(TimePoint since) const;
  void UpdateSpeeds(TimePoint now);
  bool UpdateSpeeds(const Service& service);
  static double ReadingTokens(const Instance& instance, double tokens);
  static double RendezvousRank(std::uint64_t key, const Instance& instance);
  static bool MustTellOutcomes(const Instance& instance);
  void UpdateFailing();
  bool UpdateFailing(const Service& service);
  static bool OnlyFailingLeft(const Service& service,
                              const std::set<UpstreamId>& excluded);
  const Instance* FindTrial(const PlacementRequest& request,
                            const Service& service,
                            const std::set<UpstreamId>& excluded,
                            TimePoint now) const;
  double MsSinceOrigin(TimePoint now) const;
  UpstreamLoad TotalLoad(const Instance& instance, TimePoint now) const;
  static void ReplaceRemoteLoad(Instance* instance, const RemoteLoad& load,
                                RemoteLoad* known);
  void SubtractRemoteLoad(const RemoteEntry& remote);
  void AddRemoteLoad(const EntryLoad& load, TimePoint now, RemoteEntry* remote);
  void DropRemoteLoadsAt(const UpstreamId& id);
  double EngineScore(const Instance& instance, const PlacementRequest& request,
                     std::uint64_t key, bool cached_somewhere,
                     std::size_t engines, TimePoint now) const;
  double UnreportedTokens(std::size_t engines) const;
  void UpdateSendRate(TimePoint now);
  std::vector<std::size_t> DedicatedEngines(const Service& service,
                                            TimePoint now) const;
  double SeparationScore(const Instance& instance,
                         const PlacementRequest& request,
                         std::size_t dedicated_engines, TimePoint now) const;
  double ServiceScore(const Instance& instance, std::uint64_t key,
                      TimePoint now) const;
  static void AddCachedPart(Instance* instance, const PromptPart& part);
  bool IsFull(const Instance& instance, const Service& service,
              std::uint64_t request_tokens, TimePoint now) const;
  const Instance* FindBest(const PlacementRequest& request,
                           const std::set<UpstreamId>& excluded,
                           TimePoint now) const;
  double Disturbance(double tokens) const;
  bool MustWait(const Instance& instance, const PlacementRequest& request,
                TimePoint now) const;
  std::uint32_t UncachedTokens(const Instance& instance,
                               const PlacementRequest& request) const;
  void IndexInstances();
  static void NumberInstances(std::size_t domain,
                              std::vector<Instance*>* instances);

  FailureDomain own_domain_;
  PlacerOptions options_;
  std::map<ServiceName, Service> services_;
  std::map<UpstreamId, Instance> instances_;
  std::map<ProcessId, RemoteEntry> remote_entries_;
  /// Engines that long prompts were sent to since the last urgent report.
  std::set<UpstreamId> urgent_;
  /// Upstreams that rejected a request since then and name rejection limits.
  std::set<UpstreamId> rejecting_;
  std::vector<FailingChange> failing_changes_;
  std::vector<SpeedChange> speed_changes_;
  /// Paces of this entry's streams, oldest first.
  std::deque<std::pair<TimePoint, PaceSample>> own_paces_;
  std::uint64_t last_pace_ = 0;
  TimePoint speeds_updated_at_;
  RoomShare room_share_;
  TimePoint room_share_confirmed_at_;
  std::map<ServiceName, ReadingRate> reading_rates_;
  Duration report_period_{std::chrono::milliseconds(30)};
  /// Prompt tokens sent to engines by this entry: since the last load report,
  /// and per millisecond lately.
  double sent_tokens_ = 0;
  double sent_tokens_per_ms_ = 0;
  /// Time of the first load report that was received.
  std::optional<TimePoint> origin_;
  TimePoint outcomes_decayed_at_;
  TimePoint shares_confirmed_at_;
  bool shares_confirmed_ = false;
  std::size_t entries_ = 1;
};

}  // namespace rattanward::policy
