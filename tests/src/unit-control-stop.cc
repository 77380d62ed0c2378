#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback_peer.h"
#include "fakes/temporary_folder.h"
#include "platform/control_calls.h"
#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/control/control_daemon.h"
#include "rattanward/control/routing_hub.h"
#include "rattanward/http/server.h"

namespace rattanward::platform {
namespace {

using adapter::MonotonicNow;
using fakes::LoopbackPeer;
using std::chrono::milliseconds;

constexpr const char* kRead =
    "GET /-/configuration HTTP/1.1\r\nHost: c\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const TimePoint end = MonotonicNow() + std::chrono::seconds(10);
  while (!done() && MonotonicNow() < end) {
    io.run_one_for(milliseconds(5));
  }
  CHECK(done());
}

}  // namespace

TEST_CASE("a call that was read before a control VM stops gets an answer") {
  asio::io_context io;
  std::vector<std::shared_ptr<http::ServerConnection>> open;
  http::Server server(
      io, {},
      [&](const std::shared_ptr<http::ServerConnection>& connection,
          const http::ServerRequest&) { open.push_back(connection); });
  REQUIRE(server.Listen({"127.0.0.1", 0}).has_value());
  const auto caller = LoopbackPeer::Connect(io, server.endpoint());
  caller->Send(kRead);
  RunUntil(io, [&] { return open.size() == 1; });
  server.CloseAfterResponses();
  server.StopListening();
  server.EndBusy(MakeError(ErrorCode::kOutcomeUnknown, "stops"));
  RunUntil(io, [&] { return caller->ended(); });
  CHECK(Contains(caller->received(), "HTTP/1.1 503"));
  CHECK_FALSE(caller->reset());
}

TEST_CASE("a control VM that stops refuses the calls that still arrive") {
  asio::io_context io;
  const fakes::TemporaryFolder folder;
  auto storage = adapter::FileLogStorage::Open(folder.path());
  REQUIRE(storage.has_value());
  const port::EventSink events = [](const Event&) {};
  control::ControlDaemon daemon(io, {}, "secret", std::move(storage.value()),
                                events);
  control::RoutingHub hub(daemon, {}, events);
  ControlCalls calls(io, daemon, hub);
  REQUIRE(calls.Start({"127.0.0.1", 0}).has_value());
  const auto slow = LoopbackPeer::Connect(io, calls.endpoint());
  slow->Send(std::string(kRead).substr(0, 20));
  const auto end = MonotonicNow() + milliseconds(50);
  RunUntil(io, [&] { return MonotonicNow() > end; });
  const auto queued = LoopbackPeer::Connect(io, calls.endpoint());
  queued->Send(kRead);
  bool stopped = false;
  const TimePoint began = MonotonicNow();
  calls.Stop([&] { stopped = true; });
  CHECK_THROWS(LoopbackPeer::Connect(io, calls.endpoint()));
  slow->Send(std::string(kRead).substr(20));
  RunUntil(io, [&] { return slow->ended() && queued->ended(); });
  CHECK(Contains(slow->received(), "HTTP/1.1 503"));
  CHECK(Contains(queued->received(), "HTTP/1.1 503"));
  slow->Close();
  queued->Close();
  RunUntil(io, [&] { return stopped; });
  CHECK(MonotonicNow() - began < milliseconds(1300));
}

}  // namespace rattanward::platform
