#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/domain/routing.h"
#include "rattanward/http/memory_budget.h"
#include "rattanward/http/server.h"
#include "rattanward/membership/crash_memory.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/abandoned_runs.h"
#include "rattanward/policy/account_shares.h"
#include "rattanward/policy/end_forecast.h"
#include "rattanward/policy/hedge_plan.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/policy/placer.h"
#include "rattanward/policy/prompt_meter.h"
#include "rattanward/policy/refusal_order.h"
#include "rattanward/policy/relay_choice.h"
#include "rattanward/policy/request_queue.h"
#include "rattanward/policy/retry_allowance.h"
#include "rattanward/policy/run_time_estimator.h"
#include "rattanward/policy/service_demand.h"
#include "rattanward/policy/stop_plan.h"
#include "rattanward/policy/upstream_paths.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/protocol/routing_messages.h"
#include "rattanward/proxy/exchange.h"
#include "rattanward/proxy/proxy_meter.h"
#include "rattanward/proxy/upstream_pool.h"
#include "rattanward/proxy/usage_meter.h"

namespace rattanward::proxy {

/// @brief Settings of an entry's data path.
struct ProxyOptions {
  ProcessId process;
  FailureDomain failure_domain;
  /// Address for callers' HTTP connections.
  Endpoint listen;
  /// Address for requests that other entries relay; without an address, none
  /// are taken.
  Endpoint relay_listen;
  std::size_t max_connections = 2048;
  std::size_t max_body_bytes = 16U << 20U;
  /// Declared memory of this process's VM, in MiB; all connections together
  /// hold only a part of it.
  std::uint32_t memory_mb = 1024;
  policy::RetryLimits retries;
  /// Extra work that hedges may cause at a service that declares no share of
  /// its own, in thousandths of the service's work.
  std::uint32_t hedge_permille = 0;
  /// Whether engines fail when their requests need more than their memory.
  bool limits_memory = false;
  /// Whether engines are placed by their learned speeds.
  bool uses_speeds = false;
  /// Requests that need a key are sent only within this time after control
  /// confirmed that the routes are current.
  Duration key_lease{std::chrono::milliseconds(4500)};
  /// Unknown routes and keys are reported as such only within this time after
  /// control confirmed that the routes are current.
  Duration denial_lease{std::chrono::milliseconds(1500)};
};

/// @brief Callbacks from the data path to the rest of the entry.
struct ProxyHooks {
  /// A request was running at an upstream that appears to have crashed.
  std::function<void(const protocol::CrashWitness&)> witness;
  /// Other evidence has cleared witnesses.
  std::function<void(const std::vector<protocol::CrashWitness>&)> cleared;
  /// What is known against parts of prompts has changed at this entry.
  std::function<void(const std::vector<policy::PartSuspicion>&)> suspicions;
  /// An upstream told this entry that it is leaving.
  std::function<void(const membership::InstanceStart&)> leaving;
  /// An upstream told this entry another limit than the one known.
  std::function<void(const UpstreamLimit&)> limit;
  /// Long prompts were sent or streams began; see TakeUrgentLoad().
  std::function<void()> urgent_load;
  port::EventSink events;
};

/// @brief An entry's data path: accepts requests from callers, queues them and
/// forwards them to upstreams.
/// @note Not thread-safe. All code runs on the io_context's thread.
class Proxy : public ExchangeOwner {
 public:
  Proxy(asio::io_context& io, ProxyOptions options, const Dialect& dialect,
        ProxyHooks hooks);

  /// @brief Binds the address for callers and starts to serve them.
  /// Errors: kDisconnected.
  Status Start();

  /// @brief Applies the routes if they are newer; otherwise ignores them.
  /// @return Whether the routes were newer and have been applied.
  bool SetRouting(std::shared_ptr<const RoutingTable> table);

  /// @brief Merges records into the instance directory.
  void UpdateInstances(const std::vector<membership::InstanceRecord>& records);

