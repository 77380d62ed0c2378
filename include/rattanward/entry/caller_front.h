#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "rattanward/entry/caller_request.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/http/server.h"

namespace rattanward::entry {

/// @brief Makes the guard of a request that may run at most once.
using GuardFactory = std::function<std::shared_ptr<RunGuard>(
    const CheckedRequest& request, const ConfigSnapshot& config)>;

/// @brief HTTP side towards callers.
/// @note All calls are on the core's loop.
class CallerFront {
 public:
  /// @brief Prepares the routes.
  /// @param core Makes the decisions.
  /// @param recorder Logs and counts requests.
  /// @param id_prefix Start of request ids; unique for this process's life.
  /// @param max_connections Callers' connections held at once.
  /// @param guards Makes guards; may be empty if nothing needs one.
  /// @param metrics Text of GET /metrics.
  CallerFront(EntryCore& core, const RequestRecorder& recorder,
              std::string id_prefix, std::size_t max_connections,
              GuardFactory guard_factory, std::function<std::string()> metrics);

  /// @brief Listens and serves.
  /// Errors: kDisconnected if the endpoint cannot be bound.
  Status Start(const Endpoint& listen) { return server_.Listen(listen); }

  /// @brief The bound endpoint.
  Endpoint endpoint() const { return server_.endpoint(); }

  /// @brief Fails readiness; new requests are still served.
  void FailReadiness() { ready_ = false; }

  /// @brief Each connection closes after its present answer from now on.
  void CloseAfterResponses() { server_.CloseAfterResponses(); }

  /// @brief Requests without their final answer.
  std::size_t open_requests() const { return open_exchanges_.size(); }

  /// @brief Open connections, those whose answer still goes out included.
  std::size_t connections() const { return server_.connections(); }

  /// @brief Cuts what is left.
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
  RequestId NextRequestId();

  EntryCore& core_;
  const RequestRecorder& recorder_;
  std::string id_prefix_;
  GuardFactory guard_factory_;
  std::function<std::string()> metrics_;
  http::Server server_;
  std::unordered_set<std::shared_ptr<Exchange>> open_exchanges_;
  std::uint64_t next_id_ = 1;
  bool ready_ = true;
};

}  // namespace rattanward::entry
