#include "rattanward/proxy/entry_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

constexpr Duration kReportPeriod{std::chrono::milliseconds(400)};
constexpr Duration kMinLoadPeriod{std::chrono::milliseconds(30)};
constexpr Duration kLoadPeriodPerPeer{std::chrono::milliseconds(10)};
constexpr std::uint32_t kRoundsPerRemoteSend = 4;

/// Each placement is sent this many times, because datagrams can be lost.
constexpr int kSendsPerPlacement = 3;
/// In larger fleets, only the own failure domain is told at once. Otherwise
/// the datagrams that an entry receives would grow with the whole fleet.
constexpr std::size_t kMaxEntriesToldAtOnce = 40;
/// Sends within this time are told together.
constexpr Duration kUrgentLoadDelay{std::chrono::milliseconds(2)};
constexpr Duration kShutdownCheckPeriod{std::chrono::milliseconds(50)};
/// The balancer checks once a second and removes an entry after two failures.
constexpr Duration kBalancerDetectionTime{std::chrono::milliseconds(2800)};
constexpr std::size_t kMaxReadyConnections = 64;
constexpr std::size_t kMaxReadyBodyBytes = 64U << 10U;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

std::uint64_t Incarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          MonotonicNow().time_since_epoch())
          .count());
}

adapter::TransportOptions MakeTransportOptions(const EntryNodeOptions& options,
                                               const port::EventSink& events) {
  adapter::TransportOptions transport;
  transport.self = options.proxy.process;
  transport.secret = options.secret;
  transport.events = events;
  return transport;
}

protocol::EntryReport MakeSelfReport(const EntryNodeOptions& options) {
  protocol::EntryReport report;
  report.process = options.proxy.process;
  report.failure_domain = options.proxy.failure_domain;
  report.incarnation = Incarnation();
  report.peer_endpoint = options.peer_listen;
  return report;
}

}  // namespace

EntryNode::EntryNode(asio::io_context& io, EntryNodeOptions options,
                     const Dialect& dialect, port::EventSink events)
    : options_(std::move(options)),
      events_(std::move(events)),
      timers_(io),
      proxy_(io, options_.proxy, dialect,
             {[this](const protocol::CrashWitness& witness) {
                link_.AddWitness(witness);
                link_.SendReports();
              },
              [this](const std::vector<protocol::CrashWitness>& cleared) {
                link_.AddCleared(cleared);
                link_.SendReports();
              },
              [this](const std::vector<policy::PartSuspicion>& suspicions) {
                link_.AddSuspicions(suspicions);
              },
              [this](const membership::InstanceStart& upstream) {
                link_.AddLeaving(upstream);
                link_.SendReports();
              },
              [this](const UpstreamLimit& limit) {
                link_.AddLimit(limit);
                link_.SendReports();
              },
              [this] { ScheduleUrgentLoad(); }, events_}),
      link_(io, MakeTransportOptions(options_, events_),
            MakeSelfReport(options_), LinkHooks()),
      loads_(io, options_.secret,
             [this](const policy::EntryLoad& load) {
               proxy_.UpdatePeerLoad(load);
             }),
      ready_server_(
          io, {kMaxReadyConnections, kMaxReadyBodyBytes},
          [this](const std::shared_ptr<http::ServerConnection>& connection,
                 const http::ServerRequest& request) {
            HandleReadyRequest(connection, request);
          }) {}

