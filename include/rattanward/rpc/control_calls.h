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

  v1::ConfigStateReply Handle(const v1::ApplyConfigRequest& call) override;
  v1::OutcomeReply Handle(const v1::ValidateConfigRequest& call) override;
  v1::ShowConfigReply Handle(const v1::ShowConfigRequest& call) override;
  v1::ConfigHistoryReply Handle(const v1::ConfigHistoryRequest& call) override;
  v1::ConfigStateReply Handle(const v1::ConfigStatusRequest& call) override;
  v1::ListUpstreamsReply Handle(const v1::ListUpstreamsRequest& call) override;
  v1::OutcomeReply Handle(const v1::DrainUpstreamRequest& call) override;
  v1::ListVotersReply Handle(const v1::ListVotersRequest& call) override;
  v1::OutcomeReply Handle(const v1::AddVoterRequest& call) override;
  v1::OutcomeReply Handle(const v1::RemoveVoterRequest& call) override;
  v1::RepairVoterReply Handle(const v1::RepairVoterRequest& call) override;
  v1::ListQuarantineReply Handle(
      const v1::ListQuarantineRequest& call) override;
  v1::OutcomeReply Handle(const v1::ClearQuarantineRequest& call) override;
  v1::OutcomeReply Handle(const v1::ForgetVmRequest& call) override;
  v1::StatusReply Handle(const v1::StatusRequest& call) override;
  void Watch(const std::function<bool(const v1::EventLine*)>& write) override;

 private:
  control::ControlDaemon& daemon_;
  EventFeed& feed_;
};

}  // namespace rattanward::rpc
