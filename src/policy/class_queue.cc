#include "rattanward/policy/class_queue.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kWholePermille = 1000;

// Requests stand in order of arrival, so those that are late come first.
std::size_t LateCount(const std::deque<QueuedRequest>& requests,
                      TimePoint cutoff) {
  const auto in_time = std::partition_point(
      requests.begin(), requests.end(),
      [cutoff](const QueuedRequest& r) { return r.arrived <= cutoff; });
  return static_cast<std::size_t>(in_time - requests.begin());
}

}  // namespace

void ClassQueue::SetClasses(const std::vector<RequestClass>& classes) {
  for (auto& [name, declared] : classes_) {
    declared.queue_limit = 0;
    declared.floor_permille = 0;
  }
  for (const RequestClass& c : classes) {
    classes_[c.name] =
        Declared{c.tier, c.first_token_target, c.floor_permille, c.queue_limit,
                 std::max<std::uint64_t>(c.expected_output_tokens, 1)};
  }
}

void ClassQueue::Push(const QueuedRequest& request) {
  std::deque<QueuedRequest>& line =
      lanes_[request.target][request.request_class].requests;
  const auto place =
      std::upper_bound(line.begin(), line.end(), request,
                       [](const QueuedRequest& a, const QueuedRequest& b) {
                         return a.arrived < b.arrived;
                       });
  line.insert(place, request);
  places_[request.id] = {request.target, request.request_class};
}

std::optional<QueuedRequest> ClassQueue::Shed(const RequestId& id,
                                              const Cutoff& cutoff) {
  const auto& [target, name] = places_.at(id);
  const Declared& declared = classes_.at(name);
  const Line& line = lanes_.at(target).at(name);
  if (declared.floor_permille > 0 && line.requests.front().id == id) {
    return std::nullopt;
  }
  const Room room = UsedRoom();
  if (room.by_class.at(name) <= declared.queue_limit &&
      room.total <= TotalLimit()) {
    return std::nullopt;
  }
  auto victim = Victim(name, room);
  if (!victim) {
    victim = OldestLate(name, cutoff(name));
  }
  return Take(victim.value_or(id));
}

std::optional<QueuedRequest> ClassQueue::DisplaceOfAccount(
    const ClientAccountId& account, Tier tier) {
  const QueuedRequest* victim = nullptr;
  Tier victim_tier = tier;
  for (const auto& [target, lane] : lanes_) {
    for (const auto& [name, line] : lane) {
      const Tier line_tier = classes_.at(name).tier;
      for (const QueuedRequest& request : line.requests) {
        const bool lower = line_tier > victim_tier;
        const bool newer = victim != nullptr && line_tier == victim_tier &&
                           request.arrived >= victim->arrived;
        if (request.account == account && (lower || newer)) {
          victim = &request;
          victim_tier = line_tier;
        }
      }
    }
  }
  if (victim == nullptr) {
    return std::nullopt;
  }
  return Take(RequestId(victim->id));
}

std::optional<QueuedRequest> ClassQueue::PopNext(const Target& target,
                                                 const Cutoff& cutoff,
                                                 const FitCheck& fits) {
  const auto it = lanes_.find(target);
  if (it == lanes_.end()) {
    return std::nullopt;
  }
  Lane& lane = it->second;
  for (const Candidate& candidate : DispatchOrder(lane, cutoff)) {
    Line& line = lane.at(*candidate.request_class);
    auto taken = TakeFitting(&line, candidate.floor_due,
                             cutoff(*candidate.request_class), fits);
    if (taken) {
      places_.erase(taken->id);
      CountDispatch(&lane, taken->request_class);
      return taken;
    }
  }
  return std::nullopt;
}

bool ClassQueue::Remove(const RequestId& id) {
  if (!places_.contains(id)) {
    return false;
  }
  Take(id);
  return true;
}

std::vector<ClassBacklog> ClassQueue::Ahead(
    const Target& target, const RequestClassName& request_class,
    const Cutoff& cutoff) const {
  const Tier tier = classes_.at(request_class).tier;
  std::vector<ClassBacklog> ahead;
  const auto lane = lanes_.find(target);
  if (lane == lanes_.end()) {
    return ahead;
  }
  for (const auto& [name, line] : lane->second) {
    const std::size_t late =
        name == request_class ? LateCount(line.requests, cutoff(name)) : 0;
    if (classes_.at(name).tier <= tier && line.requests.size() > late) {
      ahead.push_back({name, line.requests.size() - late});
    }
  }
  return ahead;
}

