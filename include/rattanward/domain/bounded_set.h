#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>

namespace rattanward {

/// @brief A set that knows the order in which its values were added, and drops
/// the oldest for a further one when it is full.
template <class T>
class BoundedSet {
 public:
  explicit BoundedSet(std::size_t max) : max_(max) {}

  /// @return False if the value was there already.
  bool Insert(const T& value) {
    if (!values_.insert(value).second) {
      return false;
    }
    order_.push_back(value);
    if (order_.size() > max_) {
      values_.erase(order_.front());
      order_.pop_front();
    }
    return true;
  }

  /// @return Whether the value was there.
  bool Erase(const T& value) {
    if (values_.erase(value) == 0) {
      return false;
    }
    order_.erase(std::find(order_.begin(), order_.end(), value));
    return true;
  }

  bool Contains(const T& value) const { return values_.count(value) > 0; }
  bool full() const { return order_.size() >= max_; }
  std::size_t size() const { return order_.size(); }
  const std::set<T>& values() const { return values_; }
  const std::deque<T>& oldest_first() const { return order_; }

 private:
  std::size_t max_;
  std::set<T> values_;
  std::deque<T> order_;
};

}  // namespace rattanward
