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
constexpr std::uint32_t kFarTurns = 4;

/// Datagrams that tell of the same placement; some are lost.
constexpr int kPlacedTells = 3;
constexpr Duration kStopCheckPeriod{std::chrono::milliseconds(100)};
/// The balancer asks once a second and needs two misses.
constexpr Duration kBalancerNotices{std::chrono::milliseconds(2800)};
/// Kept free before the end of the grace time.
constexpr Duration kStopMargin{std::chrono::milliseconds(200)};
constexpr std::size_t kReadyConnections = 64;
constexpr std::size_t kReadyBodyBytes = 64U << 10U;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

std::uint64_t Incarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          MonotonicNow().time_since_epoch())
          .count());
}

adapter::TransportOptions Transport(const EntryNodeOptions& options,
                                    const port::EventSink& events) {
  adapter::TransportOptions transport;
  transport.self = options.proxy.process;
  transport.secret = options.secret;
  transport.events = events;
  return transport;
}

protocol::EntryReport Self(const EntryNodeOptions& options) {
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
                link_.Report();
              },
              events_}),
      link_(io, Transport(options_, events_), Self(options_), LinkHooks()),
      loads_(io, options_.secret,
             [this](const policy::EntryLoad& load) { proxy_.TakeLoad(load); }),
      ready_server_(
          io, {kReadyConnections, kReadyBodyBytes},
          [this](const std::shared_ptr<http::ServerConnection>& connection,
                 const http::ServerRequest& request) {
            AnswerReady(connection, request);
          }) {}

ControlLinkHooks EntryNode::LinkHooks() {
  ControlLinkHooks hooks;
  hooks.routing = [this](const protocol::RoutingPush& push) {
    TakeRouting(push);
  };
  hooks.instances =
      [this](const std::vector<membership::InstanceRecord>& records) {
        proxy_.TakeInstances(records);
      };
  hooks.crashes = [this](const std::vector<protocol::CrashWitness>& witnesses) {
    proxy_.TakeCrashes(witnesses);
  };
  hooks.confirmed = [this](TimePoint sent, ConfigVersion committed) {
    proxy_.Confirm(sent, committed);
  };
  hooks.entries = [this](const protocol::ControlReport& report) {
    TakeEntries(report);
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
  for (const Endpoint& endpoint : options_.control) {
    link_.Contact(endpoint);
  }
  timers_.Every(kReportPeriod, [this](TimePoint) { link_.Report(); });
  TellLoad();
  return outcome::success();
}

/// With more entries, each tells less often: what one receives stays the same.
/// Other failure domains are told less often: bytes to them cost more.
void EntryNode::TellLoad() {
  loads_.Tell(proxy_.OwnLoad(kPlacedTells * load_period_), near_peers_);
  if (++load_turn_ % kFarTurns == 0) {
    const Duration three_turns = kPlacedTells * kFarTurns * load_period_;
    policy::EntryLoad load = proxy_.OwnLoad(three_turns);
    load.valid_for = std::max(load.valid_for, three_turns);
    loads_.Tell(load, far_peers_);
    loads_.TellThrough(load, relays_);
  }
  timers_.After(load_period_, [this](TimePoint) { TellLoad(); });
}

void EntryNode::TakeRouting(const protocol::RoutingPush& push) {
  if (push.version <= proxy_.routing_version()) {
    return;
  }
  const Result<std::string> text = TextOf(push);
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

/// Errors: kMalformedMessage for a difference from another version than the one
/// held; control sees by the reports that it had no effect.
Result<std::string> EntryNode::TextOf(const protocol::RoutingPush& push) const {
  if (push.base == ConfigVersion{}) {
    return push.text;
  }
  if (push.base != proxy_.routing_version()) {
    return MakeError(
        ErrorCode::kMalformedMessage,
        "a difference from version " + std::to_string(push.base.value));
  }
  return Apply(push.difference, routing_text_);
}

void EntryNode::RejectRouting(ConfigVersion version, const Error& error) {
  events_({EventId::kRoutesNotTaken,
           {{"routes", std::to_string(version.value)},
            {"runs", std::to_string(proxy_.routing_version().value)},
            {"reason", error.message}}});
}

void EntryNode::TakeEntries(const protocol::ControlReport& report) {
  near_peers_.clear();
  far_peers_.clear();
  std::size_t near = 0;
  for (const protocol::EntryPeer& entry : report.entries) {
    const bool is_near = entry.failure_domain == options_.proxy.failure_domain;
    near += is_near ? 1 : 0;
    if (entry.endpoint != options_.peer_listen && entry.endpoint.port != 0) {
      (is_near ? near_peers_ : far_peers_).insert(entry.endpoint);
    }
  }
  load_period_ =
      std::max(kMinLoadPeriod,
               kLoadPeriodPerPeer * static_cast<int>(near_peers_.size()));
  relays_ = {report.relays.begin(), report.relays.end()};
  loads_.SetNear(near_peers_);
  proxy_.SetEntries(report.entry_count, near);
}

std::string EntryNode::ScrapeText() const {
  return proxy_.ScrapeText() +
         ScrapeLine("controls_connected", link_.connected()) +
         ScrapeLine("loads_relayed_total", loads_.relayed()) +
         ScrapeLine("loads_unsent_total", loads_.unsent()) +
         ScrapeLine("loads_refused_total", loads_.refused());
}

void EntryNode::AnswerReady(
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
  if (stopped_) {
    return;
  }
  stopped_ = std::move(done);
  stop_ordered_ = MonotonicNow();
  events_({EventId::kShutdownStarted,
           {{"open", std::to_string(proxy_.open_requests())}}});
  proxy_.BeginShutdown();
  timers_.Every(kStopCheckPeriod, [this](TimePoint) { CheckStopped(); });
}

void EntryNode::CheckStopped() {
  const Duration since = MonotonicNow() - stop_ordered_;
  if (since >= kBalancerNotices && !closed_idle_) {
    closed_idle_ = true;
    proxy_.CloseIdle();
  }
  const bool all_done =
      closed_idle_ && proxy_.idle() && proxy_.connections() == 0;
  if (all_done || since >= options_.grace - kStopMargin) {
    timers_.Stop();
    stopped_();
  }
}

}  // namespace rattanward::proxy
