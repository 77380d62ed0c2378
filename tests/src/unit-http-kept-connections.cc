#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "fakes/loopback_peer.h"
#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"

namespace rattanward::http {
namespace {

using fakes::LoopbackPeer;

constexpr Duration kTestLimit{std::chrono::seconds(10)};
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

/// A server whose requests are answered at once, unless a test takes them.
class Site {
 public:
  Site()
      : server_(io_, {},
                [this](const std::shared_ptr<ServerConnection>& connection,
                       const ServerRequest& /*request*/) {
                  last_ = connection;
                  if (!hold_) {
                    connection->Respond(ResponseHead{}, "answer");
                  }
                }) {
    REQUIRE(server_.Listen({"127.0.0.1", 0}));
  }

  void SetIdleTimeout(Duration timeout) {
    ServerLimits limits = server_.Limits();
    limits.idle_timeout = timeout;
    server_.SetLimits(limits);
  }

  std::shared_ptr<LoopbackPeer> Connect() {
    return LoopbackPeer::Connect(io_, server_.endpoint());
  }

  /// Connects and has one request answered.
  std::shared_ptr<LoopbackPeer> ConnectAndAsk() {
    auto peer = Connect();
    peer->Send(kRequest);
    REQUIRE(RunUntil([&] { return Answers(*peer) == 1; }));
    return peer;
  }

  template <class Done>
  bool RunUntil(Done done) {
    const TimePoint end = adapter::MonotonicNow() + kTestLimit;
    while (!done() && adapter::MonotonicNow() < end) {
      io_.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  void RunFor(Duration time) {
    const TimePoint end = adapter::MonotonicNow() + time;
    while (adapter::MonotonicNow() < end) {
      io_.run_one_for(std::chrono::milliseconds(5));
    }
  }

  static std::size_t Answers(const LoopbackPeer& peer) {
    return CountOf(peer.received(), "HTTP/1.1 200");
  }

  asio::io_context& io() { return io_; }
  Server& server() { return server_; }
  /// The connection of the last request.
  ServerConnection& last() { return *last_; }
  void Hold() { hold_ = true; }

 private:
  asio::io_context io_;
  std::shared_ptr<ServerConnection> last_;
  bool hold_ = false;
  Server server_;
};

bool ClosedAfterAnswers(const LoopbackPeer& peer, std::size_t answers) {
  return peer.ended() && !peer.reset() && Site::Answers(peer) == answers &&
         CountOf(peer.received(), "Connection: close") == 1;
}

}  // namespace

TEST_CASE("a stop answers a request that waits unread in its socket") {
  Site site;
  const auto peer = site.ConnectAndAsk();
  peer->Send(kRequest);
  site.server().CloseAfterResponses();
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK(ClosedAfterAnswers(*peer, 2));
}

TEST_CASE("a stop answers the first request of a new connection") {
  Site site;
  std::shared_ptr<LoopbackPeer> peer;
  SUBCASE("accepted before the stop") {
    peer = site.Connect();
    REQUIRE(site.RunUntil([&] { return site.server().connections() == 1; }));
    site.server().CloseAfterResponses();
  }
  SUBCASE("accepted after it") {
    site.server().CloseAfterResponses();
    peer = site.Connect();
  }
  site.RunFor(std::chrono::milliseconds(30));
  peer->Send(kRequest);
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK(ClosedAfterAnswers(*peer, 1));
}

TEST_CASE("a stop closes a new connection that sends nothing") {
  Site site;
  const auto peer = site.Connect();
  REQUIRE(site.RunUntil([&] { return site.server().connections() == 1; }));
  site.server().CloseAfterResponses();
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK(site.server().connections() == 0);
}

TEST_CASE("the idle timeout spares a request that waits unread in its socket") {
  Site site;
  site.SetIdleTimeout(std::chrono::milliseconds(100));
  const auto peer = site.ConnectAndAsk();
  // Due before the idle timeout, and run in the same step of the event loop.
  asio::steady_timer busy_loop(site.io(), std::chrono::milliseconds(90));
  busy_loop.async_wait([&](const std::error_code&) { peer->Send(kRequest); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(site.RunUntil(
      [&] { return peer->ended() || Site::Answers(*peer) == 2; }));
  CHECK(Site::Answers(*peer) == 2);
  CHECK_FALSE(peer->ended());
}

TEST_CASE("the header timeout spares a head that waits unread in its socket") {
  Site site;
  ServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(100);
  site.server().SetLimits(limits);
  const auto peer = site.Connect();
  peer->Send(kRequest.substr(0, 5));
  site.RunFor(std::chrono::milliseconds(30));
  asio::steady_timer busy_loop(site.io(), std::chrono::milliseconds(40));
  busy_loop.async_wait(
      [&](const std::error_code&) { peer->Send(kRequest.substr(5)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(site.RunUntil([&] { return !peer->received().empty(); }));
  CHECK(Site::Answers(*peer) == 1);
}

TEST_CASE("a request behind an answer that announced no close is answered") {
  Site site;
  site.Hold();
  const auto peer = site.Connect();
  peer->Send(kRequest);
  REQUIRE(site.RunUntil([&] { return site.server().busy() == 1; }));
  site.last().StartBody(ResponseHead{}, std::nullopt);
  site.last().Write("stream");
  site.last().Flush();
  SUBCASE("sent after the answer") {
    site.server().CloseAfterResponses();
    site.last().FinishBody();
    REQUIRE(site.RunUntil(
        [&] { return CountOf(peer->received(), "\r\n0\r\n\r\n") == 1; }));
    peer->Send(kRequest);
  }
  SUBCASE("sent before the answer was complete") {
    peer->Send(kRequest);
    site.RunFor(std::chrono::milliseconds(30));
    site.server().CloseAfterResponses();
    site.last().FinishBody();
  }
  site.RunUntil([&] { return peer->ended() || site.server().busy() == 1; });
  REQUIRE(site.server().busy() == 1);
  site.last().Respond(ResponseHead{}, "answer");
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK(ClosedAfterAnswers(*peer, 2));
}

TEST_CASE("a connection is closed after an answer that announced no close") {
  Site site;
  site.Hold();
  const auto peer = site.Connect();
  peer->Send(kRequest);
  REQUIRE(site.RunUntil([&] { return site.server().busy() == 1; }));
  site.last().StartBody(ResponseHead{}, std::nullopt);
  site.server().CloseAfterResponses();
  site.last().FinishBody();
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK_FALSE(peer->reset());
  CHECK(site.server().connections() == 0);
}

TEST_CASE("requests pipelined behind an announced close are left unanswered") {
  Site site;
  site.Hold();
  const auto peer = site.Connect();
  peer->Send(kRequest + kRequest);
  REQUIRE(site.RunUntil([&] { return site.server().busy() == 1; }));
  site.server().CloseAfterResponses();
  site.last().Respond(ResponseHead{}, "answer");
  REQUIRE(site.RunUntil([&] { return peer->ended(); }));
  CHECK(ClosedAfterAnswers(*peer, 1));
}

}  // namespace rattanward::http
