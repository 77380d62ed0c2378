#pragma once

#include <operator.pb.h>

#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace grpc {
class ServerContext;
}  // namespace grpc

namespace rattanward::rpc {

/// @brief Client of the operator RPC of one control VM. Hides gRPC from its
/// users.
/// Errors of each call: kDisconnected if no connection could be made, so that
/// the request was not sent; kOutcomeUnknown if the connection was lost or the
/// timeout passed, so that the request may have run; kOperatorTokenRequired if
/// the token is missing or wrong; kMalformedMessage if the request was rejected
/// as invalid, a message is too large, or the server lacks resources.
/// @note These are errors of the transport. The result of the operation itself
/// is in the reply's outcome.
class OperatorClient {
 public:
  /// @param address "address:port" of the control VM's operator RPC.
  /// @param token Operator token.
  /// @param timeout Maximum duration of a call, including connection setup.
  OperatorClient(const std::string& address, std::string token,
                 Duration timeout);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  Result<v1::ConfigStateReply> Call(const v1::ApplyConfigRequest& request);
  Result<v1::OutcomeReply> Call(const v1::ValidateConfigRequest& request);
  Result<v1::ShowConfigReply> Call(const v1::ShowConfigRequest& request);
  Result<v1::ConfigHistoryReply> Call(const v1::ConfigHistoryRequest& request);
  Result<v1::ConfigStateReply> Call(const v1::ConfigStatusRequest& request);
  Result<v1::ListUpstreamsReply> Call(const v1::ListUpstreamsRequest& request);
  Result<v1::OutcomeReply> Call(const v1::DrainUpstreamRequest& request);
  Result<v1::ListVotersReply> Call(const v1::ListVotersRequest& request);
  Result<v1::OutcomeReply> Call(const v1::AddVoterRequest& request);
  Result<v1::OutcomeReply> Call(const v1::RemoveVoterRequest& request);
  Result<v1::RepairVoterReply> Call(const v1::RepairVoterRequest& request);
  Result<v1::ListQuarantineReply> Call(
      const v1::ListQuarantineRequest& request);
  Result<v1::OutcomeReply> Call(const v1::ClearQuarantineRequest& request);
  Result<v1::OutcomeReply> Call(const v1::ForgetVmRequest& request);
  Result<v1::StatusReply> Call(const v1::StatusRequest& request);

  /// @brief Marks later calls as forwarded by a follower. The receiver does not
  /// forward them again, which prevents forwarding loops.
  /// @param call The call that is forwarded. If it is cancelled, as at the end
  /// of the follower, so are later calls of this client.
  void set_forwarded(const grpc::ServerContext& call) { forwarded_ = &call; }

  /// @brief Streams the events of this control VM. Blocks until `on_event`
  /// returns false or the stream ends.
  /// @note Has no timeout, except for connection setup.
  Status Watch(const std::function<bool(const v1::EventLine&)>& on_event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  /// Null if calls aren't forwarded ones.
  const grpc::ServerContext* forwarded_ = nullptr;
};

}  // namespace rattanward::rpc
