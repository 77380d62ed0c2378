#include <doctest/doctest.h>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fakes/silent_proxy.h"
#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using protocol::Envelope;
using protocol::MessageKind;

constexpr Duration kTestLimit{std::chrono::seconds(10)};
constexpr Duration kCallTimeout{std::chrono::seconds(5)};

TransportOptions Options(const std::string& self, const std::string& secret) {
  TransportOptions options;
  options.self = ProcessId(self);
  options.secret = secret;
  return options;
}

/// Runs the io_context until the condition holds or the limit is over.
bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const TimePoint end = MonotonicNow() + kTestLimit;
  while (!done() && MonotonicNow() < end) {
    io.run_one_for(std::chrono::milliseconds(100));
  }
  return done();
}

/// A listener that answers each call with its own body.
struct EchoListener {
  explicit EchoListener(asio::io_context& io, TransportOptions options)
      : listener(io, std::move(options),
                 [this](const InboundMessage& m, const ReplyHandle& reply) {
                   inbound.push_back(m);
                   reply.Reply(m.envelope.kind, m.envelope.body);
                 }) {
    REQUIRE(listener.Listen({"127.0.0.1", 0}).has_value());
  }
  std::vector<InboundMessage> inbound;
  MessageListener listener;
};

TEST_CASE("a call is answered and a one-way message arrives") {
  asio::io_context io;
  EchoListener echo(io, Options("control-1", "secret"));
  PeerClient client(io, Options("entry-1", "secret"), echo.listener.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  std::optional<Result<Envelope>> answer;
  client.Send({1, MessageKind::kGossip, 0, "one-way"});
  client.Call({1, MessageKind::kPropose, 0, "body"}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(answer->value().body == "body");
  REQUIRE(echo.inbound.size() == 2);
  CHECK(echo.inbound[0].from == ProcessId("entry-1"));
  CHECK(echo.inbound[0].envelope.body == "one-way");
}

TEST_CASE("a message moves its receiver's logical clock past the sender's") {
  asio::io_context io;
  TransportOptions listener = Options("control-1", "secret");
  TransportOptions caller = Options("entry-1", "secret");
  listener.clock = std::make_shared<port::LogicalClock>();
  caller.clock = std::make_shared<port::LogicalClock>();
  caller.clock->Merge(700);
  EchoListener echo(io, listener);
  PeerClient client(io, caller, echo.listener.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, "body"}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(listener.clock->Now() >= 702);
  CHECK(caller.clock->Now() >= listener.clock->Now());
}

TEST_CASE("a process with another secret is refused") {
  asio::io_context io;
  std::vector<Event> events;
  EchoListener echo(io, Options("control-1", "secret"));
  TransportOptions options = Options("entry-1", "other");
  options.events = [&](const Event& event) { events.push_back(event); };
  PeerClient client(io, options, echo.listener.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return !events.empty(); }));
  CHECK(events[0].id == EventId::kPeerRefused);
  CHECK_FALSE(client.connected());
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, "body"}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(answer->error().code == ErrorCode::kDisconnected);
  CHECK(answer->error().verdict == Verdict::kNotRun);
  CHECK(echo.inbound.empty());
}

/// Sends raw bytes and reports whether the listener closes the connection.
bool ClosesOn(asio::io_context& io, const Endpoint& endpoint,
              const std::string& bytes) {
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  asio::write(socket, asio::buffer(bytes));
  bool closed = false;
  std::vector<char> sink(4096);
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(sink),
                           [&](const asio::error_code& e, std::size_t) {
                             closed = static_cast<bool>(e);
                             if (!e) {
                               read();
                             }
                           });
  };
  read();
  const bool result = RunUntil(io, [&] { return closed; });
  socket.close();
  RunUntil(io, [&] { return closed; });
  return result;
}

std::string Frame(const std::string& payload) {
  return std::string{'\0', '\0', static_cast<char>(payload.size() >> 8U),
                     static_cast<char>(payload.size() & 0xFFU)} +
         payload;
}

