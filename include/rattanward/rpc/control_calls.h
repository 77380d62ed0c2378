#pragma once

#include <functional>
#include <memory>
#include <string>

#include "rattanward/control/control_daemon.h"
#include "rattanward/rpc/event_feed.h"
#include "rattanward/rpc/operator_handler.h"

namespace rattanward::rpc {

/// @brief Answers operator calls from one control daemon.
/// @note Each call posts steps to the control thread and waits for them.
class ControlCalls : public OperatorHandler {
 public:
  /// @param daemon Outlives this and is running.
  /// @param feed Where the daemon's events go.
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
