#include "rattanward/entry/entry_core.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace rattanward::entry {
namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(5);

const RequestId& RequestOf(const policy::Decision& decision) {
  return std::visit(
      [](const auto& value) -> const RequestId& { return value.request; },
      decision);
}

}  // namespace

EntryCore::EntryCore(policy::DispatcherOptions options, port::EventSink events)
    : dispatcher_(std::move(options)), events_(std::move(events)) {}

EntryCore::~EntryCore() { Stop(); }

void EntryCore::Start() {
  ScheduleTick();
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

TimePoint EntryCore::Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void EntryCore::SetConfig(ConfigVersion version, const Config& config) {
  asio::post(context_, [this, version, config] {
    const auto current = snapshot_.load();
    if (current && current->version() >= version) {
      return;
    }
    snapshot_.store(std::make_shared<const ConfigSnapshot>(version, config));
    Deliver(dispatcher_.SetConfig(config, Now()));
    events_(Event{EventId::kConfigInForce,
                  {{"version", std::to_string(version.value)}}});
  });
}

std::shared_ptr<const ConfigSnapshot> EntryCore::Snapshot() const {
  return snapshot_.load();
}

void EntryCore::Announce(const Announcement& announcement) {
  asio::post(context_,
             [this, announcement] { ApplyAnnouncement(announcement); });
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
    Deliver(dispatcher_.Finish(result, Now()));
  });
}

EntryStatusView EntryCore::Status() const {
  const auto snapshot = Snapshot();
  EntryStatusView view;
  view.version = snapshot ? snapshot->version() : ConfigVersion{};
  view.open_requests = open_requests_;
  view.upstreams = upstream_count_;
  view.ready = snapshot != nullptr && !refusing_;
  return view;
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

void EntryCore::ScheduleTick() {
  const auto timer = std::make_shared<asio::steady_timer>(context_);
  timer->expires_after(kTickPeriod);
  timer->async_wait([this, timer](const std::error_code& error) {
    if (!error) {
      Tick();
      ScheduleTick();
    }
  });
}

void EntryCore::Tick() {
  ExpireUpstreams();
  Deliver(dispatcher_.Tick(Now()));
}

void EntryCore::ApplyAnnouncement(const Announcement& announcement) {
  KnownUpstream& known = upstreams_[announcement.instance];
  if (announcement.sequence <= known.announcement.sequence) {
    return;
  }
  known = KnownUpstream{announcement, Now()};
  upstream_count_ = upstreams_.size();
  Deliver(dispatcher_.UpstreamChanged(announcement, Now()));
}

void EntryCore::ExpireUpstreams() {
  const auto snapshot = Snapshot();
  const Duration expiry = snapshot ? snapshot->config().limits.upstream_expiry
                                   : Limits{}.upstream_expiry;
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    if (Now() - it->second.heard <= expiry) {
      ++it;
      continue;
    }
    const UpstreamId gone = it->first;
    it = upstreams_.erase(it);
    upstream_count_ = upstreams_.size();
    Deliver(dispatcher_.UpstreamGone(gone, Now()));
  }
}

}  // namespace rattanward::entry
