#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::Contains;
using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;
using fakes::StreamHead;

/// An upstream's answer to request 1, in one of the framings.
struct Framed {
  const char* name;
  std::string bytes;
};

std::string UnframedHead() {
  return "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n\r\n";
}

std::vector<Framed> EveryFraming(const std::string& stream) {
  return {{"until close", UnframedHead() + stream},
          {"chunked", StreamHead("1") + http::EncodeChunk(stream) +
                          std::string(http::kLastChunk)},
          {"length", MakeResponse("1", stream)}};
}

}  // namespace

TEST_CASE("a response truncated at any byte is never forwarded as complete") {
  const std::string whole = MakeResponse("1", "0123456789");
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    ProxyEntry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
      peer.Send(whole.substr(0, cut));
      peer.Close();
    });
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1"));
    REQUIRE(Receives(entry, caller, "HTTP/1.1 502"));
  }
}

TEST_CASE("a successful status without a signature is reported as 502") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("1", "stray", ""));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 502"));
  CHECK_FALSE(Contains(caller->received(), "stray"));
}

TEST_CASE("a late response to another request is skipped") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(MakeResponse("0", "not yours") + MakeResponse("1", "yours"));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  CHECK(Receives(entry, caller, "yours"));
  CHECK_FALSE(Contains(caller->received(), "not yours"));
}

TEST_CASE(
    "a late second copy without an id is skipped on a reused connection") {
  ProxyEntry entry;
  const std::string anonymous_copy =
      "HTTP/1.1 200 OK\r\nsigned: x\r\nContent-Length: 3\r\n\r\nok1";
  auto& upstream =
      entry.AddUpstream([&](LoopbackPeer& peer, const std::string& request) {
        if (Contains(request, "id: 1")) {
          peer.Send(MakeResponse("1", "ok1"));
        } else {
          peer.Send(anonymous_copy + MakeResponse("2", "ok2"));
        }
      });
  const auto first = entry.ConnectCaller();
  first->Send(MakeRequest("/once/", "1"));
  REQUIRE(Receives(entry, first, "ok1"));
  const auto second = entry.ConnectCaller();
  second->Send(MakeRequest("/once/", "2"));
  CHECK(Receives(entry, second, "ok2"));
  CHECK_FALSE(Contains(second->received(), "ok1"));
  CHECK(upstream.connections().size() == 1);
}

TEST_CASE("an upstream that sends bytes without end is cut off") {
  const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    const char* name;
    const char* path;
    std::string start;
    /// Status that the caller gets; empty if its stream is cut off.
    std::string status;
  };
  const std::vector<Case> cases = {
      {"status line", "/once/", "HTTP/1.1 200 ", "502"},
      {"field", "/once/", head + "more: ", "502"},
      {"body without length", "/once/", head + "\r\n", "502"},
      {"body with length", "/once/",
       head + "Content-Length: 99999999999\r\n\r\n", "502"},
      {"chunk size", "/once/", chunked + "1;", "502"},
      {"trailer", "/once/", chunked + "1\r\na\r\n0\r\nmore: ", "502"},
      {"first event", "/stream/", head + "\r\ndata: ", "502"},
      {"second event", "/stream/", head + "\r\ndata: a\n\ndata: ", ""},
  };
  const std::string endless(16U << 10U, 'x');
  for (const Case& one : cases) {
    CAPTURE(one.name);
    ProxyEntry entry;
    auto& upstream = entry.AddUpstream(
        [&](LoopbackPeer& peer, const std::string&) { peer.Send(one.start); });
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest(one.path, "1"));
    // Far more than any limit; the upstream stops only when it is cut off.
    constexpr std::size_t kPieces = 1000;
    std::size_t pieces = 0;
    REQUIRE(entry.RunUntil([&] {
      const bool connected = !upstream.connections().empty();
      if (connected && !upstream.connections()[0]->ended() &&
          upstream.requests().size() == 1 && pieces < kPieces) {
        upstream.connections()[0]->Send(endless);
        ++pieces;
      }
      return connected && upstream.connections()[0]->ended();
    }));
    CHECK(pieces < kPieces);
    if (one.status.empty()) {
      CHECK(entry.RunUntil([&] { return caller->ended(); }));
      CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
    } else {
      CHECK(Receives(entry, caller, "HTTP/1.1 " + one.status));
    }
  }
}