std::vector<Target> ClassQueue::Targets() const {
  std::vector<Target> targets;
  for (const auto& [target, lane] : lanes_) {
    const bool waiting = std::any_of(
        lane.begin(), lane.end(),
        [](const auto& item) { return !item.second.requests.empty(); });
    if (waiting) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::vector<QueuedRequest> ClassQueue::Waiting() const {
  std::vector<QueuedRequest> waiting;
  for (const auto& [target, lane] : lanes_) {
    for (const auto& [name, line] : lane) {
      waiting.insert(waiting.end(), line.requests.begin(), line.requests.end());
    }
  }
  return waiting;
}

std::vector<ClassQueue::Candidate> ClassQueue::DispatchOrder(
    const Lane& lane, const Cutoff& cutoff) const {
  std::vector<Candidate> due;
  std::vector<Candidate> strict;
  for (const auto& [name, line] : lane) {
    if (line.requests.empty()) {
      continue;
    }
    strict.push_back({&name, false});
    if (line.due_since != 0) {
      due.push_back({&name, true});
    }
  }
  std::sort(due.begin(), due.end(),
            [&](const Candidate& a, const Candidate& b) {
              return lane.at(*a.request_class).due_since <
                     lane.at(*b.request_class).due_since;
            });
  const auto rank = [&](const Candidate& candidate) {
    const Declared& declared = classes_.at(*candidate.request_class);
    const std::deque<QueuedRequest>& requests =
        lane.at(*candidate.request_class).requests;
    const std::size_t late =
        LateCount(requests, cutoff(*candidate.request_class));
    const TimePoint next = requests[late % requests.size()].arrived;
    return std::pair(declared.tier, next + declared.first_token_target);
  };
  std::sort(strict.begin(), strict.end(),
            [&](const Candidate& a, const Candidate& b) {
              return rank(a) < rank(b);
            });
  due.insert(due.end(), strict.begin(), strict.end());
  return due;
}

std::optional<QueuedRequest> ClassQueue::TakeFitting(Line* line, bool floor_due,
                                                     TimePoint cutoff,
                                                     const FitCheck& fits) {
  const std::size_t late = LateCount(line->requests, cutoff);
  const std::size_t count = line->requests.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto it = line->requests.begin() +
                    static_cast<std::ptrdiff_t>((late + i) % count);
    const Fit fit = fits(*it, floor_due);
    if (fit == Fit::kRuns) {
      QueuedRequest taken = std::move(*it);
      line->requests.erase(it);
      return taken;
    }
    if (fit == Fit::kSkipClass) {
      break;
    }
  }
  return std::nullopt;
}

void ClassQueue::CountDispatch(Lane* lane, const RequestClassName& served) {
  const std::uint64_t work = classes_.at(served).work;
  for (auto& [name, line] : *lane) {
    if (name == served || line.requests.empty()) {
      line.credit = 0;
      line.due_since = 0;
      continue;
    }
    if (line.due_since != 0) {
      continue;
    }
    const Declared& own = classes_.at(name);
    line.credit += own.floor_permille * work;
    if (own.floor_permille > 0 && line.credit + own.floor_permille * own.work >=
                                      kWholePermille * own.work) {
      line.due_since = ++due_count_;
    }
  }
}

ClassQueue::Room ClassQueue::UsedRoom() const {
  Room room;
  for (const auto& [target, lane] : lanes_) {
    for (const auto& [name, line] : lane) {
      const bool holds_floor =
          classes_.at(name).floor_permille > 0 && !line.requests.empty();
      const std::size_t used = line.requests.size() - (holds_floor ? 1 : 0);
      room.by_class[name] += used;
      room.total += used;
    }
  }
  return room;
}

std::optional<RequestId> ClassQueue::Victim(const RequestClassName& incoming,
                                            const Room& room) const {
  const Declared& own = classes_.at(incoming);
  const bool within_limit = room.by_class.at(incoming) <= own.queue_limit;
  const QueuedRequest* victim = nullptr;
  Tier victim_tier;
  for (const auto& [target, lane] : lanes_) {
    for (const auto& [name, line] : lane) {
      const Declared& other = classes_.at(name);
      const std::size_t kept = other.floor_permille > 0 ? 1 : 0;
      const bool borrows = within_limit && other.tier == own.tier &&
                           room.by_class.at(name) > other.queue_limit;
      if (line.requests.size() <= kept || !(other.tier > own.tier || borrows)) {
        continue;
      }
      const QueuedRequest& newest = line.requests.back();
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
  const std::size_t kept =
      classes_.at(request_class).floor_permille > 0 ? 1 : 0;
  const QueuedRequest* oldest = nullptr;
  for (const auto& [target, lane] : lanes_) {
    const auto line = lane.find(request_class);
    if (line == lane.end() || line->second.requests.size() <= kept) {
      continue;
    }
    const QueuedRequest& first = line->second.requests[kept];
    if (first.arrived <= cutoff &&
        (oldest == nullptr || first.arrived < oldest->arrived)) {
      oldest = &first;
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional(oldest->id);
}

std::size_t ClassQueue::TotalLimit() const {
  std::size_t limit = 0;
  for (const auto& [name, declared] : classes_) {
    limit += declared.queue_limit;
  }
  return limit;
}

QueuedRequest ClassQueue::Take(const RequestId& id) {
  const auto place = places_.find(id);
  Line& line = lanes_.at(place->second.first).at(place->second.second);
  const auto it = std::find_if(
      line.requests.begin(), line.requests.end(),
      [&](const QueuedRequest& request) { return request.id == id; });
  QueuedRequest taken = std::move(*it);
  line.requests.erase(it);
  places_.erase(place);
  return taken;
}

}  // namespace rattanward::policy
