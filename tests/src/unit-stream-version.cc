#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/proxy_entry.h"
#include "rattanward/policy/rendezvous.h"

namespace rattanward::proxy {
namespace {

using fakes::FieldOf;
using fakes::LoopbackPeer;
using fakes::LoopbackUpstream;
using fakes::ProxyEntry;
using fakes::Receives;

std::string Event(const std::string& id, const std::string& data) {
  return http::EncodeChunk("id: " + id + "\ndata: " + data + "\n\n");
}

/// Sends one event and breaks off, unless it is resumed: then it ends well.
LoopbackUpstream::Handler Breaking(const std::string& version) {
  return [version](LoopbackPeer& peer, const std::string& request) {
    const bool resumed = !FieldOf(request, "after").empty();
    peer.Send(fakes::StreamHead(FieldOf(request, "id")) +
              Event(resumed ? "2" : "1", version));
    if (resumed) {
      peer.Send("0\r\n\r\n");
    } else {
      peer.Close();
    }
  };
}

/// Ends every stream well, from the event after the last one on.
LoopbackUpstream::Handler Whole(const std::string& version) {
  return [version](LoopbackPeer& peer, const std::string& request) {
    const bool resumed = !FieldOf(request, "after").empty();
    peer.Send(fakes::StreamHead(FieldOf(request, "id")) +
              (resumed ? "" : Event("1", version)) + Event("2", version) +
              "0\r\n\r\n");
  };
}

std::string TakeUp(const std::string& id, const std::string& resumes) {
  return "POST /resume/ HTTP/1.1\r\nHost: h\r\nkey: k\r\nid: " + id +
         "\r\nafter: 1\r\nresumes: " + resumes +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// Streams among these answers that hold events of both versions.
std::size_t Mixed(const std::vector<std::shared_ptr<LoopbackPeer>>& callers) {
  std::size_t mixed = 0;
  for (const auto& caller : callers) {
    mixed += fakes::Contains(caller->received(), "data: old") &&
                     fakes::Contains(caller->received(), "data: new")
                 ? 1
                 : 0;
  }
  return mixed;
}

}  // namespace

TEST_CASE("a stream that breaks goes on at the version that began it") {
  ProxyEntry entry;
  entry.AddUpstream(Breaking("old"), "v1");
  entry.AddUpstream(Whole("new"), "v2");
  entry.AddUpstream(Whole("old"), "v1");
  std::vector<std::shared_ptr<LoopbackPeer>> callers;
  for (int i = 0; i < 12; ++i) {
    callers.push_back(entry.ConnectCaller());
    callers.back()->Send(fakes::MakeRequest("/resume/", std::to_string(i)));
    REQUIRE(entry.RunUntil([&] {
      return fakes::Contains(callers.back()->received(), "\r\n0\r\n") ||
             callers.back()->ended();
    }));
  }
  CHECK(Mixed(callers) == 0);
}

TEST_CASE("an entry that can't know a stream's version doesn't go on with it") {
  ProxyEntry entry;
  auto& old_version = entry.AddUpstream(Whole("old"), "v1");
  auto& new_version = entry.AddUpstream(Whole("new"), "v2");
  for (int i = 0; i < 6; ++i) {
    const auto caller = entry.ConnectCaller();
    caller->Send(TakeUp(std::to_string(i), "x" + std::to_string(i)));
    CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  }
  CHECK(old_version.requests().size() + new_version.requests().size() == 0);
}

TEST_CASE(
    "a stream that a caller takes up goes on at the version it began at") {
  ProxyEntry began;
  began.AddUpstream(Breaking("old"), "v1");
  ProxyEntry other;
  auto& new_version = other.AddUpstream(Whole("new"), "v2");
  auto& old_version = other.AddUpstream(Whole("old"), "v1");
  // Two versions are known where the stream begins, so others are told.
  began.AddUpstream(Whole("new"), "v2");
  const auto caller = began.ConnectCaller();
  caller->Send(fakes::MakeRequest("/resume/", "first"));
  REQUIRE(Receives(began, caller, "data: old"));
  const policy::EntryLoad told = began.data_path->TakeUrgentLoad();
  REQUIRE(told.streams.size() == 1);
  CHECK(began.data_path->OwnLoad(std::chrono::seconds(5)).streams ==
        told.streams);
  other.data_path->UpdatePeerLoad(told);
  for (int i = 0; i < 6; ++i) {
    const auto again = other.ConnectCaller();
    again->Send(TakeUp(std::to_string(i), "first"));
    CHECK(Receives(other, again, "data: old"));
  }
  CHECK(old_version.requests().size() == 6);
  CHECK(new_version.requests().empty());
}

TEST_CASE("a stream whose version has no upstream left is refused at once") {
  ProxyEntry entry;
  entry.AddUpstream(Whole("new"), "v2");
  policy::EntryLoad told;
  told.entry = ProcessId("other");
  told.streams = {{policy::StableHash("first"), "v1"}};
  entry.data_path->UpdatePeerLoad(told);
  const auto caller = entry.ConnectCaller();
  caller->Send(TakeUp("1", "first"));
  CHECK(Receives(entry, caller, "HTTP/1.1 503"));
  CHECK(Receives(entry, caller, "Retry-After: "));
  CHECK(entry.RequestCount() == 0);
}

}  // namespace rattanward::proxy
