#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rattanward::adapter {

/// @brief Thread pool of an HTTP server that grows with its open connections.
/// @note A kept-alive connection holds a thread, so a fixed small pool would
/// let idle callers keep others waiting. Sheds nothing by itself: which
/// request is refused is the dispatcher's decision.
class ElasticTaskQueue : public httplib::TaskQueue {
 public:
  /// @brief Makes an empty pool.
  /// @param max_threads Threads at most; more connections wait their turn.
  explicit ElasticTaskQueue(std::size_t max_threads);
  ~ElasticTaskQueue() override;
  ElasticTaskQueue(const ElasticTaskQueue&) = delete;
  ElasticTaskQueue& operator=(const ElasticTaskQueue&) = delete;

  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

 private:
  void Work();

  const std::size_t max_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace rattanward::adapter
