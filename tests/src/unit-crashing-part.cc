#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::Contains;
using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;

/// Crashes with a lasting effect: an upstream of 5 that ended is replaced by a
/// new incarnation at another address.
constexpr std::size_t kUpstreams = 5;
/// Crashes after which the users count further sends.
constexpr int kCountedCrashes = 5;
/// Further sends that the users allow.
constexpr int kAllowedSends = 3;

/// An entry before upstreams that crash when they begin to answer a request
/// with the given prompt part.
class CrashingPartEntry {
 public:
  explicit CrashingPartEntry(std::string bad_part)
      : bad_part_(std::move(bad_part)) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      Add();
    }
  }

  /// Sends a request with these parts and one of its own. Returns whether it
  /// was served.
  bool Send(const std::string& path, const std::string& parts) {
    const std::string id = std::to_string(++sent_);
    const auto caller = entry.ConnectCaller();
    // No two requests have the same body or the same last part.
    caller->Send(MakeRequest(path, id, "body" + id, parts + " 9" + id));
    entry.RunUntil([&] {
      return caller->ended() || Contains(caller->received(), "\r\n\r\n");
    });
    // Lets the entry find out whether the upstream crashed.
    entry.RunUntil([&] { return false; }, std::chrono::milliseconds(60));
    return Contains(caller->received(), "HTTP/1.1 200");
  }

  ProxyEntry entry;
  int crashes = 0;

 private:
  void Add() {
    const std::size_t index = entry.upstreams.size();
    entry.AddUpstream(
        [this, index](LoopbackPeer& peer, const std::string& request) {
          if (Contains(request, ' ' + bad_part_ + ' ')) {
            ++crashes;
            entry.upstreams[index]->Stop();
            peer.Close(true);
            Add();
            return;
          }
          const std::size_t at = request.find("id: ") + 4;
          peer.Send(MakeResponse(
              request.substr(at, request.find('\r', at) - at), "ok"));
        });
  }

  std::string bad_part_;
  int sent_ = 0;
};

}  // namespace

TEST_CASE("requests that share a part that crashes upstreams are stopped") {
  CrashingPartEntry fleet("66");
  int sound_served = 0;
  constexpr int kRounds = 15;
  for (int i = 0; i < kRounds; ++i) {
    fleet.Send("/once/", "1 66 2");
    sound_served += fleet.Send("/once/", "1 2") ? 1 : 0;
  }
  CHECK(fleet.crashes <= kCountedCrashes + kAllowedSends);
  CHECK(sound_served == kRounds);
}

TEST_CASE("a retried request with a crashing part is not sent on and on") {
  CrashingPartEntry fleet("66");
  constexpr int kRounds = 8;
  for (int i = 0; i < kRounds; ++i) {
    fleet.Send("/safe/", "1 66");
  }
  CHECK(fleet.crashes <= kCountedCrashes + kAllowedSends);
}

}  // namespace rattanward::proxy
