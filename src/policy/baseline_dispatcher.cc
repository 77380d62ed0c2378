#include "rattanward/policy/baseline_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "rattanward/domain/result.h"
#include "rattanward/policy/stop_error.h"

namespace rattanward::policy {
namespace {

constexpr Duration kQueueFullRetryAfter = std::chrono::seconds(1);

bool Serves(const Announcement& announcement, const Target& target) {
  const std::vector<Target> targets = TargetsOf(announcement);
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

}  // namespace

BaselineDispatcher::BaselineDispatcher(const DispatcherOptions& /*options*/) {}

std::vector<Decision> BaselineDispatcher::SetConfig(const Config& config,
                                                    TimePoint /*now*/) {
  config_ = config;
  std::vector<Decision> out;
  DispatchWaiting(&out);
  return out;
}

std::vector<Decision> BaselineDispatcher::UpstreamChanged(
    const Announcement& announcement, TimePoint /*now*/) {
  Upstream& upstream = upstreams_[announcement.instance];
  if (upstream.announcement.sequence <= announcement.sequence) {
    upstream.announcement = announcement;
  }
  std::vector<Decision> out;
  DispatchWaiting(&out);
  RefuseWithoutUpstream(&out);
  return out;
}

std::vector<Decision> BaselineDispatcher::UpstreamGone(
    const UpstreamId& upstream, TimePoint /*now*/) {
  upstreams_.erase(upstream);
  std::vector<Decision> out;
  RefuseWithoutUpstream(&out);
  return out;
}

std::vector<Decision> BaselineDispatcher::Submit(const RequestInfo& request,
                                                 TimePoint /*now*/) {
  const RequestClass* declared = FindClass(config_, request.request_class);
  if (declared == nullptr) {
    return {Refuse{request.id,
                   MakeError(ErrorCode::kUnknownClass,
                             "request class '" + request.request_class.str() +
                                 "' is not declared")}};
  }
  const Target target = TargetOf(request);
  if (!HasUpstream(target)) {
    return {Refuse{request.id, NoUpstreamError(target)}};
  }
  if (waiting_.size() >= QueueLimit()) {
    Error error = MakeError(ErrorCode::kQueueFull, "the queue is full");
    error.retry_after = kQueueFullRetryAfter;
    return {Refuse{request.id, error}};
  }
  open_requests_.emplace(request.id,
                         OpenRequest{request, target, declared->tier, 0, {}});
  waiting_.push_back(request.id);
  std::vector<Decision> out;
  DispatchWaiting(&out);
  RefuseIfStopping(&out);
  return out;
}

void BaselineDispatcher::FirstToken(const RequestId& /*request*/,
                                    TimePoint /*now*/) {}

std::vector<Decision> BaselineDispatcher::Finish(const AttemptResult& result,
                                                 TimePoint /*now*/) {
  const auto it = open_requests_.find(result.request);
  if (it == open_requests_.end() || it->second.attempt != result.attempt ||
      it->second.upstream.empty()) {
    return {};
  }
  ReleaseUpstream(it->second.upstream);
  std::vector<Decision> out;
  if (result.end == AttemptEnd::kConnectFailed &&
      result.verdict == Verdict::kNotRun &&
      result.attempt < config_.limits.max_attempts) {
    it->second.upstream = {};
    waiting_.push_front(result.request);
  } else {
    open_requests_.erase(it);
    if (result.end != AttemptEnd::kCompleted &&
        result.end != AttemptEnd::kCallerLeft) {
      Error error = result.error;
      error.verdict = result.verdict;
      out.push_back(Refuse{result.request, error});
    }
  }
  DispatchWaiting(&out);
  RefuseWithoutUpstream(&out);
  RefuseIfStopping(&out);
  return out;
}

std::vector<Decision> BaselineDispatcher::BeginStop(const StopPlan& /*plan*/,
                                                    TimePoint /*now*/) {
  stopping_ = true;
  std::vector<Decision> out;
  RefuseIfStopping(&out);
  return out;
}

std::vector<Decision> BaselineDispatcher::Cancel(const RequestId& request,
                                                 TimePoint /*now*/) {
  const auto position = std::find(waiting_.begin(), waiting_.end(), request);
  if (position != waiting_.end()) {
    waiting_.erase(position);
    open_requests_.erase(request);
  }
  return {};
}

std::vector<Decision> BaselineDispatcher::Tick(TimePoint /*now*/) {
  std::vector<Decision> out;
  DispatchWaiting(&out);
  return out;
}

std::size_t BaselineDispatcher::OpenRequests() const {
  return open_requests_.size();
}

bool BaselineDispatcher::HasUpstream(const Target& target) const {
  return std::any_of(upstreams_.begin(), upstreams_.end(),
                     [&](const auto& item) {
                       const Announcement& a = item.second.announcement;
                       return !a.draining && Serves(a, target);
                     });
}

std::size_t BaselineDispatcher::QueueLimit() const {
  std::size_t limit = 0;
  for (const RequestClass& declared : config_.classes) {
    limit += declared.queue_limit;
  }
  return limit;
}

BaselineDispatcher::Upstream* BaselineDispatcher::NextUpstream(
    const Target& target) {
  UpstreamId& last = last_used_[target];
  auto it = upstreams_.upper_bound(last);
  for (std::size_t step = 0; step < upstreams_.size(); ++step, ++it) {
    if (it == upstreams_.end()) {
      it = upstreams_.begin();
    }
    const Announcement& a = it->second.announcement;
    if (!a.draining && it->second.in_flight < a.capacity && Serves(a, target)) {
      last = it->first;
      return &it->second;
    }
  }
  return nullptr;
}

void BaselineDispatcher::DispatchWaiting(std::vector<Decision>* out) {
  std::set<Target> blocked;
  std::deque<RequestId> remaining;
  for (const RequestId& id : waiting_) {
    OpenRequest& open = open_requests_.at(id);
    Upstream* upstream =
        blocked.contains(open.target) ? nullptr : NextUpstream(open.target);
    if (upstream == nullptr) {
      blocked.insert(open.target);
      remaining.push_back(id);
    } else {
      Start(&open, upstream, out);
    }
  }
  waiting_.swap(remaining);
}

void BaselineDispatcher::RefuseWithoutUpstream(std::vector<Decision>* out) {
  std::deque<RequestId> remaining;
  for (const RequestId& id : waiting_) {
    const Target target = open_requests_.at(id).target;
    if (HasUpstream(target)) {
      remaining.push_back(id);
    } else {
      open_requests_.erase(id);
      out->push_back(Refuse{id, NoUpstreamError(target)});
    }
  }
  waiting_.swap(remaining);
}

/// Refuses all that wait, since this profile has no estimate of run times.
void BaselineDispatcher::RefuseIfStopping(std::vector<Decision>* out) {
  if (!stopping_) {
    return;
  }
  for (const RequestId& id : std::exchange(waiting_, {})) {
    open_requests_.erase(id);
    out->push_back(Refuse{id, StopError(Verdict::kNotRun)});
  }
}

void BaselineDispatcher::Start(OpenRequest* open, Upstream* upstream,
                               std::vector<Decision>* out) {
  const Announcement& a = upstream->announcement;
  ++upstream->in_flight;
  ++open->attempt;
  open->upstream = a.instance;
  out->push_back(StartAttempt{open->info.id, open->attempt, a.instance,
                              a.endpoint, open->tier, a.not_run_statuses});
}

void BaselineDispatcher::ReleaseUpstream(const UpstreamId& id) {
  const auto it = upstreams_.find(id);
  if (it != upstreams_.end() && it->second.in_flight > 0) {
    --it->second.in_flight;
  }
}

}  // namespace rattanward::policy
