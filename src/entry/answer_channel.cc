#include "rattanward/entry/answer_channel.h"

#include <utility>

namespace rattanward::entry {

bool AnswerChannel::Push(AnswerItem item) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (left_) {
    return false;
  }
  items_.push_back(std::move(item));
  arrived_.notify_one();
  return true;
}

std::deque<AnswerItem> AnswerChannel::Take() {
  std::unique_lock<std::mutex> lock(mutex_);
  arrived_.wait(lock, [this] { return !items_.empty(); });
  return std::exchange(items_, {});
}

void AnswerChannel::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  left_ = true;
  if (on_leave_) {
    std::exchange(on_leave_, nullptr)();
  }
}

bool AnswerChannel::left() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return left_;
}

void AnswerChannel::OnLeave(std::function<void()> fn) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (left_ && fn) {
    fn();
    return;
  }
  on_leave_ = std::move(fn);
}

}  // namespace rattanward::entry
