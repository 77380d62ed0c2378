#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>

#include "rattanward/domain/event.h"
#include "rattanward/domain/time.h"

namespace rattanward::rpc {

/// @brief Distributes events to the operators that watch them. Thread-safe.
/// @note Each watcher has a bounded queue. When it is full, the oldest event is
/// dropped, so that a slow watcher neither blocks Publish() nor uses unbounded
/// memory.
class EventFeed {
 public:
  /// @brief Appends an event to the queue of each watcher.
  void Publish(const Event& event);

  /// @brief Delivers events published from now on. Blocks until `on_event`
  /// returns false or the feed is closed.
  /// @param on_event Called on this thread with an event, or with null after a
  /// period without events so that it can check whether to go on. Returns false
  /// to stop.
  void Follow(const std::function<bool(const Event*)>& on_event);

  /// @brief Makes all calls of Follow(), present and future, return.
  void Close();

 private:
  using Queue = std::deque<Event>;

  std::mutex mutex_;
  /// Notified when an event is published or the feed is closed.
  std::condition_variable changed_;
  /// One queue for each running Follow(). A list, because Follow() keeps an
  /// iterator to its queue while others are added and removed.
  std::list<Queue> watcher_queues_;
  bool closed_ = false;
};

}  // namespace rattanward::rpc
