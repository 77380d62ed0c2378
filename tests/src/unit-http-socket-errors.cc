#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "fakes/failing_sockets.h"
#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"

namespace rattanward::http {
namespace {

using asio::ip::tcp;
using fakes::NextSocketErrors;

constexpr Duration kTestLimit{std::chrono::seconds(10)};
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server on the event loop and a caller whose calls don't use it.
class Site {
 public:
  Site()
      : server_(io_, {},
                [this](const std::shared_ptr<ServerConnection>& connection,
                       const ServerRequest& /*request*/) {
                  ++requests_;
                  connection->Respond(ResponseHead{}, "answer");
                }) {
    REQUIRE(server_.Listen({"127.0.0.1", 0}));
  }

  /// Connects and sends a request.
  int Ask() {
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    const tcp::endpoint server(asio::ip::make_address_v4("127.0.0.1"),
                               server_.endpoint().port);
    REQUIRE(::connect(caller, server.data(),
                      static_cast<socklen_t>(server.size())) == 0);
    REQUIRE(::write(caller, kRequest.data(), kRequest.size()) > 0);
    return caller;
  }

  template <class Done>
  bool RunUntil(Done done) {
    const TimePoint end = adapter::MonotonicNow() + kTestLimit;
    while (!done() && adapter::MonotonicNow() < end) {
      io_.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  static std::string ReadFrom(int caller) {
    std::string bytes(1000, '\0');
    const ssize_t count = ::read(caller, bytes.data(), bytes.size());
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
  }

  asio::io_context& io() { return io_; }
  int requests() const { return requests_; }

 private:
  asio::io_context io_;
  int requests_ = 0;
  Server server_;
};

}  // namespace

TEST_CASE("accepting goes on after each error, without a busy loop") {
  for (const int error :
       {EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, ENETDOWN, EPERM}) {
    CAPTURE(error);
    Site site;
    NextSocketErrors().accept = {error, error, error};
    NextSocketErrors().accept_calls = 0;
    const int caller = site.Ask();
    CHECK(site.RunUntil([&] { return site.requests() == 1; }));
    CHECK(NextSocketErrors().accept_calls <= 6);
    CHECK(Site::ReadFrom(caller).rfind("HTTP/1.1 200", 0) == 0);
    ::close(caller);
  }
}

TEST_CASE("a lack of descriptors or memory delays the next accept") {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    CAPTURE(error);
    Site site;
    NextSocketErrors().accept.assign(1000, error);
    NextSocketErrors().accept_calls = 0;
    const int caller = site.Ask();
    const TimePoint end =
        adapter::MonotonicNow() + std::chrono::milliseconds(100);
    site.RunUntil([&] { return adapter::MonotonicNow() >= end; });
    CHECK(NextSocketErrors().accept_calls <= 10);
    NextSocketErrors().accept.clear();
    CHECK(site.RunUntil([&] { return site.requests() == 1; }));
    ::close(caller);
  }
}

TEST_CASE("an aborted connection doesn't block the event loop") {
  Site site;
  NextSocketErrors().accept = {ECONNABORTED};
  const int first = site.Ask();
  int second = -1;
  bool loop_ran = false;
  std::thread later([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    second = site.Ask();
  });
  const TimePoint begin = adapter::MonotonicNow();
  asio::steady_timer timer(site.io(), std::chrono::milliseconds(20));
  timer.async_wait([&](const std::error_code&) { loop_ran = true; });
  CHECK(site.RunUntil([&] { return loop_ran; }));
  CHECK(adapter::MonotonicNow() - begin < std::chrono::milliseconds(400));
  later.join();
  CHECK(site.RunUntil([&] { return site.requests() == 1; }));
  ::close(first);
  ::close(second);
}

TEST_CASE("an interrupted read or write doesn't end a connection") {
  Site site;
  SUBCASE("read") { NextSocketErrors().read = {EINTR, EAGAIN, EINTR}; }
  SUBCASE("write") { NextSocketErrors().write = {EINTR, EAGAIN, EINTR}; }
  const int caller = site.Ask();
  REQUIRE(site.RunUntil([&] { return site.requests() == 1; }));
  REQUIRE(site.RunUntil([] {
    return NextSocketErrors().read.empty() && NextSocketErrors().write.empty();
  }));
  site.io().poll();
  CHECK(Site::ReadFrom(caller).rfind("HTTP/1.1 200", 0) == 0);
  ::close(caller);
}

}  // namespace rattanward::http

extern "C" {

/// An aborted connection has left the queue; other errors leave it there.
int accept(int socket, sockaddr* address, socklen_t* length) {
  rattanward::fakes::SocketErrors& errors =
      rattanward::fakes::NextSocketErrors();
  ++errors.accept_calls;
  if (!errors.accept.empty() && errors.accept.front() == ECONNABORTED) {
    ::close(::accept4(socket, address, length, 0));
  }
  if (rattanward::fakes::TakeError(&errors.accept)) {
    return -1;
  }
  return ::accept4(socket, address, length, 0);
}

ssize_t recv(int socket, void* bytes, size_t size, int flags) {
  if (rattanward::fakes::TakeError(
          &rattanward::fakes::NextSocketErrors().read)) {
    return -1;
  }
  return ::recvfrom(socket, bytes, size, flags, nullptr, nullptr);
}

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
  if (rattanward::fakes::TakeError(
          &rattanward::fakes::NextSocketErrors().write)) {
    return -1;
  }
  return ::sendto(socket, bytes, size, flags, nullptr, 0);
}
}
