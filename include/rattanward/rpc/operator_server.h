#pragma once

#include <memory>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Serves the operator RPC; the only server code that sees gRPC.
class OperatorServer {
 public:
  /// @param handler Answers the calls; outlives the server.
  /// @param token Token that operators must show.
  OperatorServer(OperatorHandler& handler, std::string token);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// @brief Binds and serves; port 0 picks a free port.
  /// Errors: kDisconnected if the address can't be bound.
  Status Start(const Endpoint& endpoint);

  /// @brief The bound port.
  int port() const;

  /// @brief Ends all calls.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::rpc
