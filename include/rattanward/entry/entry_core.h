#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/shared_config_gate.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/path_watch.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/protocol/gossip_messages.h"

namespace rattanward::entry {

/// @brief State of an entry as shown by its readiness and status pages.
struct EntryStatusView {
  ConfigVersion version;
  std::size_t open_requests = 0;
  std::size_t upstreams = 0;
  bool ready = false;

  friend bool operator==(const EntryStatusView&,
                         const EntryStatusView&) = default;
};

/// @brief Sends suspicions to the other entries, then calls back exactly once.
using SuspicionBroadcaster = std::function<void(
    const protocol::SuspicionsTold& told, std::function<void()> on_done)>;

/// @brief Receives the decisions on one request in order.
using DecisionSink = std::function<void(const policy::Decision& decision)>;

/// @brief Owns an entry's dispatcher and event loop, and delivers the
/// dispatcher's decisions.
/// @note Not thread-safe: all calls must be made on the thread of the event
/// loop, which must never block.
class EntryCore {
 public:
  /// @brief Creates the core; Start() starts its timer and Run() runs the loop.
  /// @param options Profile, failure domain and seed of the dispatcher.
  /// @param gate Lease times and number of peers that the gate for new work
  /// depends on.
  /// @param events Receives numbered events.
  EntryCore(const policy::DispatcherOptions& options,
            membership::ConfigGateOptions gate, port::EventSink events);
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// @brief Sets the function that sends suspicions to the other entries. Must
  /// be called before Start().
  /// @note Decisions that follow from an upstream failure are delivered only
  /// after this function has called back. If the caller sends a refused request
  /// again, the other entries then already know the suspicion.
  void set_suspicion_broadcaster(SuspicionBroadcaster broadcaster) {
    broadcast_suspicions_ = std::move(broadcaster);
  }

  void Start();
  /// @brief Runs the loop on this thread until Stop().
  void Run();
  void Stop() { context_.stop(); }

  /// @brief Submits a request. Its decisions go to the sink; the first one may
  /// arrive before this function returns.
  void Submit(const policy::RequestInfo& request, DecisionSink sink);
  /// @brief Reports the first token or the service response of a request.
  void FirstToken(const RequestId& request);
  /// @brief Cancels a request that waits for a decision because its caller has
  /// disconnected.
  /// @return False if the request is unknown, or if a decision on it was made
  /// but not delivered yet; the decision is then still delivered.
  bool Cancel(const RequestId& request);
  /// @brief Drops a request that has no running attempt. Its sink gets nothing
  /// more, not even a decision that was made already.
  void Drop(const RequestId& request);
  /// @brief Reports the end of an attempt. A further decision follows unless
  /// the attempt completed or the caller left.
  void Finish(const policy::AttemptResult& result);

  /// @brief The active configuration; null until one is received.
  std::shared_ptr<const ConfigSnapshot> Snapshot() const { return snapshot_; }

  /// @brief Whether new work may start now.
  /// Errors: kNoConfiguration, kIsolated, kShuttingDown; all with the verdict
  /// kNotRun.
  Status MayStart() const;

  /// @brief Begins a planned stop: what waits and would not end in time is
  /// refused.
  void BeginStop(const policy::StopPlan& plan) {
    Deliver(dispatcher_.BeginStop(plan, Now()));
  }
  /// @brief Refuses new requests from now on; called during a shutdown.
  void RefuseNewWork() { refusing_new_work_ = true; }
  EntryStatusView View() const;

  /// @brief Activates a newer configuration; ignores one that is not newer.
  void SetConfig(ConfigVersion version, const Config& config);
  void UpstreamChanged(const Announcement& announcement);
  /// @brief An upstream said in an answer that it is leaving.
  /// @note The dispatcher hears of it by UpstreamChanged().
  void MarkLeaving(const UpstreamId& upstream);
  /// @brief Sets the function that marks an upstream as draining, here and at
  /// the other entries.
  void SetDrainSink(std::function<void(const UpstreamId&)> sink) {
    drain_sink_ = std::move(sink);
  }
  void UpstreamGone(const UpstreamId& upstream);
  /// @brief Probes the paths to upstreams from now on. To be called where
  /// requests can be relayed to other entries.
  void WatchPaths();
  /// @brief Learns from the end of an attempt whether the path to its upstream
  /// may be lost.
  void CheckPath(const UpstreamId& upstream, policy::AttemptEnd end);
  policy::Dispatcher& dispatcher() { return dispatcher_; }

  adapter::SharedConfigGate& gate() { return gate_; }
  /// @brief Event loop of the entry.
  asio::io_context& context() { return context_; }
  /// @brief Current time of the monotonic clock.
  static TimePoint Now() { return adapter::MonotonicNow(); }

 private:
  using Decisions = std::vector<policy::Decision>;

  /// State of a request that has not ended.
  struct OpenRequest {
    DecisionSink sink;
    /// A decision was made but is held back until the suspicions that go with
    /// it have been sent to the other entries.
    bool delivery_pending = false;
  };

  void Deliver(const Decisions& decisions);
  void TellNews(TimePoint now);
  void DeliverAfterBroadcast(Decisions decisions);
  void Tick(TimePoint now);
  void SetPathLost(const UpstreamId& upstream, bool lost);

  policy::Dispatcher dispatcher_;
  adapter::SharedConfigGate gate_;
  port::EventSink events_;
  SuspicionBroadcaster broadcast_suspicions_;
  asio::io_context context_;
  adapter::AsioTimerService timers_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::shared_ptr<const ConfigSnapshot> snapshot_;
  bool refusing_new_work_ = false;
  std::function<void(const UpstreamId&)> drain_sink_;
  /// All known upstreams, and whether each is draining.
  std::unordered_map<UpstreamId, bool> draining_;
  /// Null unless WatchPaths() was called.
  std::unique_ptr<PathWatch> paths_;
};

}  // namespace rattanward::entry
