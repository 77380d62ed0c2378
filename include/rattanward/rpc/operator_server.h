#pragma once

#include <memory>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Server of the operator RPC. Hides gRPC from its users.
/// @note Connections are not encrypted.
class OperatorServer {
 public:
  /// @param handler Handles the requests. Must outlive the server.
  /// @param token Operator token that each call must carry. It is also used for
  /// requests forwarded to the leader, so all control VMs need the same one.
  OperatorServer(OperatorHandler& handler, std::string token);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// @brief Binds the address and starts to serve.
  /// @param endpoint Address to bind. With port 0, the system picks a port.
  /// Errors: kDisconnected if the address cannot be bound.
  Status Start(const Endpoint& endpoint);

  /// @brief Bound port; 0 before Start().
  int port() const;

  /// @brief Rejects new calls and cancels running ones after a short grace
  /// period. Blocks until the handlers have returned. May be called repeatedly.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::rpc
