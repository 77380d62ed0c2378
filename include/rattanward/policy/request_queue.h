#pragma once

#include <compare>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Requests that wait for an upstream: the most urgent first, among
/// equals the one that came first.
/// @tparam T What stands for a request; copied.
template <class T>
class RequestQueue {
 public:
  struct Key {
    std::uint32_t rank = 0;
    TimePoint arrived;
    std::uint64_t number = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  void Push(std::uint32_t rank, TimePoint arrived, T request) {
    waiting_.emplace(Key{rank, arrived, ++last_}, std::move(request));
  }

  /// @brief Asks for each request, in order, whether it leaves the queue.
  /// @param take Returns true for a request that leaves; it may push others.
  template <class Fn>
  void Visit(Fn take) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const T request = it->second;
      it = take(request) ? waiting_.erase(it) : std::next(it);
    }
  }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  std::map<Key, T> waiting_;
  std::uint64_t last_ = 0;
};

}  // namespace rattanward::policy