TEST_CASE("a connection with stray bytes after a response is not reused") {
  ProxyEntry entry;
  auto& upstream = entry.AddUpstream([](LoopbackPeer& peer,
                                        const std::string& request) {
    const std::string id = Contains(request, "id: 1") ? "1" : "2";
    peer.Send(MakeResponse(id, "ok" + id) + (id == "1" ? "HTTP/1.1 2" : ""));
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/once/", "1"));
  REQUIRE(Receives(entry, caller, "ok1"));
  caller->Send(MakeRequest("/once/", "2"));
  CHECK(Receives(entry, caller, "ok2"));
  CHECK(upstream.connections().size() == 2);
}

TEST_CASE("a stream is forwarded in complete events and terminated properly") {
  ProxyEntry entry;
  std::shared_ptr<LoopbackPeer> stream;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(StreamHead("1") +
                  http::EncodeChunk("id: 1\ndata: a\n\nid: 2\nda"));
      });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/stream/", "1"));
  REQUIRE(Receives(entry, caller, "data: a\n\n"));
  CHECK_FALSE(Contains(caller->received(), "id: 2"));
  upstream.connections()[0]->Send(http::EncodeChunk("ta: b\n\n"));
  REQUIRE(Receives(entry, caller, "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
  upstream.connections()[0]->Send("0\r\n\r\n");
  CHECK(Receives(entry, caller, "0\r\n\r\n"));
}

TEST_CASE("an interrupted stream is aborted without a final chunk") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(StreamHead("1") + http::EncodeChunk("id: 1\ndata: a\n\nid: 2\n"));
    peer.Close();
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/stream/", "1"));
  CHECK(entry.RunUntil([&] { return caller->ended(); }));
  CHECK(Contains(caller->received(), "data: a"));
  CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("a stream that ends inside an event is never forwarded as complete") {
  for (const Framed& framed : EveryFraming("id: 1\ndata: a\n\nid: 2\nda")) {
    CAPTURE(framed.name);
    ProxyEntry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
      peer.Send(framed.bytes);
      peer.Close();
    });
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/stream/", "1"));
    CHECK(entry.RunUntil([&] { return caller->ended(); }));
    CHECK(Contains(caller->received(), "data: a\n\n"));
    CHECK_FALSE(Contains(caller->received(), "id: 2"));
    CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
  }
}

TEST_CASE("a stream that ends inside its first event is reported as 502") {
  for (const Framed& framed : EveryFraming("id: 1\nda")) {
    CAPTURE(framed.name);
    ProxyEntry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
      peer.Send(framed.bytes);
      peer.Close();
    });
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/stream/", "1"));
    CHECK(Receives(entry, caller, "HTTP/1.1 502"));
  }
}

TEST_CASE("a stream that ends inside an event is resumed, in every framing") {
  for (const Framed& framed : EveryFraming("id: 1\ndata: a\n\nid: 2\nda")) {
    CAPTURE(framed.name);
    ProxyEntry entry;
    int arrivals = 0;
    const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
      if (++arrivals == 1) {
        peer.Send(framed.bytes);
      } else {
        CHECK(Contains(request, "after: 1"));
        peer.Send(UnframedHead() + "id: 2\ndata: b\n\n");
      }
      peer.Close();
    };
    entry.AddUpstream(handler);
    entry.AddUpstream(handler);
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/resume/", "1"));
    CHECK(Receives(entry, caller, "0\r\n\r\n"));
    CHECK(Contains(caller->received(), "id: 1\ndata: a\n\n"));
    CHECK(Contains(caller->received(), "id: 2\ndata: b\n\n"));
    CHECK_FALSE(Contains(caller->received(), "id: 2\nda\r"));
  }
}

TEST_CASE("a stream that ends between events is complete, in every framing") {
  const std::vector<std::string> streams = {
      "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r",
      "id: 1\ndata: a\n\n\n", "id: 1\ndata: a\n\n: comment\n"};
  for (const std::string& events : streams) {
    for (const Framed& framed : EveryFraming(events)) {
      CAPTURE(framed.name);
      CAPTURE(events);
      ProxyEntry entry;
      entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
        peer.Send(framed.bytes);
        peer.Close();
      });
      const auto caller = entry.ConnectCaller();
      caller->Send(MakeRequest("/stream/", "1"));
      CHECK(Receives(entry, caller, "0\r\n\r\n"));
      CHECK(Contains(caller->received(), "data: a"));
    }
  }
}

TEST_CASE("a stream without length or chunks that has no event is no success") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(UnframedHead());
    peer.Close();
  });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/stream/", "1"));
  CHECK(Receives(entry, caller, "HTTP/1.1 502"));
}

// Guards against an answer whose status is no status, and against a wait for
// another one.
TEST_CASE("an answer whose status is no status is a broken attempt") {
  for (const std::string status : {"000", "099", "600"}) {
    CAPTURE(status);
    ProxyEntry entry;
    int arrivals = 0;
    const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
      const bool first = ++arrivals == 1;
      // What such an answer says of itself counts for nothing.
      peer.Send(MakeResponse(IdOf(request), "x", "signed: x\r\nnot-run: x\r\n",
                             first ? status + " X" : "200 OK"));
    };
    entry.AddUpstream(handler);
    entry.AddUpstream(handler);
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", "1"));
    CHECK(Receives(entry, caller, "HTTP/1.1 502"));
    CHECK(arrivals == 1);
  }
}

