#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "rattanward/adapter/control_client.h"
#include "rattanward/adapter/gossip_runner.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using membership::GateState;
using protocol::MessageKind;

constexpr Duration kTestLimit{std::chrono::seconds(20)};

bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const TimePoint end = MonotonicNow() + kTestLimit;
  while (!done() && MonotonicNow() < end) {
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return done();
}

TransportOptions Transport(const std::string& self) {
  TransportOptions options;
  options.self = ProcessId(self);
  options.secret = "secret";
  return options;
}

/// A control VM by hand: a leader, or a follower that names the leader.
class FakeControl {
 public:
  explicit FakeControl(asio::io_context& io)
      : listener_(io, Transport("control"),
                  [this](const InboundMessage& m, const ReplyHandle& reply) {
                    Take(m, reply);
                  }) {
    REQUIRE(listener_.Listen({"127.0.0.1", 0}).has_value());
  }

  Endpoint endpoint() const { return listener_.endpoint(); }

  bool leader = true;
  bool answers = true;
  std::string leader_endpoint;
  ConfigVersion committed;
  std::vector<std::string> commands;

 private:
  void Take(const InboundMessage& message, const ReplyHandle& reply) {
    const std::string& body = message.envelope.body;
    if (message.envelope.kind == MessageKind::kEntryStatus) {
      const auto status = protocol::Decode<protocol::EntryStatus>(body);
      reply.Reply(
          MessageKind::kControlStatus,
          protocol::Encode(protocol::ControlStatus{
              leader, 1, "", committed, status.value().heartbeat, committed}));
    } else if (message.envelope.kind == MessageKind::kConfigFetch) {
      reply.Reply(MessageKind::kConfigPush,
                  protocol::Encode(protocol::ConfigPush{committed, "text"}));
    } else if (message.envelope.kind == MessageKind::kPropose && answers) {
      Answer(protocol::Decode<protocol::Propose>(body).value(), reply);
    }
  }

  void Answer(const protocol::Propose& propose, const ReplyHandle& reply) {
    protocol::ProposeAnswer answer;
    if (leader) {
      commands.push_back(propose.command);
      answer.outcome = "outcome";
    } else {
      answer.error = static_cast<int>(ErrorCode::kNotLeader);
      answer.leader_endpoint = leader_endpoint;
    }
    reply.Reply(MessageKind::kProposeAnswer, protocol::Encode(answer));
  }

  MessageListener listener_;
};

/// An entry's connections, with a configuration that is put in force at once.
class Entry {
 public:
  Entry(asio::io_context& io, const std::string& name,
        std::vector<Endpoint> control)
      : io_(io),
        name_(name),
        gate({{}, FailureDomain("zone"), 2}),
        control_(
            io, Options(std::move(control)), gate,
            {[this](const protocol::ConfigPush& push) { Apply(push); }, {}}),
        listener_(io, Transport(name),
                  [this](const InboundMessage& m, const ReplyHandle& reply) {
                    CHECK(gossip->Take(m, reply));
                  }) {
    REQUIRE(listener_.Listen({"127.0.0.1", 0}).has_value());
  }

  void Start(std::vector<Endpoint> peers) {
    GossipRunnerOptions options;
    options.transport = Transport(name_);
    options.peers = std::move(peers);
    options.gossip.self = ProcessId(name_);
    options.gossip.failure_domain = FailureDomain("zone");
    gossip = std::make_unique<GossipRunner>(
        io_, options, gate,
        GossipHandlers{
            [this](const membership::GossipEvent& e) { events.push_back(e); },
            [this](const protocol::ConfigPush& push) { Apply(push); },
            [this] { return config; }});
    gossip->Start();
    control_.Start();
  }

  bool Logged(EventId id) const {
    return std::any_of(log.begin(), log.end(),
                       [&](const Event& event) { return event.id == id; });
  }

  Endpoint endpoint() const { return listener_.endpoint(); }
  ControlClient& control() { return control_; }

 private:
  void Apply(const protocol::ConfigPush& push) {
    config = push;
    gate.Apply(push.version);
  }

  asio::io_context& io_;
  std::string name_;

