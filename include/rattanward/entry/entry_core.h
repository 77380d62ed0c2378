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
#include "rattanward/policy/dispatcher.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::entry {

/// @brief What readiness and the status page tell of an entry.
struct EntryStatusView {
  ConfigVersion version;
  std::size_t open_requests = 0;
  std::size_t upstreams = 0;
  bool ready = false;

  friend bool operator==(const EntryStatusView&,
                         const EntryStatusView&) = default;
};

/// @brief Tells the other entries of suspicions, then calls back, once.
using SuspicionBroadcaster =
    std::function<void(const std::vector<policy::Suspicion>& suspicions,
                       std::function<void()> on_done)>;

/// @brief Takes the decisions on one request, one after the other.
using DecisionSink = std::function<void(const policy::Decision& decision)>;

/// @brief The decisions of an entry: owns the dispatcher and its time line.
/// @note All calls are on the loop's one thread, which never blocks.
class EntryCore {
 public:
  /// @brief Makes the core; Start() arms it and Run() runs the loop.
  /// @param options Profile, failure domain and seed of the dispatcher.
  /// @param gate Which lease times and peers decide over new work.
  /// @param events Takes numbered events.
  EntryCore(const policy::DispatcherOptions& options,
            membership::ConfigGateOptions gate, port::EventSink events);
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// @brief Sets who tells the other entries of suspicions; before Start().
  /// @note A refusal that follows from an upstream's death is delivered after
  /// they were told, so that the request, sent again, is known everywhere.
  void set_suspicion_broadcaster(SuspicionBroadcaster broadcaster) {
    broadcast_suspicions_ = std::move(broadcaster);
  }

  void Start();
  /// @brief Runs the loop on this thread until Stop().
  void Run();
  void Stop() { context_.stop(); }

  /// @brief Hands a request in; decisions arrive in the sink, the first one
  /// perhaps before this returns.
  void Submit(const policy::RequestInfo& request, DecisionSink sink);
  void FirstToken(const RequestId& request);
  /// @brief Forgets a request that waits for a decision: its caller left.
  /// @return False if a decision is on its way; it still arrives.
  bool Cancel(const RequestId& request);
  /// @brief Reports an attempt; unless it was the last, a decision follows.
  void Finish(const policy::AttemptResult& result);

  /// @brief The configuration in force; null before the first.
  std::shared_ptr<const ConfigSnapshot> Snapshot() const { return snapshot_; }

  /// @brief Whether new work may start at this moment.
  /// Errors: kNoConfiguration, kIsolated, kShuttingDown; all not run.
  Status MayStart() const;

  /// @brief Makes new requests be refused, as a shutdown begins.
  void RefuseNewWork() { refusing_new_work_ = true; }
  EntryStatusView View() const;

  /// @brief Puts a newer configuration in force; an older one is ignored.
  void SetConfig(ConfigVersion version, const Config& config);
  void UpstreamChanged(const Announcement& announcement);
  void UpstreamGone(const UpstreamId& upstream);
  policy::Dispatcher& dispatcher() { return dispatcher_; }

  adapter::SharedConfigGate& gate() { return gate_; }
  /// @brief The loop of the entry.
  asio::io_context& context() { return context_; }
  /// @brief Moment on the entry's monotonic time line.
  static TimePoint Now() { return adapter::MonotonicNow(); }

 private:
  using Decisions = std::vector<policy::Decision>;

  /// A request that is not ended, as its decisions need it.
  struct OpenRequest {
    DecisionSink sink;
    /// Made already, but told only once other entries know a suspicion.
    bool delivery_pending = false;
  };

  void Deliver(const Decisions& decisions);
  void DeliverAfterBroadcast(Decisions decisions);
  void Tick(TimePoint now);

  policy::Dispatcher dispatcher_;
  adapter::SharedConfigGate gate_;
  port::EventSink events_;
  SuspicionBroadcaster broadcast_suspicions_;
  asio::io_context context_;
  adapter::AsioTimerService timers_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::shared_ptr<const ConfigSnapshot> snapshot_;
  bool refusing_new_work_ = false;
  std::unordered_map<UpstreamId, bool> draining_;
};

}  // namespace rattanward::entry
