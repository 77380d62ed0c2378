#include "rattanward/entry/entry_core.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <utility>

namespace rattanward::entry {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(5);
constexpr auto kComeBack = std::chrono::seconds(1);

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

EntryCore::~EntryCore() { Stop(); }

void EntryCore::Start() {
  timers_.Every(kTickPeriod, [this](TimePoint now) { Tick(now); });
  thread_ = std::thread([this] {
    const auto guard = asio::make_work_guard(context_);
    context_.run();
  });
}

void EntryCore::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void EntryCore::SetConfig(ConfigVersion version, const Config& config) {
  const auto current = snapshot_.load();
  if (current && current->version() >= version) {
    return;
  }
  Deliver(dispatcher_.SetConfig(config, Now()));
  snapshot_.store(std::make_shared<const ConfigSnapshot>(version, config));
  gate_.Apply(version);
  events_(Event{EventId::kConfigInForce,
                {{"version", std::to_string(version.value)}}});
}

std::shared_ptr<const ConfigSnapshot> EntryCore::Snapshot() const {
  return snapshot_.load();
}

Status EntryCore::MayStart() const {
  Error error;
  if (refusing_) {
    error = MakeError(ErrorCode::kShuttingDown, "this entry is stopping");
  } else if (const Status open = gate_.MayStart(); !open) {
    error = open.error();
  } else {
    return outcome::success();
  }
  error.verdict = Verdict::kNotRun;
  error.retry_after = kComeBack;
  return error;
}

void EntryCore::Submit(const policy::RequestInfo& request,
                       std::shared_ptr<DecisionMailbox> mailbox) {
  ++open_requests_;
  asio::post(context_, [this, request, mailbox = std::move(mailbox)] {
    mailboxes_[request.id] = mailbox;
    Deliver(dispatcher_.Submit(request, Now()));
  });
}

void EntryCore::FirstToken(const RequestId& request) {
  asio::post(context_,
             [this, request] { dispatcher_.FirstToken(request, Now()); });
}

void EntryCore::Finish(const policy::AttemptResult& result) {
  asio::post(context_, [this, result] {
    const bool last = result.end == policy::AttemptEnd::kCompleted ||
                      result.end == policy::AttemptEnd::kCallerLeft;
    if (last && mailboxes_.erase(result.request) != 0) {
      --open_requests_;
    }
    DeliverAfterTelling(dispatcher_.Finish(result, Now()));
  });
}

EntryStatusView EntryCore::View() const {
  const auto snapshot = Snapshot();
  EntryStatusView view;
  view.version = snapshot ? snapshot->version() : ConfigVersion{};
  view.open_requests = open_requests_;
  view.upstreams = upstream_count_;
  view.ready = snapshot != nullptr && MayStart();
  return view;
}

void EntryCore::UpstreamChanged(const Announcement& announcement) {
  const auto [it, added] =
      draining_.emplace(announcement.instance, announcement.draining);
  const bool drains = announcement.draining && (added || !it->second);
  it->second = announcement.draining;
  upstream_count_ = draining_.size();
  if (added || drains) {
    events_(
        Event{drains ? EventId::kUpstreamDraining : EventId::kUpstreamAnnounced,
              {{"upstream", announcement.instance.str()},
               {"failure_domain", announcement.failure_domain.str()}}});
  }
  Deliver(dispatcher_.UpstreamChanged(announcement, Now()));
}

void EntryCore::UpstreamGone(const UpstreamId& upstream) {
  draining_.erase(upstream);
  upstream_count_ = draining_.size();
  events_(Event{EventId::kUpstreamExpired, {{"upstream", upstream.str()}}});
  DeliverAfterTelling(dispatcher_.UpstreamGone(upstream, Now()));
}

void EntryCore::Tick(TimePoint now) {
  Deliver(dispatcher_.Tick(now));
  for (const Event& event : dispatcher_.TakeEvents()) {
    events_(event);
  }
}

void EntryCore::DeliverAfterTelling(Decisions decisions) {
  const std::vector<policy::Suspicion> suspicions =
      dispatcher_.TakeSuspicions();
  if (suspicions.empty() || !tell_) {
    Deliver(decisions);
    return;
  }
  tell_(suspicions,
        [this, decisions = std::move(decisions)] { Deliver(decisions); });
}

void EntryCore::Deliver(const Decisions& decisions) {
  for (const policy::Decision& decision : decisions) {
    const auto it = mailboxes_.find(RequestOf(decision));
    if (it == mailboxes_.end()) {
      continue;
    }
    const std::shared_ptr<DecisionMailbox> mailbox = it->second;
    if (std::holds_alternative<policy::Refuse>(decision)) {
      mailboxes_.erase(it);
      --open_requests_;
    }
    mailbox->Put(decision);
  }
}

}  // namespace rattanward::entry
