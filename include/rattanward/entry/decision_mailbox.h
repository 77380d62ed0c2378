#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

#include "rattanward/policy/dispatcher.h"

namespace rattanward::entry {

/// @brief Carries the dispatcher's decisions on one request to its thread.
class DecisionMailbox {
 public:
  /// @brief Adds a decision; wakes the waiting thread.
  void Put(policy::Decision decision) {
    const std::lock_guard<std::mutex> lock(mutex_);
    decisions_.push_back(std::move(decision));
    arrived_.notify_one();
  }

  /// @brief Waits for the next decision.
  /// @note Each submitted request gets one in the end: the dispatcher refuses
  /// what waits past its deadline.
  policy::Decision Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    arrived_.wait(lock, [this] { return !decisions_.empty(); });
    policy::Decision decision = std::move(decisions_.front());
    decisions_.pop_front();
    return decision;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<policy::Decision> decisions_;
};

}  // namespace rattanward::entry
