#pragma once

#include <operator.pb.h>

#include <functional>

namespace rattanward::rpc {

/// @brief Answers operator calls; called on threads of the RPC server.
/// @note Each reply's outcome tells how the call ended. With kNotLeader and a
/// leader's address in it, the server passes the call on to that address.
class OperatorHandler {
 public:
  virtual ~OperatorHandler() = default;

  virtual v1::ConfigStateReply Handle(const v1::ApplyConfigRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::ValidateConfigRequest& call) = 0;
  virtual v1::ShowConfigReply Handle(const v1::ShowConfigRequest& call) = 0;
  virtual v1::ConfigHistoryReply Handle(
      const v1::ConfigHistoryRequest& call) = 0;
  virtual v1::ConfigStateReply Handle(const v1::ConfigStatusRequest& call) = 0;
  virtual v1::ListUpstreamsReply Handle(
      const v1::ListUpstreamsRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::DrainUpstreamRequest& call) = 0;
  virtual v1::ListVotersReply Handle(const v1::ListVotersRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::AddVoterRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::RemoveVoterRequest& call) = 0;
  virtual v1::RepairVoterReply Handle(const v1::RepairVoterRequest& call) = 0;
  virtual v1::ListQuarantineReply Handle(
      const v1::ListQuarantineRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::ClearQuarantineRequest& call) = 0;
  virtual v1::OutcomeReply Handle(const v1::ForgetVmRequest& call) = 0;
  virtual v1::StatusReply Handle(const v1::StatusRequest& call) = 0;

  /// @brief Streams events until `write` gives false.
  /// @param write Sends one event, or nothing when given null to see whether
  /// the operator is still there.
  virtual void Watch(
      const std::function<bool(const v1::EventLine*)>& write) = 0;
};

}  // namespace rattanward::rpc
