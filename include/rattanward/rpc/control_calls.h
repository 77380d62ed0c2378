#pragma once

#include <functional>
#include <memory>
#include <string>

#include "rattanward/control/control_daemon.h"
#include "rattanward/rpc/event_feed.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Handles operator RPC requests on one control VM.
/// @note The functions block: they post work to the control thread and wait for
/// its result. They must not be called on the control thread. Reads and changes
/// of the ledger succeed only on the leader.
class ControlCalls : public OperatorHandler {
 public:
  /// @param daemon Control daemon. Must outlive this object.
  /// @param feed Source of the events for Watch(). Must outlive this object.
  ControlCalls(control::ControlDaemon& daemon, EventFeed& feed)
      : daemon_(daemon), feed_(feed) {}

  v1::ConfigStateReply Handle(const v1::ApplyConfigRequest& request) override;
  v1::OutcomeReply Handle(const v1::ValidateConfigRequest& request) override;
  v1::ShowConfigReply Handle(const v1::ShowConfigRequest& request) override;
  v1::ConfigHistoryReply Handle(
      const v1::ConfigHistoryRequest& request) override;
  v1::ConfigStateReply Handle(const v1::ConfigStatusRequest& request) override;
  v1::ListUpstreamsReply Handle(
      const v1::ListUpstreamsRequest& request) override;
  v1::OutcomeReply Handle(const v1::DrainUpstreamRequest& request) override;
  v1::ListVotersReply Handle(const v1::ListVotersRequest& request) override;
  v1::OutcomeReply Handle(const v1::AddVoterRequest& request) override;
  v1::OutcomeReply Handle(const v1::RemoveVoterRequest& request) override;
  v1::RepairVoterReply Handle(const v1::RepairVoterRequest& request) override;
  v1::ListQuarantineReply Handle(
      const v1::ListQuarantineRequest& request) override;
  v1::OutcomeReply Handle(const v1::ClearQuarantineRequest& request) override;
  v1::OutcomeReply Handle(const v1::ForgetVmRequest& request) override;
  v1::StatusReply Handle(const v1::StatusRequest& request) override;
  void Watch(const std::function<bool(const v1::EventLine*)>& write) override;

 private:
  control::ControlDaemon& daemon_;
  EventFeed& feed_;
};

}  // namespace rattanward::rpc
