#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "rattanward/entry/caller_request.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/relay_desk.h"
#include "rattanward/http/server.h"

namespace rattanward::entry {

/// @brief Creates the guard of a request that must run at most once.
using GuardFactory = std::function<std::shared_ptr<RunGuard>(
    const CheckedRequest& request, const ConfigSnapshot& config)>;

/// @brief HTTP server for callers.
/// @note Not thread-safe: all calls must be made on the core's event loop.
class CallerFront {
 public:
  /// @brief Creates the server; Start() makes it listen.
  /// @param core Makes the dispatch decisions.
  /// @param recorder Logs and counts requests.
  /// @param id_prefix Prefix of request ids; unique to this run of the process.
  /// @param max_connections Maximum number of concurrent caller connections.
  /// @param memory Budget for what callers' connections hold.
  /// @param guard_factory Creates guards; may be empty if no request needs one.
  /// @param metrics Returns the text of GET /metrics.
  CallerFront(EntryCore& core, const RequestRecorder& recorder,
              std::string id_prefix, std::size_t max_connections,
              std::shared_ptr<http::MemoryBudget> memory,
              GuardFactory guard_factory, std::function<std::string()> metrics);

  /// @brief Relays requests for which this entry has no path. To be called
  /// before Start().
  void RelayTo(RelayPeers peers);

  /// @brief Binds the endpoint and starts serving.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Status Start(const Endpoint& listen) { return server_.Listen(listen); }

  /// @brief The bound endpoint.
  Endpoint endpoint() const { return server_.endpoint(); }

  /// @brief Reports "not ready" from now on; new requests are still served.
  void FailReadiness() { ready_ = false; }

  /// @brief Gives each open request its final answer now, because this entry
  /// stops.
  void CutShort();

  /// @brief Closes each connection after its current response from now on.
  void CloseAfterResponses() { server_.CloseAfterResponses(); }

  /// @brief Number of requests without a final response.
  std::size_t open_requests() const {
    return open_exchanges_.size() + (relays_ ? relays_->open() : 0);
  }

  /// @brief Number of open connections, including those with a response that
  /// is still being sent.
  std::size_t connections() const { return server_.connections(); }

  /// @brief Closes all remaining connections.
  void Stop() { server_.Stop(); }

 private:
  using CallerConnection = std::shared_ptr<http::ServerConnection>;

  void Route(const CallerConnection& caller,
             const http::ServerRequest& request);
  http::Response HandleLocally(const http::ServerRequest& request) const;
  http::Response ReadinessResponse() const;
  http::Response ListModels(const http::ServerRequest& request) const;
  void Forward(const CallerConnection& caller,
               const http::ServerRequest& request);
  Result<CheckedRequest> CheckRequest(const http::ServerRequest& request,
                                      const ConfigSnapshot& config,
                                      const RequestId& id) const;
  void StartExchange(const CallerConnection& caller, CheckedRequest checked,
                     http::Fields common_fields);
  std::function<void()> MakeRelay(const CallerConnection& caller,
                                  const http::ServerRequest& request,
                                  const policy::RequestInfo& info,
                                  const http::Fields& common_fields);
  RequestId NextRequestId();

  EntryCore& core_;
  const RequestRecorder& recorder_;
  std::string id_prefix_;
  GuardFactory guard_factory_;
  std::function<std::string()> metrics_;
  http::Server server_;
  std::unordered_set<std::shared_ptr<Exchange>> open_exchanges_;
  /// Null if there is no other entry to relay to.
  std::unique_ptr<RelayDesk> relays_;
  std::uint64_t next_id_ = 1;
  bool ready_ = true;
};

}  // namespace rattanward::entry
