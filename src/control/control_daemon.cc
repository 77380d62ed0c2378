#include "rattanward/control/control_daemon.h"

#include <asio/post.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "rattanward/control/bootstrap.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

constexpr Duration kTickPeriod{std::chrono::milliseconds(20)};
constexpr Duration kHelloPeriod{std::chrono::milliseconds(1000)};
constexpr Duration kMembershipCheckPeriod{std::chrono::milliseconds(100)};
/// Between two hellos of a control VM that hands over its vote.
constexpr Duration kLeavingHelloPeriod{std::chrono::milliseconds(50)};
/// Interval of the LogTimeAdvance commands, which advance the log time even if
/// no other commands are proposed.
constexpr Duration kLogTimeAdvancePeriod{std::chrono::seconds(60)};

consensus::NodeOptions MakeNodeOptions() {
  consensus::NodeOptions options;
  options.heartbeat = std::chrono::milliseconds(80);
  options.election_timeout = std::chrono::milliseconds(500);
  options.lease = std::chrono::milliseconds(350);
  options.seed = std::random_device()();
  return options;
}

/// With twice the wanted number less one, as many voters as are wanted still
/// form a quorum.
KeeperOptions MakeKeeperOptions(std::size_t wanted_voters) {
  KeeperOptions options;
  options.wanted_voters = wanted_voters;
  options.max_voters = wanted_voters == 0 ? 0 : 2 * wanted_voters - 1;
  return options;
}

adapter::TransportOptions MakeTransport(
    const adapter::ControlSettings& settings, const std::string& secret,
    const port::EventSink& events, std::shared_ptr<port::LogicalClock> clock) {
  adapter::TransportOptions options;
  options.self = settings.identity.process;
  options.secret = secret;
  options.events = events;
  options.clock = std::move(clock);
  return options;
}

}  // namespace

ControlDaemon::ControlDaemon(asio::io_context& io,
                             adapter::ControlSettings settings,
                             const std::string& secret,
                             adapter::FileLogStorage storage,
                             port::EventSink events,
                             std::shared_ptr<port::LogicalClock> clock)
    : io_(io),
      settings_(std::move(settings)),
      events_(std::move(events)),
      transport_options_(
          MakeTransport(settings_, secret, events_, std::move(clock))),
      timers_(io),
      voters_(io, transport_options_, settings_.peer_listen,
              [this] { return MakeHello(); }),
      replica_(io, std::move(storage), MakeNodeOptions(), MakeReplicaHooks()),
      entries_(
          replica_, events_,
          [this](const protocol::EntryStatus& status) { RelayStatus(status); }),
      listener_(io, transport_options_,
                [this](const adapter::InboundMessage& message,
                       const adapter::ReplyHandle& reply) {
                  HandleMessage(message, reply);
                }),
      keeper_options_(MakeKeeperOptions(settings_.wanted_voters)),
      member_keeper_(keeper_options_) {}

ReplicaHooks ControlDaemon::MakeReplicaHooks() {
  ReplicaHooks hooks;
  hooks.send = [this](const consensus::Message& message) {
    SendConsensus(message);
  };
  hooks.on_state_change = [this] {
    ConnectToMembers();
    // Before the pushes, so that the commit event precedes theirs in the log.
    LogConfigCommit();
    entries_.OnLedgerChange();
    if (extension_ != nullptr) {
      extension_->OnStateChange();
    }
  };
  hooks.on_storage_failure = [this](const Error& error) { Fail(error); };
  hooks.events = events_;
  return hooks;
}

Status ControlDaemon::Start() {
  LogStorage();
  Status listening = listener_.Listen(settings_.peer_listen);
  if (!listening) {
    return listening;
  }
  voters_.SetSeeds(settings_.initial_voters);
  ConnectToMembers();
  timers_.Every(kTickPeriod, [this](TimePoint) {
    TryBootstrap();
    entries_.UpdateLeadership();
    replica_.Tick();
  });
  timers_.Every(kHelloPeriod, [this](TimePoint) {
    // Those that are members stay known.
    ConnectToMembers();
    voters_.SendHellos();
  });
  if (settings_.wanted_voters > 0) {
    timers_.Every(kMembershipCheckPeriod,
                  [this](TimePoint) { ReconcileMembership(); });
  }
  timers_.Every(kLogTimeAdvancePeriod, [this](TimePoint) {
    replica_.Propose(ledger::LogTimeAdvance{},
                     [](const Result<ledger::Outcome>&) {});
  });
  return outcome::success();
}

