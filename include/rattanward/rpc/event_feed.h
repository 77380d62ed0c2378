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

/// @brief Copies events to the operators who watch; safe from any thread.
/// @note A watcher that does not read loses its oldest events.
class EventFeed {
 public:
  /// @brief Adds one event to each watcher's queue.
  void Publish(const Event& event);

  /// @brief Gives events to `take` until it gives false or the feed closes.
  /// @param take Gets an event, or null after an idle period.
  void Follow(const std::function<bool(const Event*)>& on_event);

  /// @brief Ends every Follow().
  void Close();

 private:
  using Queue = std::deque<Event>;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<Queue> watcher_queues_;
  bool closed_ = false;
};

}  // namespace rattanward::rpc
