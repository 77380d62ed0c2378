#include "rattanward/rpc/event_feed.h"

namespace rattanward::rpc {
namespace {

constexpr std::size_t kMaxQueuedEvents = 1024;
constexpr auto kIdlePeriod = std::chrono::milliseconds(500);

}  // namespace

void EventFeed::Publish(const Event& event) {
  const std::lock_guard lock(mutex_);
  for (Queue& queue : queues_) {
    if (queue.size() == kMaxQueuedEvents) {
      queue.pop_front();
    }
    queue.push_back(event);
  }
  changed_.notify_all();
}

void EventFeed::Follow(const std::function<bool(const Event*)>& take) {
  std::unique_lock lock(mutex_);
  const auto queue = queues_.emplace(queues_.end());
  bool wanted = true;
  while (wanted && !closed_) {
    changed_.wait_for(lock, kIdlePeriod,
                      [&] { return closed_ || !queue->empty(); });
    Queue ready;
    ready.swap(*queue);
    lock.unlock();
    wanted = !ready.empty() || take(nullptr);
    for (const Event& event : ready) {
      wanted = wanted && take(&event);
    }
    lock.lock();
  }
  queues_.erase(queue);
}

void EventFeed::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

}  // namespace rattanward::rpc