  /// @brief Records upstream crashes witnessed by entries.
  void RecordCrashes(const std::vector<protocol::CrashWitness>& witnesses);

  /// @brief Records that other entries have cleared witnesses.
  void RecordCleared(const std::vector<protocol::CrashWitness>& cleared);

  /// @brief Merges what control knows against parts of prompts.
  void MergeSuspicions(const std::vector<policy::PartSuspicion>& received);

  /// @brief The latest known start of each of these upstreams is gone.
  /// @return Those starts, since control doesn't know them.
  std::vector<membership::InstanceStart> RecordDeparted(
      const std::vector<UpstreamId>& ids);

  /// @brief What this entry knows of requests that crashed upstreams.
  protocol::CrashesTold KnownCrashes() const { return crashes_.All(); }

  /// @brief What this entry knows against parts of prompts.
  std::vector<policy::PartSuspicion> Suspicions() const {
    return part_quarantine_.All();
  }

  /// @brief Records that the routes are current if their version is the newest.
  /// @param as_of Time for which a confirmed leader stated the version.
  /// @param newest Newest version, as stated by the leader.
  /// @param history Time for which the leader has known the upstreams.
  void ConfirmRouting(TimePoint as_of, ConfigVersion newest, Duration history);

  /// @brief Limits that upstreams named, as far as this entry knows.
  std::vector<UpstreamLimit> Limits() const { return directory_.Limits(); }

  /// @brief Replaces this entry's shares in the limits that upstreams named.
  /// @param confirmed_at Time for which a leader confirmed them.
  void SetLimitShares(const std::vector<policy::LimitShare>& shares,
                      TimePoint confirmed_at);

  /// @brief Sets this entry's place among the live entries, by which they
  /// divide the room of upstreams; see policy::Placer::SetRoomShare().
  void SetRoomShare(const policy::RoomShare& share, TimePoint confirmed_at);

  /// @brief Sets the number of entries of all failure domains.
  void SetEntries(std::size_t entries);

  /// @brief Adds entries to which requests may be relayed.
  /// @param nearby Those of the own failure domain.
  void AddRelayPeers(const std::set<Endpoint>& nearby,
                     const std::set<Endpoint>& remote);

  /// @brief Sets the period of the load reports between entries.
  void SetReportPeriod(Duration period) { placer_.SetReportPeriod(period); }

  /// @brief Applies a load report from another entry.
  void UpdatePeerLoad(const policy::EntryLoad& load);

  /// @brief Returns counters, gauges and histograms as scrape text.
  std::string ScrapeText() const;

  /// @brief Returns this entry's load.
  /// @param placed_within Maximum age of the prompt parts to include.
  policy::EntryLoad OwnLoad(Duration placed_within);

  /// @brief What runs and waits at this entry, for each service whose upstreams
  /// can be ordered.
  /// Complexity: linear in the number of open requests.
  std::vector<policy::ServiceDemand> Demand() const;

  /// @brief Load report of the engines that long prompts were sent to, and the
  /// streams that began, since the last call.
  policy::EntryLoad TakeUrgentLoad();

  /// @brief Whether control confirmed the routes within the last `time`.
  bool ConfirmedWithin(Duration time) const;

  /// @brief Whether the load balancer should send new callers to this entry.
  bool Ready() const;

  /// @brief Reports not ready from now on, and closes each connection after its
  /// next response. Requests that can't end in time are refused.
  void BeginShutdown(const policy::StopPlan& plan);
  /// @brief Closes idle connections and refuses new requests on the others.
  void CloseIdle();
  /// @brief Takes the connections in the listen queues, and no further ones.
  void StopListening();
  /// @brief Passes on the answers that have arrived, and then gives every open
  /// request its final answer.
  void EndOpen();
  /// @brief Gives every open request its final answer, before it returns.
  void EndOpenNow();
  bool idle() const { return exchanges_.empty(); }

  /// @brief Counts of the requests that began to run.
  UsageMeter& usage() { return usage_; }
  const UsageMeter& usage() const { return usage_; }