TEST_CASE("garbage, oversized frames and wrong proofs close the connection") {
  asio::io_context io;
  std::vector<Event> events;
  TransportOptions options = Options("control-1", "secret");
  options.events = [&](const Event& event) { events.push_back(event); };
  EchoListener echo(io, options);
  const Endpoint endpoint = echo.listener.endpoint();
  const std::string hello = protocol::Encode(
      protocol::Hello{protocol::kProtocolVersion, ProcessId("x"), "nonce"});
  const std::string wrong =
      protocol::Encode(protocol::ChallengeAnswer{std::string(32, 'x')});
  CHECK(ClosesOn(io, endpoint, "GET / HTTP/1.1\r\n\r\n"));
  CHECK(ClosesOn(io, endpoint, std::string("\x00\x00\xff\xff", 4)));
  CHECK(ClosesOn(io, endpoint, Frame("garbage")));
  CHECK(ClosesOn(io, endpoint, Frame(hello) + Frame(wrong)));
  CHECK(ClosesOn(io, endpoint, Frame(hello).substr(0, 5)));
  CHECK(echo.inbound.empty());
  REQUIRE(events.size() == 5);
  for (const Event& event : events) {
    CHECK(event.id == EventId::kPeerRefused);
  }
}

TEST_CASE("a message above the limit is not sent") {
  asio::io_context io;
  EchoListener echo(io, Options("control-1", "secret"));
  TransportOptions options = Options("entry-1", "secret");
  options.max_frame_bytes = 1000;
  PeerClient client(io, options, echo.listener.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, std::string(2000, 'x')},
              kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(answer->error().verdict == Verdict::kNotRun);
  CHECK(echo.inbound.empty());
}

TEST_CASE("a large message arrives whole") {
  asio::io_context io;
  EchoListener echo(io, Options("control-1", "secret"));
  PeerClient client(io, Options("entry-1", "secret"), echo.listener.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  const std::string body(3U << 20U, 'x');
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, body}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(answer->value().body == body);
}

TEST_CASE("a lost connection fails the call as may have run, and comes back") {
  asio::io_context io;
  std::optional<EchoListener> echo(std::in_place, io,
                                   Options("control-1", "secret"));
  const Endpoint endpoint = echo->listener.endpoint();
  PeerClient client(io, Options("entry-1", "secret"), endpoint);
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, "body"}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  RunUntil(io, [&] { return true; });
  echo->listener.Stop();
  REQUIRE(RunUntil(io, [&] { return !client.connected(); }));
  MessageListener again(io, Options("control-1", "secret"),
                        [](auto&, auto&) {});
  REQUIRE(again.Listen(endpoint).has_value());
  CHECK(RunUntil(io, [&] { return client.connected(); }));
}

/// Swallows bytes of an open connection, and waits until both ends have
/// noticed and a new connection works.
void CheckSilenceIsNoticed(fakes::Swallowed swallowed) {
  asio::io_context io;
  std::vector<Event> events;
  EchoListener echo(io, Options("control-1", "secret"));
  fakes::SilentProxy proxy(io, {"127.0.0.1", 0}, echo.listener.endpoint());
  TransportOptions options = Options("entry-1", "secret");
  options.events = [&](const Event& event) { events.push_back(event); };
  PeerClient client(io, options, proxy.endpoint());
  client.Start();
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  proxy.Silence(swallowed);
  std::optional<Result<Envelope>> lost;
  client.Call({1, MessageKind::kPropose, 0, "swallowed"}, kTestLimit,
              [&](Result<Envelope> result) { lost = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return lost.has_value(); }));
  CHECK(lost->error().code == ErrorCode::kDisconnected);
  CHECK(lost->error().verdict == Verdict::kMayHaveRun);
  REQUIRE(RunUntil(io, [&] { return client.connected(); }));
  std::optional<Result<Envelope>> answer;
  client.Call({1, MessageKind::kPropose, 0, "again"}, kCallTimeout,
              [&](Result<Envelope> result) { answer = std::move(result); });
  REQUIRE(RunUntil(io, [&] { return answer.has_value(); }));
  CHECK(answer->value().body == "again");
  REQUIRE(events.size() == 3);
  CHECK(events[1].id == EventId::kPeerSilent);
  CHECK(events[2].id == EventId::kPeerConnected);
}

TEST_CASE("a connection that went silent is replaced, whichever way is lost") {
  CheckSilenceIsNoticed({true, true});
  CheckSilenceIsNoticed({false, true});
  CheckSilenceIsNoticed({true, false});
}

TEST_CASE(
    "the timer service calls once, again and again, and not when stopped") {
  asio::io_context io;
  AsioTimerService timers(io);
  int once = 0;
  int often = 0;
  timers.After(Duration(1000), [&](TimePoint) { ++once; });
  timers.Every(Duration(1000), [&](TimePoint) { ++often; });
  CHECK(RunUntil(io, [&] { return often >= 3; }));
  CHECK(once == 1);
  timers.Stop();
  io.run_for(std::chrono::milliseconds(5));
  CHECK(often == 3);
}

}  // namespace
}  // namespace rattanward::adapter
