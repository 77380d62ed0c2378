#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/shared_config_gate.h"
#include "rattanward/entry/config_snapshot.h"
#include "rattanward/entry/decision_mailbox.h"
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
using SuspicionTeller =
    std::function<void(const std::vector<policy::Suspicion>& suspicions,
                       std::function<void()> told)>;

/// @brief Control thread of an entry: owns the dispatcher and its time line.
/// @note Methods may be called from any thread unless they say otherwise; the
/// work is done on the control thread, which never blocks.
class EntryCore {
 public:
  /// @brief Makes the core; Start() runs it.
  /// @param options Profile, failure domain and seed of the dispatcher.
  /// @param gate Which lease times and peers decide over new work.
  /// @param events Takes numbered events.
  EntryCore(const policy::DispatcherOptions& options,
            membership::ConfigGateOptions gate, port::EventSink events);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  /// @brief Sets who tells the other entries of suspicions; before Start().
  /// @note A refusal that follows from an upstream's death is delivered after
  /// they were told, so that the request, sent again, is known everywhere.
  void set_suspicion_teller(SuspicionTeller teller) {
    tell_ = std::move(teller);
  }

  void Start();
  void Stop();

  /// @brief Hands a request in; decisions arrive in the mailbox.
  void Submit(const policy::RequestInfo& request,
              std::shared_ptr<DecisionMailbox> mailbox);
  void FirstToken(const RequestId& request);
  /// @brief Reports an attempt; unless it was the last, a decision follows.
  void Finish(const policy::AttemptResult& result);

  /// @brief The configuration in force; null before the first.
  std::shared_ptr<const ConfigSnapshot> Snapshot() const;

  /// @brief Whether new work may start at this moment.
  /// Errors: kNoConfiguration, kIsolated, kShuttingDown; all not run.
  Status MayStart() const;

  /// @brief Makes new requests be refused, as a shutdown begins.
  void RefuseNewWork() { refusing_ = true; }
  EntryStatusView View() const;

  /// @brief Puts a newer configuration in force; an older one is ignored.
  /// @note On the control thread only, like all that follows.
  void SetConfig(ConfigVersion version, const Config& config);
  void UpstreamChanged(const Announcement& announcement);
  void UpstreamGone(const UpstreamId& upstream);
  policy::Dispatcher& dispatcher() { return dispatcher_; }

  adapter::SharedConfigGate& gate() { return gate_; }
  /// @brief The context whose one thread runs the control state.
  asio::io_context& context() { return context_; }
  /// @brief Moment on the control thread's monotonic time line.
  static TimePoint Now() { return adapter::MonotonicNow(); }

 private:
  using Decisions = std::vector<policy::Decision>;

  void Deliver(const Decisions& decisions);
  void DeliverAfterTelling(Decisions decisions);
  void Tick(TimePoint now);

  policy::Dispatcher dispatcher_;
  adapter::SharedConfigGate gate_;
  port::EventSink events_;
  SuspicionTeller tell_;
  asio::io_context context_;
  adapter::AsioTimerService timers_;
  std::thread thread_;
  std::unordered_map<RequestId, std::shared_ptr<DecisionMailbox>> mailboxes_;
  std::atomic<std::shared_ptr<const ConfigSnapshot>> snapshot_;
  std::atomic<std::size_t> open_requests_{0};
  std::atomic<std::size_t> upstream_count_{0};
  std::atomic<bool> refusing_{false};
  std::unordered_map<UpstreamId, bool> draining_;
};

}  // namespace rattanward::entry
