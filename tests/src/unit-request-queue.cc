#include <doctest/doctest.h>

#include <vector>

#include "rattanward/policy/request_queue.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{};

std::vector<int> Order(RequestQueue<int>* queue, TimePoint now) {
  std::vector<int> order;
  queue->Visit(now, [&](int request) {
    order.push_back(request);
    return false;
  });
  return order;
}

/// Number of requests answered on time by one server that needs 10 ms for each,
/// under 200 requests that arrive every 5 ms with a target of 100 ms.
/// @param reorder_late Whether late requests move behind the others. If not,
/// the order is by arrival.
std::size_t OnTimeAtTwiceCapacity(bool reorder_late) {
  constexpr int kArrivals = 200;
  constexpr milliseconds kGap{5};
  constexpr milliseconds kService{10};
  constexpr milliseconds kTarget{100};
  constexpr milliseconds kNever{3'600'000};
  RequestQueue<TimePoint> queue;
  std::size_t on_time = 0;
  int sent = 0;
  for (TimePoint now = kStart; sent < kArrivals || !queue.empty();
       now += kService) {
    for (; sent < kArrivals && kStart + sent * kGap <= now; ++sent) {
      const TimePoint at = kStart + sent * kGap;
      queue.Push(0, at, at + (reorder_late ? kTarget / 2 : kNever), at);
    }
    bool taken = false;
    queue.Visit(now, [&](TimePoint arrived) {
      if (taken) {
        return false;
      }
      taken = true;
      on_time += now + kService <= arrived + kTarget ? 1 : 0;
      return true;
    });
  }
  return on_time;
}

}  // namespace

TEST_CASE("requests are ordered by rank, then by whether they can be on time") {
  RequestQueue<int> queue;
  queue.Push(1, kStart, kStart + milliseconds(500), 1);
  queue.Push(0, kStart + milliseconds(1), kStart + milliseconds(101), 2);
  queue.Push(0, kStart + milliseconds(2), kStart + milliseconds(900), 3);
  CHECK(Order(&queue, kStart + milliseconds(50)) == std::vector<int>{2, 3, 1});
  CHECK(Order(&queue, kStart + milliseconds(200)) == std::vector<int>{3, 2, 1});
  CHECK(Order(&queue, kStart + milliseconds(950)) == std::vector<int>{2, 3, 1});
}

TEST_CASE(
    "a taken request is removed, and others may be pushed during a visit") {
  RequestQueue<int> queue;
  queue.Push(0, kStart, kStart, 1);
  queue.Push(0, kStart, kStart, 2);
  int visits = 0;
  queue.Visit(kStart, [&](int request) {
    ++visits;
    if (request == 1) {
      queue.Push(3, kStart, kStart, 7);
    }
    return request == 1;
  });
  CHECK(visits == 3);
  CHECK(queue.size() == 2);
  CHECK(Order(&queue, kStart) == std::vector<int>{2, 7});
}

TEST_CASE(
    "at twice the capacity, most requests that fit are answered on time") {
  // The server can answer 100 of the 200 requests in time. In order of arrival,
  // only the first few are on time, since the queue then exceeds the target.
  CHECK(OnTimeAtTwiceCapacity(true) >= 90);
  CHECK(OnTimeAtTwiceCapacity(false) <= 30);
}

}  // namespace rattanward::policy
