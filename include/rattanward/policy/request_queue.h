#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "rattanward/domain/time.h"
#include "rattanward/policy/account_shares.h"

namespace rattanward::policy {

/// @brief Queue of requests that wait for an upstream, most urgent rank first.
/// Within a rank, requests that can still meet their target precede those that
/// are already late; among these, the account that was lately given the least
/// work goes first. Otherwise the order is by arrival.
/// @tparam T Handle of a request; copied.
/// @note Under overload, strict order of arrival would make every request late
/// once the wait exceeds the shortest target, and would serve an account in
/// proportion to what it sends.
template <class T>
class RequestQueue {
 public:
  /// @brief Adds a request.
  /// @param on_time_until Latest start at which it can still meet its target.
  /// @param account The account and service that it counts for.
  void Push(std::uint32_t rank, TimePoint arrived, TimePoint on_time_until,
            T request, const ShareKey& account = {}) {
    waiting_.emplace(Key{{rank, false}, account, {arrived, ++last_number_}},
                     QueuedRequest{on_time_until, std::move(request)});
  }

  /// @brief As below, with equal accounts.
  template <class Fn>
  void Visit(TimePoint now, Fn take) {
    Visit(
        now, [](const ShareKey&) { return 0.0; }, take);
  }

  /// @brief Visits the requests in order and removes those that are taken.
  /// @param work Called with an account; returns the work that it was lately
  /// given. Called again after each of its requests.
  /// @param take Called with each request; returns true to remove it. It may
  /// push further requests.
  /// Complexity: linear in the number of requests, times a logarithm of the
  /// number of accounts; plus a logarithm for each that has become late since
  /// the last call.
  template <class Work, class Fn>
  void Visit(TimePoint now, Work work, Fn take) {
    MarkLate(now);
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const Urgency urgency = it->first.urgency;
      VisitAll(urgency, work, take);
      it = waiting_.upper_bound(urgency);
    }
  }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  struct Urgency {
    std::uint32_t rank = 0;
    bool late = false;

    friend auto operator<=>(const Urgency&, const Urgency&) = default;
  };
  struct Arrival {
    TimePoint at;
    /// Order of insertion.
    std::uint64_t number = 0;

    friend auto operator<=>(const Arrival&, const Arrival&) = default;
  };
  struct Key {
    Urgency urgency;
    ShareKey account;
    Arrival arrival;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// Also finds the requests of one urgency.
  struct KeyOrder {
    using is_transparent = void;
    bool operator()(const Key& a, const Key& b) const { return a < b; }
    bool operator()(const Key& a, const Urgency& b) const {
      return a.urgency < b;
    }
    bool operator()(const Urgency& a, const Key& b) const {
      return a < b.urgency;
    }
  };
  struct QueuedRequest {
    TimePoint on_time_until;
    T request;
  };
  using Waiting = std::map<Key, QueuedRequest, KeyOrder>;

  /// The next request of an account.
  struct Turn {
    double work = 0;
    typename Waiting::iterator next;

    /// Order of a heap whose top goes first.
    friend bool operator<(const Turn& a, const Turn& b) {
      return std::pair(a.work, a.next->first.arrival) >
             std::pair(b.work, b.next->first.arrival);
    }
  };

  template <class Work, class Fn>
  void VisitAll(const Urgency& urgency, Work work, Fn& take) {
    std::vector<Turn> turns = FirstTurns(urgency, work);
    std::make_heap(turns.begin(), turns.end());
    while (!turns.empty()) {
      std::pop_heap(turns.begin(), turns.end());
      Turn& turn = turns.back();
      const Key key = turn.next->first;
      const T request = turn.next->second.request;
      turn.next =
          take(request) ? waiting_.erase(turn.next) : std::next(turn.next);
      if (IsNextOf(key, turn.next)) {
        turn.work = work(key.account);
        std::push_heap(turns.begin(), turns.end());
      } else {
        turns.pop_back();
      }
    }
  }

  template <class Work>
  std::vector<Turn> FirstTurns(const Urgency& urgency, Work work) {
    std::vector<Turn> turns;
    const auto end = waiting_.upper_bound(urgency);
    for (auto it = waiting_.lower_bound(urgency); it != end; ++it) {
      if (turns.empty() ||
          turns.back().next->first.account != it->first.account) {
        turns.push_back({work(it->first.account), it});
      }
    }
    return turns;
  }

  /// Whether a position is still at a request of the same account and urgency.
  bool IsNextOf(const Key& key, typename Waiting::iterator next) const {
    return next != waiting_.end() && next->first.urgency == key.urgency &&
           next->first.account == key.account;
  }

  /// Moves requests that can no longer meet their target behind the others of
  /// their rank.
  void MarkLate(TimePoint now) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (it->first.urgency.late || it->second.on_time_until >= now) {
        ++it;
        continue;
      }
      auto node = waiting_.extract(it++);
      node.key().urgency.late = true;
      waiting_.insert(std::move(node));
    }
  }

  Waiting waiting_;
  std::uint64_t last_number_ = 0;
};

}  // namespace rattanward::policy
