#include "rattanward/policy/class_queue.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kWholePermille = 1000;

/// Number of late requests. They come first, as requests are sorted by arrival.
std::size_t LateCount(const std::deque<QueuedRequest>& requests,
                      TimePoint cutoff) {
  const auto in_time = std::partition_point(
      requests.begin(), requests.end(),
      [cutoff](const QueuedRequest& r) { return r.arrived <= cutoff; });
  return static_cast<std::size_t>(in_time - requests.begin());
}

}  // namespace

void ClassQueue::SetClasses(const std::vector<RequestClass>& classes) {
  // Classes that are no longer declared are kept, as requests may still wait.
  for (auto& [name, settings] : classes_) {
    settings.queue_limit = 0;
    settings.floor_permille = 0;
  }
  for (const RequestClass& c : classes) {
    classes_[c.name] = ClassSettings{
        c.tier, c.first_token_target, c.floor_permille, c.queue_limit,
        std::max<std::uint64_t>(c.expected_output_tokens, 1)};
  }
}

void ClassQueue::Push(const QueuedRequest& request) {
  std::deque<QueuedRequest>& subqueue =
      by_target_[request.target][request.request_class].requests;
  const auto position =
      std::upper_bound(subqueue.begin(), subqueue.end(), request,
                       [](const QueuedRequest& a, const QueuedRequest& b) {
                         return a.arrived < b.arrived;
                       });
  subqueue.insert(position, request);
  locations_[request.id] = {request.target, request.request_class};
}

std::optional<QueuedRequest> ClassQueue::Shed(const RequestId& id,
                                              const Cutoff& cutoff) {
  const auto& [target, name] = locations_.at(id);
  const ClassSettings& settings = classes_.at(name);
  const Subqueue& subqueue = by_target_.at(target).at(name);
  // The oldest request of a class with a floor is exempt from the limits.
  if (settings.floor_permille > 0 && subqueue.requests.front().id == id) {
    return std::nullopt;
  }
  const Occupancy occupancy = ComputeOccupancy();
  if (occupancy.by_class.at(name) <= settings.queue_limit &&
      occupancy.total <= TotalLimit()) {
    return std::nullopt;
  }
  auto victim = FindVictim(name, occupancy);
  if (!victim) {
    victim = OldestLate(name, cutoff(name));
  }
  return Take(victim.value_or(id));
}

std::optional<QueuedRequest> ClassQueue::DisplaceFromAccount(
    const ClientAccountId& account, Tier tier) {
  const QueuedRequest* victim = nullptr;
  Tier victim_tier = tier;
  for (const auto& [target, subqueues] : by_target_) {
    for (const auto& [name, subqueue] : subqueues) {
      const Tier subqueue_tier = classes_.at(name).tier;
      for (const QueuedRequest& request : subqueue.requests) {
        const bool lower = subqueue_tier > victim_tier;
        const bool newer = victim != nullptr && subqueue_tier == victim_tier &&
                           request.arrived >= victim->arrived;
        if (request.account == account && (lower || newer)) {
          victim = &request;
          victim_tier = subqueue_tier;
        }
      }
    }
  }
  if (victim == nullptr) {
    return std::nullopt;
  }
  return Take(RequestId(victim->id));
}

std::optional<QueuedRequest> ClassQueue::PopNext(
    const Target& target, const Cutoff& cutoff,
    const EligibilityCheck& check_eligibility) {
  const auto it = by_target_.find(target);
  if (it == by_target_.end()) {
    return std::nullopt;
  }
  ClassSubqueues& subqueues = it->second;
  for (const Candidate& candidate : DispatchOrder(subqueues, cutoff)) {
    Subqueue& subqueue = subqueues.at(*candidate.request_class);
    auto taken =
        TakeEligible(&subqueue, candidate.floor_due,
                     cutoff(*candidate.request_class), check_eligibility);
    if (taken) {
      locations_.erase(taken->id);
      UpdateFloorCredits(&subqueues, taken->request_class);
      return taken;
    }
  }
  return std::nullopt;
}

