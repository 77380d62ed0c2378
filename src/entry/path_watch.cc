#include "rattanward/entry/path_watch.h"

#include <utility>
#include <vector>

#include "rattanward/http/reachability.h"

namespace rattanward::entry {
namespace {

using adapter::MonotonicNow;

constexpr Duration kTickPeriod{std::chrono::milliseconds(100)};
constexpr Duration kProbeTimeout{std::chrono::milliseconds(300)};

}  // namespace

PathWatch::PathWatch(
    asio::io_context& io,
    std::function<void(const UpstreamId&, bool lost)> on_change)
    : io_(io),
      on_change_(std::move(on_change)),
      timers_(io),
      self_(std::make_shared<PathWatch*>(this)) {}

void PathWatch::Start() {
  timers_.Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

void PathWatch::SetUpstream(const UpstreamId& id, const Endpoint& endpoint) {
  const auto [known, added] = endpoints_.emplace(id, endpoint);
  if (!added && known->second != endpoint) {
    known->second = endpoint;
    Forget(id);
  }
}

void PathWatch::RemoveUpstream(const UpstreamId& id) {
  endpoints_.erase(id);
  Forget(id);
}

void PathWatch::Forget(const UpstreamId& id) {
  const bool was_lost = paths_.IsLost(id);
  paths_.Forget(id);
  if (was_lost) {
    on_change_(id, false);
  }
}

void PathWatch::RecordUnreached(const UpstreamId& id) {
  if (endpoints_.count(id) > 0 && paths_.RecordLost(id, MonotonicNow())) {
    on_change_(id, true);
  }
}

void PathWatch::Suspect(const UpstreamId& id) {
  if (endpoints_.count(id) > 0 && !paths_.IsLost(id)) {
    Probe(id);
  }
}

void PathWatch::Tick(TimePoint now) {
  std::vector<UpstreamId> known;
  known.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    known.push_back(id);
  }
  for (const UpstreamId& id : paths_.TakeDueProbes({}, known, now)) {
    Probe(id);
  }
}

void PathWatch::Probe(const UpstreamId& id) {
  const Endpoint endpoint = endpoints_.at(id);
  http::CheckReachable(
      io_, endpoint, kProbeTimeout,
      [weak = std::weak_ptr<PathWatch*>(self_), id, endpoint](bool reached) {
        if (const auto self = weak.lock()) {
          (*self)->OnProbed(id, endpoint, reached);
        }
      });
}

void PathWatch::OnProbed(const UpstreamId& id, const Endpoint& endpoint,
                         bool reached) {
  const auto known = endpoints_.find(id);
  if (known == endpoints_.end() || known->second != endpoint) {
    return;
  }
  const bool changed = reached ? paths_.RecordReached(id, MonotonicNow())
                               : paths_.RecordLost(id, MonotonicNow());
  if (changed) {
    on_change_(id, !reached);
  }
}

}  // namespace rattanward::entry
