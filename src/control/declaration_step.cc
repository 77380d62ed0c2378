#include "rattanward/control/declaration_step.h"

namespace rattanward::control {
namespace {

DeclarationStep WaitOrRefuse(Duration held) {
  return held < kLongestHold ? DeclarationStep::kWait
                             : DeclarationStep::kRefuse;
}

DeclarationStep StepTowards(const LeaderView& view,
                            const DeclarationState& state) {
  if (state.source == DeclarationSource::kControlVm || !view.other_takes) {
    return DeclarationStep::kRedirect;
  }
  const bool asked = state.asked == view.other_leader;
  if (asked && state.awaits_answer) {
    return DeclarationStep::kWait;
  }
  if (state.held < kLongestHold) {
    return DeclarationStep::kPassOn;
  }
  return asked ? DeclarationStep::kRefuse : DeclarationStep::kRedirect;
}

}  // namespace

DeclarationStep NextStep(const LeaderView& view,
                         const DeclarationState& state) {
  if (view.leads) {
    return view.has_enough_voters ? DeclarationStep::kCommit
                                  : WaitOrRefuse(state.held);
  }
  if (!view.other_leader.empty()) {
    return StepTowards(view, state);
  }
  // Without a quorum, waiting would only delay the caller's next attempt.
  return view.leaderless < kElectionTime ? WaitOrRefuse(state.held)
                                         : DeclarationStep::kRefuse;
}

}  // namespace rattanward::control
