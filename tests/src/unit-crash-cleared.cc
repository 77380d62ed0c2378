#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::IdOf;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;

/// An entry whose upstreams crash on the first request that one of them gets,
/// and hold later ones until the entry knows of that crash.
class CrashOnce {
 public:
  CrashOnce() {
    for (std::size_t i = 0; i < 2; ++i) {
      entry.AddUpstream([this, i](LoopbackPeer& peer, const std::string& text) {
        if (!crashed_) {
          crashed_ = true;
          entry.upstreams[i]->Stop();
          peer.Close(true);
        } else {
          held_ = peer.shared_from_this();
          held_id_ = IdOf(text);
        }
      });
    }
  }

  /// Answers the held request once the entry knows of the crash.
  void AnswerAfterNews() {
    REQUIRE(
        entry.RunUntil([&] { return held_ && entry.witnesses.size() == 1; }));
    held_->Send(MakeResponse(held_id_, "whole"));
  }

  ProxyEntry entry;

 private:
  bool crashed_ = false;
  std::shared_ptr<LoopbackPeer> held_;
  std::string held_id_;
};

}  // namespace

// Guards against an entry that ends while it reports a request as cleared.
TEST_CASE("a read that a crash broke off is answered by another upstream") {
  CrashOnce deployment;
  const auto caller = deployment.entry.ConnectCaller();
  caller->Send(MakeRequest("/safe/", "1"));
  deployment.AnswerAfterNews();
  CHECK(Receives(deployment.entry, caller, "whole"));
  CHECK(deployment.entry.cleared == deployment.entry.witnesses);
}

// Guards against the same end when a booking is made again.
TEST_CASE("a request at work on a crashed upstream is answered when repeated") {
  CrashOnce deployment;
  const auto first = deployment.entry.ConnectCaller();
  first->Send(MakeRequest("/once/", "1"));
  REQUIRE(Receives(deployment.entry, first, "HTTP/1.1 502"));
  const auto again = deployment.entry.ConnectCaller();
  again->Send(MakeRequest("/once/", "2"));
  deployment.AnswerAfterNews();
  CHECK(Receives(deployment.entry, again, "whole"));
  CHECK(deployment.entry.cleared == deployment.entry.witnesses);
}

}  // namespace rattanward::proxy
