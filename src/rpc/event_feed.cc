#include "rattanward/rpc/event_feed.h"

namespace rattanward::rpc {
namespace {

/// Maximum length of a watcher's queue, in events.
constexpr std::size_t kMaxQueuedEvents = 1024;
/// Time without events after which a watcher is called with null.
constexpr auto kIdleCheckPeriod = std::chrono::milliseconds(500);

}  // namespace

void EventFeed::Publish(const Event& event) {
  const std::lock_guard lock(mutex_);
  for (Queue& queue : watcher_queues_) {
    if (queue.size() == kMaxQueuedEvents) {
      queue.pop_front();
    }
    queue.push_back(event);
  }
  changed_.notify_all();
}

void EventFeed::Follow(const std::function<bool(const Event*)>& on_event) {
  std::unique_lock lock(mutex_);
  const auto queue = watcher_queues_.emplace(watcher_queues_.end());
  bool keep_watching = true;
  while (keep_watching && !closed_) {
    changed_.wait_for(lock, kIdleCheckPeriod,
                      [&] { return closed_ || !queue->empty(); });
    // The callback may block on a slow connection, so it runs without the lock.
    Queue batch;
    batch.swap(*queue);
    lock.unlock();
    keep_watching = !batch.empty() || on_event(nullptr);
    for (const Event& event : batch) {
      keep_watching = keep_watching && on_event(&event);
    }
    lock.lock();
  }
  watcher_queues_.erase(queue);
}

void EventFeed::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

}  // namespace rattanward::rpc
