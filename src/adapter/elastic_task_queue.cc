#include "rattanward/adapter/elastic_task_queue.h"

#include <utility>

namespace rattanward::adapter {

ElasticTaskQueue::ElasticTaskQueue(std::size_t max_threads)
    : max_threads_(max_threads) {}

ElasticTaskQueue::~ElasticTaskQueue() { shutdown(); }

void ElasticTaskQueue::enqueue(std::function<void()> fn) {
  const std::lock_guard<std::mutex> lock(mutex_);
  tasks_.push_back(std::move(fn));
  if (idle_ < tasks_.size() && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Work(); });
  }
  wake_.notify_one();
}

void ElasticTaskQueue::shutdown() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void ElasticTaskQueue::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace rattanward::adapter