  ConfigVersion routing_version() const;
  const ProxyCounters& counters() const { return meter_.counters(); }
  std::size_t open_requests() const { return exchanges_.size(); }
  std::size_t waiting() const { return queue_.size(); }
  std::size_t connections() const {
    return server_.connections() + relay_server_.connections();
  }
  std::uint64_t upstream_connections_opened() const { return pool_.opened(); }
  std::size_t upstreams() const { return directory_.size(); }
  /// @brief Returns the bound address for callers.
  Endpoint endpoint() const { return server_.endpoint(); }
  /// @brief Returns the bound address for relayed requests.
  Endpoint relay_endpoint() const { return relay_server_.endpoint(); }

  const Dialect& dialect() const override { return dialect_; }
  void Enqueue(const std::shared_ptr<Exchange>& exchange) override;
  std::shared_ptr<http::ClientConnection> Connect(
      const UpstreamId& upstream) override;
  bool TryTakeRetry(const Exchange& exchange) override;
  Status MayStart(const Exchange& exchange) override;
  policy::PlacementCharge OnSent(const Exchange& exchange) override;
  policy::UpstreamLoad LoadOf(const UpstreamId& upstream) const override {
    return placer_.LoadOf(upstream, adapter::MonotonicNow());
  }
  void OnFirstEvent(const Exchange& exchange,
                    policy::PlacementCharge* charge) override;
  void OnBeganToRun(const Exchange& exchange, TimePoint at) override;
  void OnPace(const Exchange& exchange, Duration time,
              std::uint64_t events) override;
  void OnShortestGap(const Exchange& exchange, Duration event_time) override;
  void OnStreamStarted(const Exchange& exchange) override;
  void OnReleased(const Exchange& exchange,
                  const policy::PlacementCharge& charge,
                  std::shared_ptr<http::ClientConnection> connection) override;
  std::optional<Duration> HedgeDelay(const Exchange& exchange) const override;
  std::optional<HedgePlacement> PlaceHedge(Exchange& exchange) override;
  void OnHedgeEnded(const Exchange& exchange, const HedgePlacement& placement,
                    HedgeEnd end, const ResponseTraits& traits) override;
  std::uint64_t StartOf(const UpstreamId& upstream) const override;
  std::string VersionOf(const UpstreamId& upstream) const override;
  void OnLeaving(const Exchange& exchange) override;
  void OnBackoff(const Exchange& exchange, Duration backoff_for) override;
  void OnLimit(const Exchange& exchange, const NamedTerms& named) override;
  void OnRejected(const Exchange& exchange) override;
  void OnUnreachable(const Exchange& exchange) override;
  void OnLetGo(const Exchange& exchange) override;
  void OnConnectionLost(const Exchange& exchange) override;
  void OnResponseHead(const Exchange& exchange) override;
  void OnOutcome(const Exchange& exchange, bool succeeded) override;
  std::vector<policy::PartSuspicion> KnownAgainstParts(
      const Exchange& exchange) const override;
  void OnWholeAnswer(const Exchange& exchange) override;
  Duration RetryAfter(const Exchange& exchange) const override;
  void Log(EventId id, const Exchange& exchange,
           std::vector<EventField> fields) override;
  void Forget(const std::shared_ptr<Exchange>& exchange) override;
  std::shared_ptr<http::ClientConnection> ConnectToPeer(
      const Endpoint& peer) override;
  void OnPeerUnable(const Exchange& exchange) override;
  void OnPeerUnreachable(const Exchange& exchange) override;
  void OnRelayedLeaving(const membership::InstanceStart& upstream) override;

 private:
  /// A request whose connection was lost or let go of, as it stood then.
  struct CrashEvidence {
    protocol::CrashWitness witness;
    std::vector<policy::PartSuspicion> known_at_send;
  };

