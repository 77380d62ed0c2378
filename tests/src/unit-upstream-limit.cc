#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "fakes/proxy_entry.h"

namespace rattanward::proxy {
namespace {

using fakes::LoopbackPeer;
using fakes::MakeRequest;
using fakes::MakeResponse;
using fakes::ProxyEntry;
using fakes::Receives;

std::string IdOf(const std::string& request) {
  constexpr std::string_view kField = "\r\nid: ";
  const std::size_t at = request.find(kField) + kField.size();
  return request.substr(at, request.find('\r', at) - at);
}

/// Requests that an upstream may get in a time since it named its limit.
double Allowed(double per_second, Duration passed) {
  constexpr double kExcess = 1.5;
  constexpr double kSpare = 5;
  const std::chrono::duration<double> seconds = passed;
  return kExcess * per_second * seconds.count() + kSpare;
}

}  // namespace

TEST_CASE("an upstream gets no more requests than the limit it named") {
  ProxyEntry entry;
  auto& limited = entry.AddUpstream([](LoopbackPeer& peer,
                                       const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "ok", "signed: x\r\nlimit: 1\r\n"));
  });
  entry.AddUpstream([](LoopbackPeer& peer, const std::string& request) {
    peer.Send(MakeResponse(IdOf(request), "ok"));
  });
  const TimePoint start = adapter::MonotonicNow();
  for (int i = 0; i < 40; ++i) {
    auto caller = entry.ConnectCaller();
    caller->Send(MakeRequest("/once/", std::to_string(i)));
    REQUIRE(Receives(entry, caller, "ok"));
  }
  CHECK(static_cast<double>(limited.requests().size()) <=
        Allowed(1, adapter::MonotonicNow() - start));
}

}  // namespace rattanward::proxy