ControlLinkHooks EntryNode::LinkHooks() {
  ControlLinkHooks hooks;
  hooks.routing = [this](const protocol::RoutingPush& push) {
    HandleRoutingPush(push);
  };
  hooks.instances =
      [this](const std::vector<membership::InstanceRecord>& records) {
        proxy_.UpdateInstances(records);
      };
  hooks.departed = [this](const std::vector<UpstreamId>& ids) {
    for (const membership::InstanceStart& start : proxy_.RecordDeparted(ids)) {
      link_.AddLeaving(start);
    }
  };
  hooks.crashes = [this](const protocol::CrashesTold& told) {
    proxy_.RecordCleared(told.cleared);
    proxy_.RecordCrashes(told.witnesses);
    proxy_.MergeSuspicions(told.suspicions);
  };
  hooks.known_crashes = [this] { return proxy_.KnownCrashes(); };
  hooks.suspicions = [this] { return proxy_.Suspicions(); };
  hooks.limits = [this] { return proxy_.Limits(); };
  hooks.demand = [this] { return proxy_.Demand(); };
  hooks.room_share = [this](TimePoint sent, const policy::RoomShare& share) {
    proxy_.SetRoomShare(share, sent);
  };
  hooks.limit_shares = [this](TimePoint sent,
                              const std::vector<policy::LimitShare>& shares) {
    proxy_.SetLimitShares(shares, sent);
  };
  hooks.confirmed = [this](TimePoint sent, ConfigVersion committed,
                           Duration history) {
    proxy_.ConfirmRouting(sent, committed, history);
  };
  hooks.entries = [this](const protocol::ControlReport& report) {
    HandleControlReport(report);
  };
  hooks.usage = [this] { return proxy_.usage().Open(MonotonicNow()); };
  hooks.answered = [this](const Endpoint& control, TimePoint sent,
                          const protocol::ControlReport& report) {
    proxy_.usage().OnControlReport(control, sent, MonotonicNow(), report);
  };
  hooks.events = events_;
  return hooks;
}

Status EntryNode::Start() {
  Status started = proxy_.Start();
  if (started) {
    started = ready_server_.Listen(options_.ready);
  }
  if (started) {
    started = loads_.Start(options_.peer_listen);
  }
  if (!started) {
    return started;
  }
  link_.SetSeeds(options_.control);
  timers_.Every(kReportPeriod, [this](TimePoint) { link_.SendReports(); });
  PublishLoad();
  return outcome::success();
}

/// The period grows with the number of entries, so that the rate at which an
/// entry receives reports stays constant. Entries in other failure domains
/// receive reports less often, because traffic between domains costs more.
void EntryNode::PublishLoad() {
  loads_.SendLoad(proxy_.OwnLoad(kSendsPerPlacement * load_period_),
                  local_peers_);
  if (++load_round_ % kRoundsPerRemoteSend == 0) {
    const Duration remote_window =
        kSendsPerPlacement * kRoundsPerRemoteSend * load_period_;
    policy::EntryLoad load = proxy_.OwnLoad(remote_window);
    load.valid_for = std::max(load.valid_for, remote_window);
    loads_.SendLoad(load, remote_peers_);
    loads_.SendViaRelays(load, relays_);
  }
  timers_.After(load_period_, [this](TimePoint) { PublishLoad(); });
}

/// Other entries would choose the same engine until the next periodic report.
void EntryNode::ScheduleUrgentLoad() {
  if (urgent_load_scheduled_) {
    return;
  }
  urgent_load_scheduled_ = true;
  timers_.After(kUrgentLoadDelay, [this](TimePoint) {
    urgent_load_scheduled_ = false;
    const policy::EntryLoad load = proxy_.TakeUrgentLoad();
    loads_.SendLoad(load, local_peers_);
    loads_.SendLoad(load, remote_peers_);
    // A caller may take a stream up anywhere.
    if (entry_count_ <= kMaxEntriesToldAtOnce || !load.streams.empty()) {
      loads_.SendViaRelays(load, relays_);
    }
  });
}

void EntryNode::HandleRoutingPush(const protocol::RoutingPush& push) {
  if (push.version <= proxy_.routing_version()) {
    return;
  }
  const Result<std::string> text = RoutingText(push);
  if (!text) {
    RejectRouting(push.version, text.error());
    return;
  }
  auto declaration = options_.decode_routing(text.value());
  if (!declaration) {
    RejectRouting(push.version, declaration.error());
    return;
  }
  routing_text_ = text.value();
  proxy_.SetRouting(
      std::make_shared<const RoutingTable>(std::move(declaration.value())));
  link_.SetRouting(proxy_.routing_version());
}

/// Errors: kMalformedMessage if the push is a difference from a version other
/// than the current one. Control notices from the entry's reports that the push
/// was not applied.
Result<std::string> EntryNode::RoutingText(
    const protocol::RoutingPush& push) const {
  if (push.base == ConfigVersion{}) {
    return push.text;
  }
  if (push.base != proxy_.routing_version()) {
    return MakeError(
        ErrorCode::kMalformedMessage,
        "routing push is based on a version that is not current: " +
            std::to_string(push.base.value));
  }
  return Apply(push.difference, routing_text_);
}

