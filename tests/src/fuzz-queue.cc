#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "fakes/policy_values.h"
#include "rattanward/policy/class_queue.h"

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kWholePermille = 1000;
constexpr std::size_t kTargets = 2;
constexpr std::size_t kActions = 20;
/// Number of steps after which a waiting request is late.
constexpr int kStepsUntilLate = 6;
/// Number of actions that pop; the others push.
constexpr std::size_t kPopActions = 8;

using Commands = std::vector<std::uint16_t>;

// Reference model that keeps all waiting requests in one flat list.
struct Oracle {
  std::vector<RequestClass> classes;
  std::vector<QueuedRequest> waiting;
  // Work dispatched for a target, in tokens, that passed a waiting class over
  // since the class was last served.
  std::map<std::pair<Target, RequestClassName>, std::uint64_t> passed_over;

  const RequestClass& ClassOf(const QueuedRequest& request) const {
    for (const RequestClass& c : classes) {
      if (c.name == request.request_class) {
        return c;
      }
    }
    return classes.front();
  }

  // Whether a request is the oldest of its target and class, and the class has
  // a floor. Such a request does not count towards the queue limits.
  bool IsFloorExempt(const QueuedRequest& request) const {
    for (const QueuedRequest& other : waiting) {
      if (other.target == request.target &&
          other.request_class == request.request_class &&
          other.arrived < request.arrived) {
        return false;
      }
    }
    return ClassOf(request).floor_permille > 0;
  }

  // Whether a request of a lower tier is waiting that may be displaced.
  bool HasDisplaceableBelow(Tier tier) const {
    for (const QueuedRequest& other : waiting) {
      if (ClassOf(other).tier > tier && !IsFloorExempt(other)) {
        return true;
      }
    }
    return false;
  }

  // Number of waiting requests that count towards the queue limits, of one
  // class or of all classes.
  std::size_t Occupancy(const RequestClassName* name) const {
    std::size_t used = 0;
    for (const QueuedRequest& r : waiting) {
      const bool counts = name == nullptr || r.request_class == *name;
      used += counts && !IsFloorExempt(r) ? 1 : 0;
    }
    return used;
  }

  std::size_t TotalLimit() const {
    std::size_t limit = 0;
    for (const RequestClass& c : classes) {
      limit += c.queue_limit;
    }
    return limit;
  }

  static std::uint64_t WorkOf(const RequestClass& c) {
    return std::max<std::uint64_t>(c.expected_output_tokens, 1);
  }

  // Bound on the work that may pass a class over while it waits, multiplied by
  // its floor in thousandths: the work until the floor is due, the dispatch
  // that makes it due, and the dispatches for other due floors.
  std::uint64_t FloorBound(const RequestClass& c) const {
    std::uint64_t floors = 0;
    std::uint64_t most_work = 0;
    for (const RequestClass& other : classes) {
      floors += other.floor_permille > 0 ? 1 : 0;
      most_work = std::max(most_work, WorkOf(other));
    }
    return (kWholePermille - c.floor_permille) * WorkOf(c) +
           c.floor_permille * floors * most_work;
  }

  void Erase(const RequestId& id) {
    std::erase_if(waiting, [&](const QueuedRequest& r) { return r.id == id; });
  }

  void RecordDispatch(const QueuedRequest& served) {
    Erase(served.id);
    for (const RequestClass& c : classes) {
      std::uint64_t& passed = passed_over[{served.target, c.name}];
      bool still_waits = false;
      for (const QueuedRequest& r : waiting) {
        still_waits = still_waits ||
                      (r.target == served.target && r.request_class == c.name);
      }
      passed = c.name == served.request_class || !still_waits
                   ? 0
                   : passed + WorkOf(ClassOf(served));
      if (c.floor_permille > 0) {
        RC_ASSERT(passed * c.floor_permille < FloorBound(c));
      }
    }
  }
};

std::vector<RequestClass> GenerateClasses() {
  const int count = *rc::gen::inRange(1, 6);
  std::vector<RequestClass> classes;
  for (int i = 0; i < count; ++i) {
    RequestClass c =
        fakes::MakeClass("c" + std::to_string(i),
                         *rc::gen::inRange<std::uint8_t>(0, Tier::kCount),
                         *rc::gen::inRange<std::uint32_t>(0, 5));
    c.floor_permille = *rc::gen::element<std::uint32_t>(0, 0, 50, 200, 333);
    c.expected_output_tokens = *rc::gen::element<std::uint32_t>(0, 1, 1, 4, 25);
    classes.push_back(c);
  }
  return classes;
}