  /// What the crash of a start has raised against parts, to be taken back if
  /// its exit was announced.
  struct RaisedParts {
    membership::InstanceStart upstream;
    std::vector<policy::PartSuspicion> parts;
  };

  /// Number of crashes that can be taken back.
  static constexpr std::size_t kMaxRaised = 256;

  /// Other entries that are asked whether they reach an upstream.
  static constexpr int kMaxReachQuestions = 2;
  /// Time within which a probe of a path must succeed.
  static constexpr Duration kProbeTimeout{std::chrono::milliseconds(300)};

  /// Services none of whose upstreams is available, each with the time until
  /// which all of them want no request, if they do.
  using FullServices = std::map<ServiceName, std::optional<TimePoint>>;

  void AcceptRequest(const std::shared_ptr<http::ServerConnection>& caller,
                     http::ServerRequest request,
                     std::optional<RelayedRequest> relayed);
  Result<RoutedRequest> RouteRequest(
      const std::shared_ptr<http::ServerConnection>& caller,
      const RequestTraits& traits, http::ServerRequest request,
      const std::optional<RelayedRequest>& relayed);
  static policy::AnswerLength LengthOf(const Exchange& exchange);
  bool MayEndInTime(const Exchange& exchange) const;
  Error StopError(const std::string& reason, Duration remaining) const;
  bool RefuseIfTooLate(Exchange& exchange) const;
  void RefuseTooLate();
  void EndOpenAfter(int rounds);
  Status MayTakeRelayed(const RelayedRequest& relayed) const;
  Duration RetryAdviceFor(const Error& error,
                          const RequestTraits& traits) const;
  Error DenialError(ErrorCode code, std::string message) const;
  void ScheduleDrain();
  void Drain();
  bool TryPlace(const std::shared_ptr<Exchange>& exchange,
                FullServices* full_services);
  Status RestrictVersions(Exchange& exchange) const;
  Result<std::set<std::string>> VersionsFor(
      const Exchange& exchange, const std::set<UpstreamId>& excluded) const;
  void UpdateServingVersions();
  bool RefuseIfNotAllowed(Exchange& exchange) const;
  bool RefuseIfHeldBack(Exchange& exchange,
                        const std::optional<TimePoint>& until) const;
  void LogFailingChanges();
  static std::uint64_t TokensOf(const Exchange& exchange, std::uint64_t events);
  void RecordLength(const Exchange& exchange);
  void RecordWork(const Exchange& exchange,
                  const policy::PlacementCharge& charge);
  std::optional<Duration> ExpectedFirstEvent(const Exchange& exchange) const;
  bool RefuseIfUnattainable(Exchange& exchange, TimePoint now);
  std::uint32_t HedgePermille(const ServiceName& service) const;
  std::uint64_t HedgeWorkOf(const Exchange& exchange,
                            const policy::PlacementCharge& charge) const;
  void EarnHedgeBudget(const Exchange& exchange,
                       const policy::PlacementCharge& charge);
  void RecordResponse(const Exchange& exchange);
  bool HasWaiting(const ServiceName& service) const;
  void RecordHedgeFailure(const HedgePlacement& placement,
                          const ResponseTraits& traits, TimePoint now);
  void LogSpeedChanges();
  void RunMaintenance(TimePoint now);
  Status CheckNotQuarantined(
      std::uint64_t fingerprint,
      const std::vector<policy::PromptPart>& prompt) const;
  void RefuseQuarantined();
  void ApplyDirectoryChanges();
  void OnRelayRequest(const std::shared_ptr<http::ServerConnection>& peer,
                      http::ServerRequest request);
  void AnswerReachQuestion(const std::shared_ptr<http::ServerConnection>& peer,
                           const membership::InstanceStart& upstream);
  bool TryRelay(const std::shared_ptr<Exchange>& exchange);
  std::optional<Endpoint> ChoosePeer(const Exchange& exchange, TimePoint now);
  void ReleasePeer(const Endpoint& peer,
                   std::shared_ptr<http::ClientConnection> connection);
  void ProbePaths(TimePoint now);
  std::vector<UpstreamId> ReadyUpstreams() const;
  std::vector<policy::WaitingUpstream> WaitingUpstreams() const;
  void OnProbed(const UpstreamId& id, std::uint64_t born, bool reached);
  void MarkPathReached(const UpstreamId& id);
  void MarkPathLost(const UpstreamId& id);
  void AbandonSilent(TimePoint now);
  bool MaySendOn(const Exchange& exchange, TimePoint now);
  bool HasLostMost() const;
  void ConfirmCrash(const CrashEvidence& evidence, int questions_left);
  void ProbeAfterLoss(const CrashEvidence& evidence);
  void RecordCrash(const CrashEvidence& evidence);
  void CountCrash(const CrashEvidence& evidence);
  CrashEvidence EvidenceOf(const Exchange& exchange) const;
  static policy::RunPlace PlaceOf(const CrashEvidence& evidence);
  void Abandon(const CrashEvidence& evidence);
  void CheckOutlived(const policy::RunPlace& place);
  void CheckAbandoned(const membership::InstanceRecord& record);
  void OnHedgeLetGo(const Exchange& exchange, const HedgePlacement& placement,
                    bool lost);
  void RecordPlannedExits(const std::vector<membership::InstanceStart>& exits);
  bool MayTryQuarantined(std::uint64_t fingerprint) const;
  void RaiseParts(const CrashEvidence& evidence);
  void TakeBackParts(const membership::InstanceStart& upstream);
  void LogPartChanges(const std::vector<policy::PartSuspicion>& before);
  void ApplyQuarantineChanges();
  static bool CountsUsage(const Exchange& exchange);
  void BeginUsage(const Exchange& exchange);
  void EndUsage(const Exchange& exchange);
  void RecordEventGap(const Exchange& exchange);
  void LogPartChange(const policy::PartSuspicion& before);