void EntryNode::RejectRouting(ConfigVersion version, const Error& error) {
  events_({EventId::kRoutesNotTaken,
           {{"routes", std::to_string(version.value)},
            {"runs", std::to_string(proxy_.routing_version().value)},
            {"reason", error.message}}});
}

void EntryNode::HandleControlReport(const protocol::ControlReport& report) {
  local_peers_.clear();
  remote_peers_.clear();
  for (const protocol::EntryPeer& entry : report.entries) {
    const bool is_local = entry.failure_domain == options_.proxy.failure_domain;
    if (entry.endpoint != options_.peer_listen && entry.endpoint.port != 0) {
      (is_local ? local_peers_ : remote_peers_).insert(entry.endpoint);
    }
  }
  load_period_ =
      std::max(kMinLoadPeriod,
               kLoadPeriodPerPeer * static_cast<int>(local_peers_.size()));
  relays_ = {report.relays.begin(), report.relays.end()};
  std::set<Endpoint> remote = remote_peers_;
  remote.insert(relays_.begin(), relays_.end());
  proxy_.AddRelayPeers(local_peers_, remote);
  loads_.SetRelayTargets(local_peers_);
  entry_count_ = report.entry_count;
  proxy_.SetEntries(report.entry_count);
  proxy_.SetReportPeriod(load_period_);
}

std::string EntryNode::ScrapeText() const {
  return proxy_.ScrapeText() + proxy_.usage().ScrapeText() +
         ScrapeLine("controls_connected", link_.connected()) +
         ScrapeLine("loads_relayed_total", loads_.relayed()) +
         ScrapeLine("loads_unsent_total", loads_.send_failures()) +
         ScrapeLine("loads_refused_total", loads_.rejected());
}

void EntryNode::HandleReadyRequest(
    const std::shared_ptr<http::ServerConnection>& connection,
    const http::ServerRequest& request) {
  http::ResponseHead head;
  if (request.head.target != options_.ready_path) {
    head.status = kNotFound;
    connection->Respond(std::move(head), "");
    return;
  }
  const bool ready = proxy_.Ready();
  if (ready != was_ready_) {
    was_ready_ = ready;
    events_({ready ? EventId::kProcessReady : EventId::kEntryIsolated,
             {{"routes", std::to_string(proxy_.routing_version().value)},
              {"controls", std::to_string(link_.connected())},
              {"upstreams", std::to_string(proxy_.upstreams())}}});
  }
  head.status = ready ? kOk : kUnavailable;
  connection->Respond(std::move(head), "");
}

void EntryNode::Shutdown(std::function<void()> done) {
  if (on_stopped_) {
    return;
  }
  on_stopped_ = std::move(done);
  policy::StopTimes times;
  times.notice = kBalancerDetectionTime;
  times.grace = options_.grace;
  stop_plan_ = policy::StopPlan(MonotonicNow(), times);
  events_({EventId::kShutdownStarted,
           {{"open", std::to_string(proxy_.open_requests())}}});
  proxy_.BeginShutdown(*stop_plan_);
  timers_.Every(kShutdownCheckPeriod,
                [this](TimePoint now) { CheckStopped(now); });
}

void EntryNode::CheckStopped(TimePoint now) {
  if (!stop_plan_->Takes(now) && !closed_idle_) {
    closed_idle_ = true;
    proxy_.CloseIdle();
  }
  if (now >= stop_plan_->answers_at()) {
    proxy_.EndOpen();
  }
  const bool all_done =
      closed_idle_ && proxy_.idle() && proxy_.connections() == 0;
  if (all_done && !closed_listeners_) {
    closed_listeners_ = true;
    proxy_.StopListening();
    return;
  }
  if (all_done || now >= stop_plan_->ends_at()) {
    // The event loop may have stood still since before the final answers.
    proxy_.EndOpenNow();
    timers_.Stop();
    on_stopped_();
  }
}

}  // namespace rattanward::proxy
