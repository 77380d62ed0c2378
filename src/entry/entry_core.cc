#include "rattanward/entry/entry_core.h"

#include <asio/executor_work_guard.hpp>
#include <utility>

#include "rattanward/policy/stop_error.h"

namespace rattanward::entry {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(5);
constexpr auto kRetryAfter = std::chrono::seconds(1);

const RequestId& RequestOf(const policy::Decision& decision) {
  return std::visit(
      [](const auto& value) -> const RequestId& { return value.request; },
      decision);
}

}  // namespace

EntryCore::EntryCore(const policy::DispatcherOptions& options,
                     membership::ConfigGateOptions gate, port::EventSink events)
    : dispatcher_(options),
      gate_(std::move(gate)),
      events_(std::move(events)),
      timers_(context_) {}

void EntryCore::Start() {
  timers_.Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
}

void EntryCore::Run() {
  const auto work_guard = asio::make_work_guard(context_);
  context_.run();
}

void EntryCore::SetConfig(ConfigVersion version, const Config& config) {
  if (snapshot_ && snapshot_->version() >= version) {
    return;
  }
  Deliver(dispatcher_.SetConfig(config, Now()));
  snapshot_ = std::make_shared<const ConfigSnapshot>(version, config);
  gate_.Apply(version);
  events_(Event{EventId::kConfigInForce,
                {{"version", std::to_string(version.value)}}});
}

Status EntryCore::MayStart() const {
  if (refusing_new_work_) {
    return policy::StopError(Verdict::kNotRun);
  }
  const Status open = gate_.MayStart();
  if (open) {
    return outcome::success();
  }
  Error error = open.error();
  error.verdict = Verdict::kNotRun;
  error.retry_after = kRetryAfter;
  return error;
}

void EntryCore::Submit(const policy::RequestInfo& request, DecisionSink sink) {
  open_[request.id].sink = std::move(sink);
  Deliver(dispatcher_.Submit(request, Now()));
}

void EntryCore::FirstToken(const RequestId& request) {
  dispatcher_.FirstToken(request, Now());
}

bool EntryCore::Cancel(const RequestId& request) {
  const auto it = open_.find(request);
  if (it == open_.end() || it->second.delivery_pending) {
    return false;
  }
  open_.erase(it);
  Deliver(dispatcher_.Cancel(request, Now()));
  return true;
}

void EntryCore::Drop(const RequestId& request) {
  open_.erase(request);
  Deliver(dispatcher_.Cancel(request, Now()));
}

void EntryCore::Finish(const policy::AttemptResult& result) {
  if (result.end == policy::AttemptEnd::kCompleted ||
      result.end == policy::AttemptEnd::kCallerLeft) {
    open_.erase(result.request);
  }
  DeliverAfterBroadcast(dispatcher_.Finish(result, Now()));
}

EntryStatusView EntryCore::View() const {
  EntryStatusView view;
  view.version = snapshot_ ? snapshot_->version() : ConfigVersion{};
  view.open_requests = open_.size();
  view.upstreams = draining_.size();
  view.ready = snapshot_ != nullptr && MayStart();
  return view;
}

void EntryCore::UpstreamChanged(const Announcement& announcement) {
  const auto [it, added] =
      draining_.emplace(announcement.instance, announcement.draining);
  const bool starts_draining = announcement.draining && (added || !it->second);
  it->second = announcement.draining;
  if (added || starts_draining) {
    events_(Event{starts_draining ? EventId::kUpstreamDraining
                                  : EventId::kUpstreamAnnounced,
                  {{"upstream", announcement.instance.str()},
                   {"failure_domain", announcement.failure_domain.str()}}});
  }
  if (paths_) {
    paths_->SetUpstream(announcement.instance, announcement.endpoint);
  }
  Deliver(dispatcher_.UpstreamChanged(announcement, Now()));
}

void EntryCore::WatchPaths() {
  paths_ = std::make_unique<PathWatch>(
      context_, [this](const UpstreamId& upstream, bool lost) {
        SetPathLost(upstream, lost);
      });
  paths_->Start();
}

void EntryCore::SetPathLost(const UpstreamId& upstream, bool lost) {
  events_(Event{lost ? EventId::kPathLost : EventId::kPathRestored,
                {{"upstream", upstream.str()}}});
  Deliver(dispatcher_.SetPathLost(upstream, lost, Now()));
}

void EntryCore::CheckPath(const UpstreamId& upstream, policy::AttemptEnd end) {
  if (!paths_) {
    return;
  }
  if (end == policy::AttemptEnd::kConnectFailed) {
    paths_->RecordUnreached(upstream);
  } else if (end == policy::AttemptEnd::kSilent ||
             end == policy::AttemptEnd::kBroken) {
    paths_->Suspect(upstream);
  }
}

void EntryCore::MarkLeaving(const UpstreamId& upstream) {
  const auto known = draining_.find(upstream);
  if (known == draining_.end() || known->second) {
    return;
  }
  events_(Event{EventId::kUpstreamLeaving, {{"upstream", upstream.str()}}});
  if (drain_sink_) {
    drain_sink_(upstream);
  }
}

void EntryCore::UpstreamGone(const UpstreamId& upstream) {
  draining_.erase(upstream);
  if (paths_) {
    paths_->RemoveUpstream(upstream);
  }
  events_(Event{EventId::kUpstreamExpired, {{"upstream", upstream.str()}}});
  DeliverAfterBroadcast(dispatcher_.UpstreamGone(upstream, Now()));
}

void EntryCore::Tick(TimePoint now) {
  Deliver(dispatcher_.Tick(now));
  TellNews(now);
  for (const Event& event : dispatcher_.TakeEvents()) {
    events_(event);
  }
}

/// Changes that no decision waits for.
void EntryCore::TellNews(TimePoint now) {
  const protocol::SuspicionsTold told{
      {}, dispatcher_.TakePartSuspicions(now), dispatcher_.TakeLimits(now)};
  const bool news = !told.parts.empty() || !told.limits.empty();
  if (news && broadcast_suspicions_) {
    broadcast_suspicions_(told, [] {});
  }
}

void EntryCore::DeliverAfterBroadcast(Decisions decisions) {
  protocol::SuspicionsTold told{dispatcher_.TakeSuspicions(), {}, {}};
  if (told.suspicions.empty() || !broadcast_suspicions_) {
    Deliver(decisions);
    return;
  }
  told.parts = dispatcher_.TakePartSuspicions(Now());
  for (const policy::Decision& decision : decisions) {
    if (const auto it = open_.find(RequestOf(decision)); it != open_.end()) {
      it->second.delivery_pending = true;
    }
  }
  broadcast_suspicions_(
      told, [this, decisions = std::move(decisions)] { Deliver(decisions); });
}

void EntryCore::Deliver(const Decisions& decisions) {
  for (const policy::Decision& decision : decisions) {
    const auto it = open_.find(RequestOf(decision));
    if (it == open_.end()) {
      continue;
    }
    it->second.delivery_pending = false;
    // Copied, because the sink may end the request and so erase this entry.
    const DecisionSink sink = it->second.sink;
    if (std::holds_alternative<policy::Refuse>(decision)) {
      open_.erase(it);
    }
    sink(decision);
  }
}

}  // namespace rattanward::entry