  asio::io_context& io_;
  ProxyOptions options_;
  std::shared_ptr<http::MemoryBudget> memory_;
  const Dialect& dialect_;
  ProxyHooks hooks_;
  adapter::AsioTimerService timers_;
  http::Server server_;
  http::Server relay_server_;
  UpstreamPool pool_;
  /// Connections to other entries.
  UpstreamPool relay_pool_;
  /// Requests that were let go of while their upstreams may go on with them.
  policy::AbandonedRuns<CrashEvidence> abandoned_;
  membership::InstanceDirectory directory_;
  policy::Placer placer_;
  policy::UpstreamPaths paths_;
  policy::RelayChoice relays_;
  policy::RequestQueue<std::shared_ptr<Exchange>> queue_;
  policy::HedgePlan hedges_;
  std::map<ServiceName, policy::RetryAllowance> allowances_;
  std::set<std::shared_ptr<Exchange>> exchanges_;
  std::shared_ptr<const RoutingTable> table_;
  membership::CrashMemory crashes_;
  policy::RoomShare room_share_;
  TimePoint room_share_confirmed_at_;
  policy::PartQuarantine part_quarantine_;
  std::deque<RaisedParts> raised_parts_;
  policy::StreamVersions stream_versions_;
  TimePoint confirmed_at_;
  TimePoint started_at_;
  ConfigVersion required_version_;
  std::size_t entries_ = 1;
  ProxyMeter meter_;
  UsageMeter usage_;
  bool ever_confirmed_ = false;
  policy::RunTimeEstimator run_times_;
  policy::PromptMeter prompt_meter_;
  policy::EndForecast end_forecast_;
  policy::RefusalOrder refusal_order_;
  policy::AccountShares shares_;
  /// Set when a planned stop began.
  std::optional<policy::StopPlan> stop_plan_;
  bool refusing_ = false;
  bool ending_ = false;
  /// After this time, the final answers are given without further rounds.
  TimePoint last_round_at_;
  bool drain_scheduled_ = false;
};

}  // namespace rattanward::proxy