 public:
  SharedConfigGate gate;
  protocol::ConfigPush config;
  std::vector<membership::GossipEvent> events;
  std::vector<Event> log;
  std::unique_ptr<GossipRunner> gossip;

 private:
  ControlClientOptions Options(std::vector<Endpoint> control) {
    ControlClientOptions options;
    options.transport = Transport(name_);
    options.transport.events = [this](const Event& e) { log.push_back(e); };
    options.control = std::move(control);
    options.process = ProcessId(name_);
    options.failure_domain = FailureDomain("zone");
    options.incarnation = 1;
    return options;
  }

  ControlClient control_;
  MessageListener listener_;
};

TEST_CASE("an entry gets its configuration and a confirmation from control") {
  asio::io_context io;
  FakeControl control(io);
  control.committed = ConfigVersion{4};
  Entry entry(io, "entry-1", {control.endpoint()});
  CHECK(entry.gate.MayStart().error().code == ErrorCode::kNoConfiguration);
  entry.Start({});
  REQUIRE(RunUntil(io, [&] { return entry.gate.MayStart().has_value(); }));
  CHECK(entry.gate.in_force() == ConfigVersion{4});
  control.leader = false;
  CHECK(
      RunUntil(io, [&] { return entry.gate.State() == GateState::kIsolated; }));
  CHECK(RunUntil(io, [&] { return entry.Logged(EventId::kEntryIsolated); }));
  control.leader = true;
  CHECK(RunUntil(io, [&] { return entry.gate.MayStart().has_value(); }));
  CHECK(RunUntil(io, [&] { return entry.Logged(EventId::kEntryRejoined); }));
}

/// Calls Propose on another thread while the io_context runs.
Result<std::string> Propose(asio::io_context& io, Entry& entry,
                            Duration timeout) {
  std::optional<Result<std::string>> outcome;
  std::atomic<bool> done{false};
  std::thread caller([&] {
    outcome = entry.control().Propose("command", timeout);
    done = true;
  });
  RunUntil(io, [&] { return done.load(); });
  caller.join();
  return *outcome;
}

TEST_CASE("a proposal finds the leader that a follower names") {
  asio::io_context io;
  FakeControl follower(io);
  FakeControl leader(io);
  follower.leader = false;
  follower.leader_endpoint = ToString(leader.endpoint());
  Entry entry(io, "entry-1", {follower.endpoint(), leader.endpoint()});
  entry.Start({});
  CHECK(Propose(io, entry, std::chrono::seconds(5)).value() == "outcome");
  CHECK(leader.commands.size() == 1);
}

TEST_CASE("without a leader a proposal was surely not committed") {
  asio::io_context io;
  FakeControl follower(io);
  follower.leader = false;
  Entry entry(io, "entry-1", {follower.endpoint(), {"127.0.0.1", 1}});
  entry.Start({});
  const auto outcome = Propose(io, entry, std::chrono::milliseconds(400));
  CHECK(outcome.error().code == ErrorCode::kNoQuorum);
}

TEST_CASE("a proposal that was sent and not answered may be committed") {
  asio::io_context io;
  FakeControl leader(io);
  leader.answers = false;
  Entry entry(io, "entry-1", {leader.endpoint()});
  entry.Start({});
  const auto outcome = Propose(io, entry, std::chrono::milliseconds(800));
  CHECK(outcome.error().code == ErrorCode::kOutcomeUnknown);
}

TEST_CASE("entries tell each other announcements and configurations") {
  asio::io_context io;
  FakeControl control(io);
  control.committed = ConfigVersion{2};
  Entry first(io, "entry-1", {control.endpoint()});
  Entry second(io, "entry-2", {});
  first.Start({second.endpoint()});
  second.Start({first.endpoint()});
  Announcement announcement;
  announcement.instance = UpstreamId("u1");
  announcement.sequence = 1;
  first.gossip->Announce(announcement);
  CHECK(RunUntil(io, [&] {
    return second.gossip->gossip().directory().Find(UpstreamId("u1")) !=
           nullptr;
  }));
  CHECK(
      RunUntil(io, [&] { return second.gate.in_force() == ConfigVersion{2}; }));
}

}  // namespace
}  // namespace rattanward::adapter
