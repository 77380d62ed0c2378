#pragma once

#include <compare>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Queue of requests that wait for an upstream, most urgent rank first.
/// Within a rank, requests that can still meet their target precede those that
/// are already late; otherwise the order is by arrival.
/// @tparam T Handle of a request; copied.
/// @note Under overload, strict order of arrival would make every request late
/// once the wait exceeds the shortest target.
template <class T>
class RequestQueue {
 public:
  /// @brief Adds a request.
  /// @param on_time_until Latest start at which it can still meet its target.
  void Push(std::uint32_t rank, TimePoint arrived, TimePoint on_time_until,
            T request) {
    waiting_.emplace(Key{rank, false, arrived, ++last_number_},
                     QueuedRequest{on_time_until, std::move(request)});
  }

  /// @brief Visits the requests in order and removes those that are taken.
  /// @param take Called with each request; returns true to remove it. It may
  /// push further requests.
  /// Complexity: linear in the number of requests, plus a logarithm of it for
  /// each that has become late since the last call.
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
    /// Order of insertion.
    std::uint64_t number = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct QueuedRequest {
    TimePoint on_time_until;
    T request;
  };

  /// Moves requests that can no longer meet their target behind the others of
  /// their rank.
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
