#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/client_connection.h"
#include "rattanward/http/server.h"

namespace rattanward::http {
namespace {

using asio::ip::tcp;

/// More than the socket buffers of a loopback connection hold.
constexpr std::size_t kLargeBytes = 16U << 20U;
constexpr Duration kTestLimit{std::chrono::seconds(10)};

template <class Done>
bool RunUntil(asio::io_context& io, Done done) {
  const auto end = std::chrono::steady_clock::now() + kTestLimit;
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.run_one_for(std::chrono::milliseconds(5));
  }
  return done();
}

/// Records how an exchange ended.
class RecordingHandler : public ClientHandler {
 public:
  bool IsMatchingResponse(const ResponseHead& /*head*/) const override {
    return true;
  }
  void OnHead(const ResponseHead& /*head*/, Framing /*framing*/,
              std::uint64_t /*length*/) override {
    head_seen = true;
  }
  void OnBody(std::string_view piece) override { body += piece; }
  void OnReadEnd() override {}
  void OnComplete() override { completed = true; }
  void OnFailure(ClientFailure cause) override { failure = cause; }

  bool head_seen = false;
  bool completed = false;
  std::optional<ClientFailure> failure;
  std::string body;
};

tcp::acceptor Listen(asio::io_context& io) {
  return {io, {asio::ip::make_address_v4("127.0.0.1"), 0}};
}

}  // namespace

// Guards against half an answer that is passed on as whole: its upstream ended
// its side in order before the reset.
TEST_CASE("an unframed answer reset while its request is sent is incomplete") {
  bool ends_first = false;
  std::size_t body_bytes = kLargeBytes;
  SUBCASE("reset at once") {}
  SUBCASE("ended in order first") { ends_first = true; }
  SUBCASE("ended in order first, the rest of the request in system buffers") {
    ends_first = true;
    body_bytes = 1U << 20U;
  }
  asio::io_context io;
  tcp::acceptor acceptor = Listen(io);
  RecordingHandler handler;
  const auto connection = std::make_shared<ClientConnection>(
      io, Endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
  connection->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(body_bytes) + "\r\n\r\n",
                   std::make_shared<const std::string>(body_bytes, 'x'),
                   std::chrono::seconds(5), &handler);
  tcp::socket upstream = acceptor.accept();
  asio::write(
      upstream,
      asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nthe first half")));
  REQUIRE(RunUntil(io, [&] { return !handler.body.empty(); }));
  REQUIRE(connection->sent_all() == (body_bytes < kLargeBytes));
  if (ends_first) {
    upstream.shutdown(tcp::socket::shutdown_send);
    RunUntil(io, [&] { return handler.completed || handler.failure; });
  }
  upstream.set_option(asio::socket_base::linger(true, 0));
  upstream.close();
  REQUIRE(RunUntil(io, [&] { return handler.completed || handler.failure; }));
  CHECK_FALSE(handler.completed);
  CHECK(handler.failure == ClientFailure::kTruncated);
}

// Guards against a wait for another answer, and against an answer that is
// passed on, where the status is no status.
TEST_CASE("an answer whose status is no status is broken at once") {
  const std::vector<std::string> statuses = {"000", "001", "099", "600", "999"};
  for (const std::string& status : statuses) {
    CAPTURE(status);
    asio::io_context io;
    tcp::acceptor acceptor = Listen(io);
    RecordingHandler handler;
    const auto connection = std::make_shared<ClientConnection>(
        io, Endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
    connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                     std::make_shared<const std::string>(),
                     std::chrono::seconds(5), &handler);
    tcp::socket upstream = acceptor.accept();
    asio::write(upstream, asio::buffer("HTTP/1.1 " + status +
                                       " X\r\nContent-Length: 0\r\n\r\n"));
    CHECK(RunUntil(io, [&] { return handler.completed || handler.failure; }));
    CHECK(handler.failure == ClientFailure::kMalformed);
    CHECK_FALSE(handler.head_seen);
  }
}

TEST_CASE("a caller without chunks gets a reset instead of half an answer") {
  asio::io_context io;
  std::shared_ptr<ServerConnection> connection;
  Server server(io, {},
                [&](const std::shared_ptr<ServerConnection>& accepted,
                    const ServerRequest& /*request*/) {
                  connection = accepted;
                  connection->StartBody(ResponseHead{}, std::nullopt);
                  connection->Write(std::string(kLargeBytes, 'x'));
                });
  ServerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(50);
  server.SetLimits(limits);
  REQUIRE(server.Listen({"127.0.0.1", 0}));
  tcp::socket caller(io);
  caller.connect(
      {asio::ip::make_address_v4("127.0.0.1"), server.endpoint().port});
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
  REQUIRE(RunUntil(io, [&] { return connection != nullptr; }));
  SUBCASE("the answer is under way") { connection->Flush(); }
  SUBCASE("the answer was ended, but not all of it was sent") {
    connection->FinishBody();
  }
  // The caller reads nothing, so the idle timeout ends the connection.
  REQUIRE(RunUntil(io, [&] { return connection->closed(); }));
  std::string received;
  asio::error_code error;
  asio::read(caller, asio::dynamic_buffer(received), error);
  CHECK(received.size() < kLargeBytes);
  CHECK(error == asio::error::connection_reset);
}

TEST_CASE("nothing is sent on a kept connection that its upstream has closed") {
  asio::io_context io;
  tcp::acceptor acceptor = Listen(io);
  RecordingHandler first;
  RecordingHandler second;
  const auto connection = std::make_shared<ClientConnection>(
      io, Endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
  const auto send = [&](RecordingHandler& handler) {
    connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                     std::make_shared<const std::string>(),
                     std::chrono::seconds(5), &handler);
  };
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  send(first);
  tcp::socket upstream = acceptor.accept();
  asio::write(upstream, asio::buffer(response));
  REQUIRE(RunUntil(io, [&] { return first.completed; }));
  REQUIRE(connection->Reusable(adapter::MonotonicNow()));
  // The event loop does not run between this and the next request.
  SUBCASE("closed") { upstream.shutdown(tcp::socket::shutdown_send); }
  SUBCASE("stray bytes") { asio::write(upstream, asio::buffer(response)); }
  send(second);
  REQUIRE(RunUntil(io, [&] { return second.completed || second.failure; }));
  CHECK(second.failure == ClientFailure::kNotSent);
}

}  // namespace rattanward::http