void ControlDaemon::Post(std::function<void()> step) {
  asio::post(io_, std::move(step));
}

void ControlDaemon::LeaveGroup(Duration limit, std::function<void()> done) {
  const TimePoint now = timers_.Now();
  if (hand_over_) {
    return;
  }
  if (!CanHandOver(DiscoveredVoters(), keeper_options_, now)) {
    done();
    return;
  }
  const consensus::Membership& members = replica_.node().membership();
  hand_over_.emplace(replica_.id(), consensus::IsVoter(members, replica_.id()),
                     now, limit);
  on_handed_over_ = std::move(done);
  events_({EventId::kHandOverStarted,
           {{"voter", replica_.id().str()},
            {"leads", replica_.HoldsLease() ? "1" : "0"}}});
  voters_.SendHellos();
  timers_.Every(kLeavingHelloPeriod, [this](TimePoint at) {
    if (on_handed_over_) {
      voters_.SendHellos();
      CheckHandOver(at);
    }
  });
}

void ControlDaemon::CheckHandOver(TimePoint now) {
  for (const auto& [endpoint, hello] : voters_.latest_hellos()) {
    hand_over_->RecordHello(hello, voters_.LastHelloAt(endpoint));
  }
  const consensus::Node& node = replica_.node();
  if (node.membership_committed()) {
    hand_over_->RecordCommitted(node.membership());
  }
  if (!hand_over_->Over(now)) {
    return;
  }
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - hand_over_->began());
  events_({EventId::kHandOverEnded,
           {{"voter", replica_.id().str()},
            {"released", hand_over_->released() ? "1" : "0"},
            {"took_ms", std::to_string(took.count())}}});
  std::exchange(on_handed_over_, nullptr)();
}

void ControlDaemon::Stop() {
  stopped_ = true;
  asio::post(io_, [this] {
    timers_.Stop();
    listener_.Stop();
    voters_.Stop();
    io_.stop();
  });
}

void ControlDaemon::Fail(const Error& error) {
  failure_ = error;
  stopped_ = true;
  io_.stop();
}

protocol::VoterHello ControlDaemon::MakeHello() const {
  protocol::VoterHello hello;
  hello.id = replica_.id();
  hello.process = settings_.identity.process;
  hello.peer_endpoint = settings_.peer_listen;
  hello.operator_endpoint = settings_.operator_listen;
  hello.command_kinds = ledger::kCommandKinds;
  hello.takes_declarations = extension_ != nullptr;
  hello.leaving = hand_over_.has_value();
  hello.confirms_membership =
      replica_.ConfirmedLeader() && replica_.node().membership_committed();
  if (!replica_.blank()) {
    hello.membership =
        consensus::EncodeMembership(replica_.node().membership());
  }
  return hello;
}

void ControlDaemon::HandleMessage(const adapter::InboundMessage& message,
                                  const adapter::ReplyHandle& reply) {
  switch (message.envelope.kind) {
    case protocol::MessageKind::kVoterHello:
      HandleHello(message.envelope, reply);
      break;
    case protocol::MessageKind::kConsensus:
      HandleConsensus(message.envelope);
      break;
    default:
      if (extension_ == nullptr || !extension_->HandleMessage(message, reply)) {
        entries_.HandleMessage(message, reply);
      }
  }
}

void ControlDaemon::HandleHello(const protocol::Envelope& envelope,
                                const adapter::ReplyHandle& reply) {
  const auto hello = protocol::Decode<protocol::VoterHello>(envelope.body);
  if (hello) {
    voters_.RecordHello(hello.value());
    reply.Reply(protocol::MessageKind::kVoterHello,
                protocol::Encode(MakeHello()));
  }
}

void ControlDaemon::HandleConsensus(const protocol::Envelope& envelope) {
  const auto message = consensus::DecodeMessage(envelope.body);
  if (message) {
    replica_.Receive(message.value());
  }
}

