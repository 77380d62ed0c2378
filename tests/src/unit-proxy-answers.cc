#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::Answer;
using fakes::Gets;
using fakes::Has;
using fakes::LoopbackPeer;
using fakes::ProxyEntry;
using fakes::Request;
using fakes::StreamHead;

}  // namespace

TEST_CASE("an answer cut at any byte is never passed on as whole") {
  const std::string whole = Answer("1", "0123456789");
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    ProxyEntry entry;
    entry.AddUpstream([&](LoopbackPeer& peer, const std::string&) {
      peer.Send(whole.substr(0, cut));
      peer.Close();
    });
    const auto caller = entry.Caller();
    caller->Send(Request("/once/", "1"));
    REQUIRE(Gets(entry, caller, "HTTP/1.1 502"));
  }
}

TEST_CASE("a success without a signature is no success") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("1", "stray", ""));
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "HTTP/1.1 502"));
  CHECK_FALSE(Has(caller->received(), "stray"));
}

TEST_CASE("a late answer to another request is skipped") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(Answer("0", "not yours") + Answer("1", "yours"));
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  CHECK(Gets(entry, caller, "yours"));
  CHECK_FALSE(Has(caller->received(), "not yours"));
}

TEST_CASE("stray bytes after an answer end the connection's use") {
  ProxyEntry entry;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
        const std::string id = Has(request, "id: 1") ? "1" : "2";
        peer.Send(Answer(id, "ok" + id) + (id == "1" ? "HTTP/1.1 2" : ""));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/once/", "1"));
  REQUIRE(Gets(entry, caller, "ok1"));
  caller->Send(Request("/once/", "2"));
  CHECK(Gets(entry, caller, "ok2"));
  CHECK(upstream.connections().size() == 2);
}

TEST_CASE("a stream is passed on by whole events and ends whole") {
  ProxyEntry entry;
  std::shared_ptr<LoopbackPeer> stream;
  auto& upstream =
      entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
        peer.Send(StreamHead("1") +
                  http::EncodeChunk("id: 1\ndata: a\n\nid: 2\nda"));
      });
  const auto caller = entry.Caller();
  caller->Send(Request("/stream/", "1"));
  REQUIRE(Gets(entry, caller, "data: a\n\n"));
  CHECK_FALSE(Has(caller->received(), "id: 2"));
  upstream.connections()[0]->Send(http::EncodeChunk("ta: b\n\n"));
  REQUIRE(Gets(entry, caller, "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Has(caller->received(), "0\r\n\r\n"));
  upstream.connections()[0]->Send("0\r\n\r\n");
  CHECK(Gets(entry, caller, "0\r\n\r\n"));
}

TEST_CASE("a broken stream is cut, never ended") {
  ProxyEntry entry;
  entry.AddUpstream([](LoopbackPeer& peer, const std::string&) {
    peer.Send(StreamHead("1") + http::EncodeChunk("id: 1\ndata: a\n\nid: 2\n"));
    peer.Close();
  });
  const auto caller = entry.Caller();
  caller->Send(Request("/stream/", "1"));
  CHECK(entry.Until([&] { return caller->ended(); }));
  CHECK(Has(caller->received(), "data: a"));
  CHECK_FALSE(Has(caller->received(), "0\r\n\r\n"));
}

TEST_CASE("a stream that may be resumed goes on after its last whole event") {
  ProxyEntry entry;
  int arrivals = 0;
  const auto handler = [&](LoopbackPeer& peer, const std::string& request) {
    if (++arrivals == 1) {
      peer.Send(StreamHead("1") +
                http::EncodeChunk("id: 1\ndata: a\n\nid: 2\nda"));
      peer.Close(true);
    } else {
      CHECK(Has(request, "after: 1"));
      peer.Send(StreamHead("1") + http::EncodeChunk("id: 2\ndata: b\n\n") +
                "0\r\n\r\n");
    }
  };
  entry.AddUpstream(handler);
  entry.AddUpstream(handler);
  const auto caller = entry.Caller();
  caller->Send(Request("/resume/", "1"));
  CHECK(Gets(entry, caller, "0\r\n\r\n"));
  CHECK(Has(caller->received(), "id: 1\ndata: a\n\n"));
  CHECK(Has(caller->received(), "id: 2\ndata: b\n\n"));
  CHECK_FALSE(Has(caller->received(), "id: 2\nda\r"));
}

}  // namespace rattanward::proxy