// Guards against half an answer that is passed on as whole: its upstream ended
// it while the request was still being sent, and reset the connection then.
TEST_CASE("an unframed answer that ends before its request is not complete") {
  using asio::ip::tcp;
  ProxyEntry entry;
  tcp::acceptor acceptor(entry.io, {asio::ip::make_address_v4("127.0.0.1"), 0});
  entry.AddRecord(7, {"127.0.0.1", acceptor.local_endpoint().port()});
  std::string path = "/once/";
  std::string head = UnframedHead();
  std::string part = std::string(5000, 'x');
  std::string expected = "HTTP/1.1 502";
  SUBCASE("of a booking") {}
  SUBCASE("of a stream, between its events") {
    path = "/stream/";
    part = "id: 1\ndata: a\n\n";
    expected = part;
  }
  SUBCASE("of a read, which is sent again") {
    path = "/safe/";
    expected = "whole";
  }
  SUBCASE("but a rejection needs no body") {
    head = "HTTP/1.1 503 Full\r\nid: 1\r\nnot-run: x\r\n\r\n";
    expected = "HTTP/1.1 503";
  }
  tcp::socket upstream(entry.io);
  bool accepted = false;
  acceptor.async_accept(upstream,
                        [&](const asio::error_code&) { accepted = true; });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest(path, "1", std::string(1U << 20U, 'b')));
  REQUIRE(entry.RunUntil([&] { return accepted; }));
  if (path == "/safe/") {
    entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
      peer.Send(MakeResponse(IdOf(request), "whole"));
    });
  }
  asio::write(upstream, asio::buffer(head + part));
  upstream.shutdown(tcp::socket::shutdown_send);
  entry.RunUntil([&] { return caller->ended(); },
                 std::chrono::milliseconds(20));
  upstream.set_option(asio::socket_base::linger(true, 0));
  upstream.close();
  entry.RunUntil([&] {
    return caller->ended() ||
           (path != "/stream/" && Contains(caller->received(), "\r\n\r\n"));
  });
  CHECK(Contains(caller->received(), expected));
  CHECK_FALSE(Contains(caller->received(), "\r\n0\r\n\r\n"));
}

TEST_CASE("an unframed answer that is reset between events is not complete") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(UnframedHead() + "id: 1\ndata: a\n\n");
      });
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/stream/", "1"));
  REQUIRE(Receives(entry, caller, "data: a\n\n"));
  upstream.connections()[0]->Close(true);
  CHECK(entry.RunUntil([&] { return caller->ended(); }));
  CHECK_FALSE(Contains(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("a resumable stream continues after its last complete event") {
  ProxyEntry entry;
  int arrivals = 0;
  const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
    if (++arrivals == 1) {
      peer.Send(StreamHead("1") +
                http::EncodeChunk("id: 1\ndata: a\n\nid: 2\nda"));
      peer.Close(true);
    } else {
      CHECK(Contains(request, "after: 1"));
      peer.Send(StreamHead("1") + http::EncodeChunk("id: 2\ndata: b\n\n") +
                "0\r\n\r\n");
    }
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  const auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest("/resume/", "1"));
  CHECK(Receives(entry, caller, "0\r\n\r\n"));
  CHECK(Contains(caller->received(), "id: 1\ndata: a\n\n"));
  CHECK(Contains(caller->received(), "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Contains(caller->received(), "id: 2\nda\r"));
}

TEST_CASE(
    "an upstream that rejects a stream's next attempt isn't unreachable") {
  for (const double fixed_retries : {100.0, 0.0}) {
    CAPTURE(fixed_retries);
    ProxyEntry entry(std::chrono::seconds(4), fixed_retries);
    int arrivals = 0;
    const auto handler = [&](LoopbackPeer& peer, const std::string& /*text*/) {
      if (++arrivals == 1) {
        peer.Send(StreamHead("1") + http::EncodeChunk("id: 1\ndata: a\n\n"));
        peer.Close(true);
      } else if (arrivals == 2) {
        peer.Send(MakeResponse("1", "no", "not-run: 1\r\n", "503 Full"));
      } else {
        peer.Send(StreamHead("1") + http::EncodeChunk("id: 2\ndata: b\n\n") +
                  "0\r\n\r\n");
      }
    };
    for (int i = 0; i < 3; ++i) {
      entry.AddUpstream(handler);
    }
    const auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/resume/", "1"));
    const bool has_budget = fixed_retries > 1;
    CHECK(entry.RunUntil([&] {
      return caller->ended() || Contains(caller->received(), "0\r\n\r\n");
    }));
    CHECK(Contains(caller->received(), "data: b") == has_budget);
    CHECK(arrivals == (has_budget ? 3 : 2));
    CHECK(std::none_of(
        entry.events.begin(), entry.events.end(),
        [](const Event& event) { return event.id == EventId::kPathLost; }));
  }
}

}  // namespace rattanward::proxy
