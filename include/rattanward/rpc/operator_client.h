#pragma once

#include <operator.pb.h>

#include <functional>
#include <memory>
#include <string>

#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::rpc {

/// @brief Calls the operator RPC of one control VM; the only client code that
/// sees gRPC.
/// Errors of each call: kDisconnected (not run) if no connection could be
/// made; kOutcomeUnknown (may have run) if it was lost or took too long;
/// kOperatorTokenRequired. How the call itself ended is in the reply.
class OperatorClient {
 public:
  /// @param address "address:port" of the control VM's operator RPC.
  /// @param token The operator's token.
  /// @param timeout Longest wait for an answer.
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

  /// @brief Marks the calls as passed on, so that they are not passed on again.
  void set_forwarded() { forwarded_ = true; }

  /// @brief Reads events until `take` gives false or the stream ends.
  Status Watch(const std::function<bool(const v1::EventLine&)>& on_event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  bool forwarded_ = false;
};

}  // namespace rattanward::rpc