bool ClassQueue::Remove(const RequestId& id) {
  if (!locations_.contains(id)) {
    return false;
  }
  Take(id);
  return true;
}

std::vector<ClassBacklog> ClassQueue::BacklogAhead(
    const Target& target, const RequestClassName& request_class,
    const Cutoff& cutoff) const {
  const Tier tier = classes_.at(request_class).tier;
  std::vector<ClassBacklog> ahead;
  const auto subqueues = by_target_.find(target);
  if (subqueues == by_target_.end()) {
    return ahead;
  }
  for (const auto& [name, subqueue] : subqueues->second) {
    const std::size_t late =
        name == request_class ? LateCount(subqueue.requests, cutoff(name)) : 0;
    if (classes_.at(name).tier <= tier && subqueue.requests.size() > late) {
      ahead.push_back({name, subqueue.requests.size() - late});
    }
  }
  return ahead;
}

std::vector<Target> ClassQueue::Targets() const {
  std::vector<Target> targets;
  for (const auto& [target, subqueues] : by_target_) {
    const bool waiting = std::any_of(
        subqueues.begin(), subqueues.end(),
        [](const auto& item) { return !item.second.requests.empty(); });
    if (waiting) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::vector<QueuedRequest> ClassQueue::Waiting() const {
  std::vector<QueuedRequest> waiting;
  for (const auto& [target, subqueues] : by_target_) {
    for (const auto& [name, subqueue] : subqueues) {
      waiting.insert(waiting.end(), subqueue.requests.begin(),
                     subqueue.requests.end());
    }
  }
  return waiting;
}

std::vector<ClassQueue::Candidate> ClassQueue::DispatchOrder(
    const ClassSubqueues& subqueues, const Cutoff& cutoff) const {
  std::vector<Candidate> due;
  std::vector<Candidate> strict;
  for (const auto& [name, subqueue] : subqueues) {
    if (subqueue.requests.empty()) {
      continue;
    }
    strict.push_back({&name, false});
    if (subqueue.due_order != 0) {
      due.push_back({&name, true});
    }
  }
  std::sort(due.begin(), due.end(),
            [&](const Candidate& a, const Candidate& b) {
              return subqueues.at(*a.request_class).due_order <
                     subqueues.at(*b.request_class).due_order;
            });
  const auto rank = [&](const Candidate& candidate) {
    const ClassSettings& settings = classes_.at(*candidate.request_class);
    const std::deque<QueuedRequest>& requests =
        subqueues.at(*candidate.request_class).requests;
    const std::size_t late =
        LateCount(requests, cutoff(*candidate.request_class));
    const TimePoint next = requests[late % requests.size()].arrived;
    return std::pair(settings.tier, next + settings.first_token_target);
  };
  std::sort(strict.begin(), strict.end(),
            [&](const Candidate& a, const Candidate& b) {
              return rank(a) < rank(b);
            });
  due.insert(due.end(), strict.begin(), strict.end());
  return due;
}

std::optional<QueuedRequest> ClassQueue::TakeEligible(
    Subqueue* subqueue, bool floor_due, TimePoint cutoff,
    const EligibilityCheck& check_eligibility) {
  const std::size_t late = LateCount(subqueue->requests, cutoff);
  // Starts at the oldest request that is not late; the late ones come last.
  const std::size_t count = subqueue->requests.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto it = subqueue->requests.begin() +
                    static_cast<std::ptrdiff_t>((late + i) % count);
    const Eligibility eligibility = check_eligibility(*it, floor_due);
    if (eligibility == Eligibility::kEligible) {
      QueuedRequest taken = std::move(*it);
      subqueue->requests.erase(it);
      return taken;
    }
    if (eligibility == Eligibility::kSkipClass) {
      break;
    }
  }
  return std::nullopt;
}

void ClassQueue::UpdateFloorCredits(ClassSubqueues* subqueues,
                                    const RequestClassName& served) {
  const std::uint64_t work = classes_.at(served).work;
  for (auto& [name, subqueue] : *subqueues) {
    if (name == served || subqueue.requests.empty()) {
      subqueue.credit = 0;
      subqueue.due_order = 0;
      continue;
    }
    if (subqueue.due_order != 0) {
      continue;
    }
    const ClassSettings& own = classes_.at(name);
    subqueue.credit += own.floor_permille * work;
    // The floor is due once serving a request of the class would not raise the
    // class's share of the work above the floor.
    if (own.floor_permille > 0 &&
        subqueue.credit + own.floor_permille * own.work >=
            kWholePermille * own.work) {
      subqueue.due_order = ++due_count_;
    }
  }
}

ClassQueue::Occupancy ClassQueue::ComputeOccupancy() const {
  Occupancy occupancy;
  for (const auto& [target, subqueues] : by_target_) {
    for (const auto& [name, subqueue] : subqueues) {
      const bool floor_exempt =
          classes_.at(name).floor_permille > 0 && !subqueue.requests.empty();
      const std::size_t used =
          subqueue.requests.size() - (floor_exempt ? 1 : 0);
      occupancy.by_class[name] += used;
      occupancy.total += used;
    }
  }
  return occupancy;
}

std::optional<RequestId> ClassQueue::FindVictim(
    const RequestClassName& incoming, const Occupancy& occupancy) const {
  const ClassSettings& own = classes_.at(incoming);
  const bool within_limit = occupancy.by_class.at(incoming) <= own.queue_limit;
  const QueuedRequest* victim = nullptr;
  Tier victim_tier;
  for (const auto& [target, subqueues] : by_target_) {
    for (const auto& [name, subqueue] : subqueues) {
      const ClassSettings& other = classes_.at(name);
      const std::size_t exempt = other.floor_permille > 0 ? 1 : 0;
      // A class within its own limit also displaces requests of classes of its
      // tier that exceed theirs.
      const bool borrows = within_limit && other.tier == own.tier &&
                           occupancy.by_class.at(name) > other.queue_limit;
      if (subqueue.requests.size() <= exempt ||
          !(other.tier > own.tier || borrows)) {
        continue;
      }
      const QueuedRequest& newest = subqueue.requests.back();
      if (victim == nullptr || other.tier > victim_tier ||
          (other.tier == victim_tier && newest.arrived > victim->arrived)) {
        victim = &newest;
        victim_tier = other.tier;
      }
    }
  }
  return victim == nullptr ? std::nullopt : std::optional(victim->id);
}

std::optional<RequestId> ClassQueue::OldestLate(
    const RequestClassName& request_class, TimePoint cutoff) const {
  const std::size_t exempt =
      classes_.at(request_class).floor_permille > 0 ? 1 : 0;
  const QueuedRequest* oldest = nullptr;
  for (const auto& [target, subqueues] : by_target_) {
    const auto subqueue = subqueues.find(request_class);
    if (subqueue == subqueues.end() ||
        subqueue->second.requests.size() <= exempt) {
      continue;
    }
    const QueuedRequest& first = subqueue->second.requests[exempt];
    if (first.arrived <= cutoff &&
        (oldest == nullptr || first.arrived < oldest->arrived)) {
      oldest = &first;
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional(oldest->id);
}

std::size_t ClassQueue::TotalLimit() const {
  std::size_t limit = 0;
  for (const auto& [name, settings] : classes_) {
    limit += settings.queue_limit;
  }
  return limit;
}

QueuedRequest ClassQueue::Take(const RequestId& id) {
  const auto position = locations_.find(id);
  Subqueue& subqueue =
      by_target_.at(position->second.first).at(position->second.second);
  const auto it = std::find_if(
      subqueue.requests.begin(), subqueue.requests.end(),
      [&](const QueuedRequest& request) { return request.id == id; });
  QueuedRequest taken = std::move(*it);
  subqueue.requests.erase(it);
  locations_.erase(position);
  return taken;
}

}  // namespace rattanward::policy
