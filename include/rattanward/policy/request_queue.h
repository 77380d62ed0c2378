#pragma once

#include <compare>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Requests that wait for an upstream: the most urgent rank first.
/// Within a rank, those that can still be on time go before those that are
/// late already; among equals, the one that came first.
/// @note First come, first served would make every request late once the queue
/// is longer than the shortest target.
/// @tparam T What stands for a request; copied.
template <class T>
class RequestQueue {
 public:
  /// @brief Adds a request.
  /// @param on_time_until Latest start from which its answer can be on time.
  void Push(std::uint32_t rank, TimePoint arrived, TimePoint on_time_until,
            T request) {
    waiting_.emplace(Key{rank, false, arrived, ++last_number_},
                     QueuedRequest{on_time_until, std::move(request)});
  }

  /// @brief Asks for each request, in order, whether it leaves the queue.
  /// @param take Returns true for a request that leaves; it may push others.
  /// Complexity: linear in the number of requests, times a logarithm for each
  /// that has become late since the last call.
  template <class Fn>
  void Visit(TimePoint now, Fn take) {
    MarkLate(now);
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const T request = it->second.request;
      it = take(request) ? waiting_.erase(it) : std::next(it);
    }
  }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  struct Key {
    std::uint32_t rank = 0;
    bool late = false;
    TimePoint arrived;
    std::uint64_t number = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct QueuedRequest {
    TimePoint on_time_until;
    T request;
  };

  void MarkLate(TimePoint now) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (it->first.late || it->second.on_time_until >= now) {
        ++it;
        continue;
      }
      auto node = waiting_.extract(it++);
      node.key().late = true;
      waiting_.insert(std::move(node));
    }
  }

  std::map<Key, QueuedRequest> waiting_;
  std::uint64_t last_number_ = 0;
};

}  // namespace rattanward::policy
