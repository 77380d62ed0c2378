#pragma once

#include <operator.pb.h>

#include <functional>

namespace rattanward::rpc {

/// @brief Handles operator RPC requests. Called concurrently on the threads of
/// the RPC server.
/// @note The reply's outcome contains the result of the request. If it is
/// kNotLeader with the leader's address, the server forwards the request to
/// that address, unless the request was forwarded already.
class OperatorHandler {
 public:
  virtual ~OperatorHandler() = default;

  virtual v1::ConfigStateReply Handle(
      const v1::ApplyConfigRequest& request) = 0;
  virtual v1::OutcomeReply Handle(const v1::ValidateConfigRequest& request) = 0;
  virtual v1::ShowConfigReply Handle(const v1::ShowConfigRequest& request) = 0;
  virtual v1::ConfigHistoryReply Handle(
      const v1::ConfigHistoryRequest& request) = 0;
  virtual v1::ConfigStateReply Handle(
      const v1::ConfigStatusRequest& request) = 0;
  virtual v1::ListUpstreamsReply Handle(
      const v1::ListUpstreamsRequest& request) = 0;
  virtual v1::OutcomeReply Handle(const v1::DrainUpstreamRequest& request) = 0;
  virtual v1::ListVotersReply Handle(const v1::ListVotersRequest& request) = 0;
  virtual v1::OutcomeReply Handle(const v1::AddVoterRequest& request) = 0;
  virtual v1::OutcomeReply Handle(const v1::RemoveVoterRequest& request) = 0;
  virtual v1::RepairVoterReply Handle(
      const v1::RepairVoterRequest& request) = 0;
  virtual v1::ListQuarantineReply Handle(
      const v1::ListQuarantineRequest& request) = 0;
  virtual v1::OutcomeReply Handle(
      const v1::ClearQuarantineRequest& request) = 0;
  virtual v1::OutcomeReply Handle(const v1::ForgetVmRequest& request) = 0;
  virtual v1::StatusReply Handle(const v1::StatusRequest& request) = 0;

  /// @brief Streams events. Blocks until `write` returns false or no more
  /// events will come.
  /// @param write Sends an event. If null, it sends nothing and only checks the
  /// connection. Returns false if the operator has disconnected.
  virtual void Watch(
      const std::function<bool(const v1::EventLine*)>& write) = 0;
};

}  // namespace rattanward::rpc
