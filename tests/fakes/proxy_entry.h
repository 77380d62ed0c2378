#pragma once

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback_peer.h"
#include "fakes/test_dialect.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::fakes {

/// @brief Default timeout for a condition that a test waits for.
inline constexpr Duration kTestLimit{std::chrono::seconds(10)};

/// @brief Returns a route from host h to service s.
inline Route MakeRoute(const std::string& prefix, RouteKind kind) {
  Route route;
  route.name = prefix;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = std::chrono::seconds(5);
  route.target = std::chrono::seconds(1);
  route.split = {{ServiceName("s"), 1}};
  route.max_attempts = 2;
  return route;
}

/// @brief Returns routes of each kind, and account a with key k.
inline RoutingDeclaration MakeDeclaration() {
  RoutingDeclaration declaration;
  declaration.version = ConfigVersion{1};
  declaration.services = {{ServiceName("s"), 100, std::nullopt}};
  declaration.accounts = {{ClientAccountId("a"), {"k"}, std::nullopt}};
  declaration.routes = {MakeRoute("/safe/", RouteKind::kIdempotent),
                        MakeRoute("/once/", RouteKind::kAtMostOnce),
                        MakeRoute("/stream/", RouteKind::kStream),
                        MakeRoute("/resume/", RouteKind::kStream),
                        MakeRoute("/quick/", RouteKind::kAtMostOnce),
                        MakeRoute("/single/", RouteKind::kAtMostOnce)};
  declaration.routes[3].resumable = true;
  declaration.routes[4].timeout = std::chrono::milliseconds(150);
  declaration.routes[5].max_attempts = 1;
  return declaration;
}

/// @brief A planned stop that begins now, with final answers after nine tenths
/// of the grace time.
inline policy::StopPlan MakeStopPlan(Duration grace = std::chrono::seconds(8)) {
  policy::StopTimes times;
  times.notice = grace / 3;
  times.grace = grace;
  times.answer_margin = grace / 10;
  return {adapter::MonotonicNow(), times};
}

/// @brief An entry's data path on loopback, with upstreams whose responses the
/// test defines.
class ProxyEntry {
 public:
  explicit ProxyEntry(Duration key_lease = std::chrono::seconds(4),
                      double fixed_retries = 100) {
    proxy::ProxyOptions options;
    options.process = ProcessId("entry");
    options.failure_domain = FailureDomain("d");
    options.listen = {"127.0.0.1", 0};
    options.relay_listen = {"127.0.0.1", 0};
    options.retries.fixed_retries = fixed_retries;
    options.max_body_bytes = 2U << 20U;
    options.max_connections = 5000;
    options.key_lease = key_lease;
    proxy::ProxyHooks hooks;
    hooks.witness = [this](const protocol::CrashWitness& witness) {
      witnesses.push_back(witness);
      Report();
    };
    hooks.cleared = [this](const std::vector<protocol::CrashWitness>& changed) {
      cleared.insert(cleared.end(), changed.begin(), changed.end());
      Report();
    };
    hooks.suspicions =
        [this](const std::vector<policy::PartSuspicion>& changed) {
          suspicions.insert(suspicions.end(), changed.begin(), changed.end());
        };
    hooks.leaving = [this](const membership::InstanceStart& upstream) {
      leaving.push_back(upstream);
      Report();
    };
    hooks.limit = [this](const UpstreamLimit& limit) {
      limits.push_back(limit);
      Report();
    };
    hooks.urgent_load = [] {};
    hooks.events = [this](const Event& event) { events.push_back(event); };
    data_path = std::make_unique<proxy::Proxy>(io, options, dialect, hooks);
    REQUIRE(data_path->Start().has_value());
    data_path->SetRouting(
        std::make_shared<const RoutingTable>(MakeDeclaration()));
    data_path->ConfirmRouting(adapter::MonotonicNow(), ConfigVersion{1},
                              std::chrono::hours(1));
  }