void ControlDaemon::SendConsensus(const consensus::Message& message) {
  const consensus::Member* member =
      consensus::FindMember(replica_.node().membership(), message.to);
  voters_.Send(
      message.to,
      member == nullptr ? std::nullopt : std::optional(member->endpoint),
      protocol::MessageKind::kConsensus, consensus::EncodeMessage(message));
}

void ControlDaemon::RelayStatus(const protocol::EntryStatus& status) {
  const VoterId& leader = replica_.leader();
  if (!leader.empty() && leader != replica_.id()) {
    voters_.Send(leader, replica_.leader_endpoint(),
                 protocol::MessageKind::kEntryStatus, protocol::Encode(status));
  }
}

void ControlDaemon::ConnectToMembers() {
  for (const consensus::Member& member : replica_.node().membership().members) {
    voters_.ConnectTo(member.endpoint);
  }
}

void ControlDaemon::TryBootstrap() {
  if (!replica_.blank() || !settings_.bootstrap) {
    return;
  }
  const auto membership = InitialMembership(
      MakeHello(), settings_.initial_voters, voters_.latest_hellos());
  if (!membership) {
    return;
  }
  const Status started =
      replica_.Bootstrap(consensus::InitialState(*membership));
  if (!started) {
    Fail(started.error());
  }
}

void ControlDaemon::LogConfigCommit() {
  const ConfigVersion newest = replica_.ledger().config_version();
  if (newest != logged_config_) {
    logged_config_ = newest;
    events_({EventId::kConfigCommitted,
             {{"version", std::to_string(newest.value)}}});
  }
  const ConfigVersion routes = replica_.ledger().routing().version;
  if (routes != logged_routes_) {
    logged_routes_ = routes;
    events_({EventId::kConfigCommitted,
             {{"routes", std::to_string(routes.value)}}});
  }
}

/// Tells a lost disk from a lost configuration.
void ControlDaemon::LogStorage() {
  const consensus::Node& node = replica_.node();
  logged_routes_ = replica_.ledger().routing().version;
  events_({EventId::kStorageOpened,
           {{"voter", replica_.id().str()},
            {"new", replica_.storage().created() ? "1" : "0"},
            {"blank", replica_.blank() ? "1" : "0"},
            {"term", std::to_string(node.term())},
            {"last_index", std::to_string(node.last_index())},
            {"snapshot_index", std::to_string(node.snapshot_index())},
            {"routes", std::to_string(logged_routes_.value)},
            {"cut_bytes", std::to_string(replica_.storage().cut_bytes())}}});
}

void ControlDaemon::ReconcileMembership() {
  const TimePoint now = timers_.Now();
  if (!replica_.HoldsLease()) {
    return;
  }
  const consensus::Node& node = replica_.node();
  std::vector<DiscoveredVoter> discovered = DiscoveredVoters();
  discovered.push_back(
      {replica_.id(), settings_.peer_listen, now, hand_over_.has_value()});
  const auto change = member_keeper_.Next(node.Progress(now),
                                          node.commit_index(), discovered, now);
  if (!change) {
    return;
  }
  // A rejected change is retried in the next period.
  const auto position = replica_.ChangeMembership(*change);
  if (position) {
    events_({change->kind == consensus::MembershipChange::Kind::kRemove
                 ? EventId::kVoterRemoved
                 : EventId::kVoterAdded,
             {{"voter", change->id.str()},
              {"endpoint", ToString(change->endpoint)},
              {"index", std::to_string(position.value().index)}}});
  }
}

std::vector<DiscoveredVoter> ControlDaemon::DiscoveredVoters() const {
  std::vector<DiscoveredVoter> discovered;
  for (const auto& [endpoint, hello] : voters_.latest_hellos()) {
    discovered.push_back(
        {hello.id, endpoint, voters_.LastHelloAt(endpoint), hello.leaving});
  }
  return discovered;
}

const protocol::VoterHello* ControlDaemon::FindVoter(
    const Endpoint& endpoint) const {
  return voters_.FindAt(endpoint);
}

std::string ControlDaemon::LeaderOperatorEndpoint() const {
  const VoterId& leader = replica_.leader();
  if (leader.empty() || leader == replica_.id()) {
    return std::string();
  }
  const protocol::VoterHello* hello = voters_.Find(leader);
  return hello == nullptr ? std::string() : ToString(hello->operator_endpoint);
}

}  // namespace rattanward::control
