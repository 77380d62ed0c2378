#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

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

/// @brief Control thread of an entry: owns the dispatcher and what it needs.
/// @note Every public method may be called from any thread; the work is done
/// on the control thread, which never blocks.
class EntryCore {
 public:
  /// @brief Makes the core; Start() runs it.
  /// @param options Profile, failure domain and seed of the dispatcher.
  /// @param events Takes numbered events.
  EntryCore(policy::DispatcherOptions options, port::EventSink events);
  ~EntryCore();
  EntryCore(const EntryCore&) = delete;
  EntryCore& operator=(const EntryCore&) = delete;

  void Start();
  void Stop();

  /// @brief Puts a newer configuration in force; an older one is ignored.
  void SetConfig(ConfigVersion version, const Config& config);

  /// @brief The configuration in force; null before the first.
  std::shared_ptr<const ConfigSnapshot> Snapshot() const;

  /// @brief Takes an upstream's announcement.
  void Announce(const Announcement& announcement);

  /// @brief Hands a request in; decisions arrive in the mailbox.
  void Submit(const policy::RequestInfo& request,
              std::shared_ptr<DecisionMailbox> mailbox);
  void FirstToken(const RequestId& request);
  /// @brief Reports an attempt; unless it was the last, a decision follows.
  void Finish(const policy::AttemptResult& result);

  /// @brief Makes new requests be refused, as a shutdown begins.
  void RefuseNewWork() { refusing_ = true; }
  bool refusing() const { return refusing_; }
  EntryStatusView Status() const;

  /// @brief The context whose one thread runs the control state.
  asio::io_context& context() { return context_; }
  /// @brief Moment on the control thread's monotonic time line.
  static TimePoint Now();

 private:
  using Decisions = std::vector<policy::Decision>;

  void Deliver(const Decisions& decisions);
  void ScheduleTick();
  void Tick();
  void ApplyAnnouncement(const Announcement& announcement);
  void ExpireUpstreams();

  struct KnownUpstream {
    Announcement announcement;
    TimePoint heard;
  };

  policy::Dispatcher dispatcher_;
  port::EventSink events_;
  asio::io_context context_;
  std::thread thread_;
  std::unordered_map<RequestId, std::shared_ptr<DecisionMailbox>> mailboxes_;
  std::unordered_map<UpstreamId, KnownUpstream> upstreams_;
  std::atomic<std::shared_ptr<const ConfigSnapshot>> snapshot_;
  std::atomic<std::size_t> open_requests_{0};
  std::atomic<std::size_t> upstream_count_{0};
  std::atomic<bool> refusing_{false};
};

}  // namespace rattanward::entry