  LoopbackUpstream& AddUpstream(LoopbackUpstream::Handler handler,
                                const std::string& version = "") {
    upstreams.push_back(
        std::make_unique<LoopbackUpstream>(io, std::move(handler)));
    AddRecord(upstreams.size(), upstreams.back()->endpoint(), version);
    return *upstreams.back();
  }

  /// @brief Announces an upstream at any endpoint.
  void AddRecord(std::size_t number, const Endpoint& endpoint,
                 const std::string& version = "") {
    membership::InstanceRecord record;
    record.id = UpstreamId("u" + std::to_string(number));
    record.stamp = {number, 1};
    record.service = ServiceName("s");
    record.endpoint = endpoint;
    record.failure_domain = FailureDomain("d");
    record.slots = 4;
    record.version = version;
    data_path->UpdateInstances({record});
  }

  std::shared_ptr<LoopbackPeer> ConnectCaller() {
    return LoopbackPeer::Connect(io, data_path->endpoint());
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration limit = kTestLimit) {
    const TimePoint end = adapter::MonotonicNow() + limit;
    while (!done() && adapter::MonotonicNow() < end) {
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  std::size_t RequestCount() const {
    std::size_t count = 0;
    for (const auto& upstream : upstreams) {
      count += upstream->requests().size();
    }
    return count;
  }

  asio::io_context io;
  TestDialect dialect;
  std::vector<protocol::CrashWitness> witnesses;
  std::vector<protocol::CrashWitness> cleared;
  std::vector<policy::PartSuspicion> suspicions;
  std::vector<membership::InstanceStart> leaving;
  std::vector<UpstreamLimit> limits;
  std::vector<Event> events;
  std::unique_ptr<proxy::Proxy> data_path;
  std::vector<std::unique_ptr<LoopbackUpstream>> upstreams;

 private:
  /// Asks what an entry's report to control holds, as its hooks do.
  void Report() const {
    data_path->Demand();
    data_path->Suspicions();
    data_path->Limits();
  }
};

/// @brief Returns the bytes of a caller's request.
/// @param parts Ids of the prompt's parts, separated by spaces.
inline std::string MakeRequest(const std::string& path, const std::string& id,
                               const std::string& body = "",
                               const std::string& parts = "") {
  const std::string prompt =
      parts.empty() ? std::string() : "parts: " + parts + "\r\n";
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nkey: k\r\n" + prompt +
         "id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// @brief Returns the bytes of an upstream's response.
inline std::string MakeResponse(const std::string& id, const std::string& body,
                                const std::string& more = "signed: x\r\n",
                                const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nid: " + id + "\r\n" + more +
         "Keep-Alive: timeout=5\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Returns the bytes of the response head of an upstream's stream.
inline std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nid: " + id +
         "\r\nsigned: x\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// @brief Value of a field of a request that an upstream received; empty if it
/// has none.
inline std::string FieldOf(const std::string& request,
                           const std::string& name) {
  const std::string field = "\r\n" + name + ": ";
  const std::size_t at = request.find(field);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + field.size();
  return request.substr(from, request.find('\r', from) - from);
}

inline std::string IdOf(const std::string& request) {
  return FieldOf(request, "id");
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// @brief Waits until a caller has received the given bytes.
/// @return False on timeout.
inline bool Receives(ProxyEntry& entry,
                     const std::shared_ptr<LoopbackPeer>& caller,
                     const std::string& part) {
  return entry.RunUntil([&] { return Contains(caller->received(), part); });
}

/// @brief Sends a request and waits for the head of the final answer.
inline std::shared_ptr<LoopbackPeer> Ask(ProxyEntry& entry,
                                         const std::string& path,
                                         const std::string& id) {
  auto caller = entry.ConnectCaller();
  caller->Send(MakeRequest(path, id));
  CHECK(Receives(entry, caller, "\r\n\r\n"));
  return caller;
}

}  // namespace rattanward::fakes