// Checks strict priority: no request of a higher tier waits for the same
// target, unless the floor of the served class was due.
void CheckOrder(const Oracle& oracle, const QueuedRequest& served) {
  const RequestClass& c = oracle.ClassOf(served);
  const auto it = oracle.passed_over.find({served.target, c.name});
  const std::uint64_t passed = it == oracle.passed_over.end() ? 0 : it->second;
  const std::uint64_t work = Oracle::WorkOf(c);
  if ((passed + work) * c.floor_permille >= kWholePermille * work) {
    return;
  }
  for (const QueuedRequest& other : oracle.waiting) {
    if (other.target == served.target) {
      RC_ASSERT(oracle.ClassOf(other).tier >= c.tier);
    }
  }
}

// Checks the order in a class: the oldest request that is not late goes first;
// if all are late, the oldest.
void CheckLateLast(const Oracle& oracle, const QueuedRequest& served,
                   TimePoint late_cutoff) {
  for (const QueuedRequest& other : oracle.waiting) {
    if (other.target != served.target ||
        other.request_class != served.request_class) {
      continue;
    }
    const auto rank = [late_cutoff](const QueuedRequest& r) {
      return std::pair(r.arrived <= late_cutoff, r.arrived);
    };
    RC_ASSERT(rank(served) <= rank(other));
  }
}

void CheckShed(const Oracle& oracle, const QueuedRequest& incoming,
               const QueuedRequest& shed, TimePoint late_cutoff) {
  const Tier tier = oracle.ClassOf(incoming).tier;
  const Tier shed_tier = oracle.ClassOf(shed).tier;
  const RequestClass& c = oracle.ClassOf(incoming);
  const bool class_full = oracle.Occupancy(&c.name) > c.queue_limit;
  const bool all_full = oracle.Occupancy(nullptr) > oracle.TotalLimit();
  RC_ASSERT(class_full || all_full);
  RC_ASSERT(shed_tier >= tier);
  RC_ASSERT(!oracle.IsFloorExempt(shed));
  RC_ASSERT(!oracle.HasDisplaceableBelow(shed_tier));
  if (shed.id == incoming.id) {
    for (const QueuedRequest& other : oracle.waiting) {
      if (other.request_class == shed.request_class &&
          other.arrived <= late_cutoff) {
        RC_ASSERT(oracle.IsFloorExempt(other));
      }
    }
  }
}

void Step(ClassQueue* queue, Oracle* oracle, int step, std::uint16_t command) {
  // A command encodes a target and either a pop or a push to one class.
  const Target target{UpstreamKind::kModelEngine,
                      command % kTargets == 0 ? "a" : "b"};
  const TimePoint late_cutoff{Duration(step - kStepsUntilLate)};
  const auto cutoff = [late_cutoff](const RequestClassName&) {
    return late_cutoff;
  };
  const std::size_t action = command / kTargets % kActions;
  if (action >= kPopActions) {
    const QueuedRequest request{
        RequestId("r" + std::to_string(step)), ClientAccountId(),
        oracle->classes[action % oracle->classes.size()].name, target,
        TimePoint(Duration(step))};
    queue->Push(request);
    oracle->waiting.push_back(request);
    if (const auto shed = queue->Shed(request.id, cutoff)) {
      CheckShed(*oracle, request, *shed, late_cutoff);
      oracle->Erase(shed->id);
    }
  } else if (const auto served =
                 queue->PopNext(target, cutoff, [](const QueuedRequest&, bool) {
                   return Eligibility::kEligible;
                 })) {
    CheckOrder(*oracle, *served);
    CheckLateLast(*oracle, *served, late_cutoff);
    oracle->RecordDispatch(*served);
  }
  RC_ASSERT(queue->size() == oracle->waiting.size());
  RC_ASSERT(oracle->Occupancy(nullptr) <= oracle->TotalLimit());
}

}  // namespace

TEST_CASE(
    "queue: strict tiers, floors within their bound, lowest tier shed first") {
  CHECK(rc::check("queue matches the model", [](const Commands& commands) {
    Oracle oracle;
    oracle.classes = GenerateClasses();
    ClassQueue queue;
    queue.SetClasses(oracle.classes);
    int step = 0;
    for (const std::uint16_t command : commands) {
      Step(&queue, &oracle, step++, command);
    }
  }));
}

}  // namespace rattanward::policy
