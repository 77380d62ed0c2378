#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rattanward/adapter/control_client.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/run_guard.h"
#include "rattanward/ledger/claim_holder.h"

namespace rattanward::entry {

/// @brief Takes, releases and finishes ledger claims for an entry's requests.
/// @note All calls are on the core's loop.
class ClaimCoordinator {
 public:
  /// @param core Runs the claim holder.
  /// @param control Commits the commands.
  /// @param owner This process.
  /// @param boot Differs at each start of the process.
  ClaimCoordinator(EntryCore& core, adapter::ControlClient& control,
                   ProcessId owner, const std::string& boot_id);

  /// @brief Starts sending what is due; before the core starts.
  /// @note Claims wait until the ledger knows that this process restarted.
  void Start();

  /// @brief Makes the guard of one request.
  /// @param claim The request's key and the hash of its body.
  /// @param max_stored_bytes Largest answer that is kept with the claim.
  std::shared_ptr<RunGuard> MakeGuard(ledger::ClaimRequest claim,
                                      std::size_t max_stored_bytes);

  /// @brief Claims that are not settled in the ledger yet.
  std::size_t open() const { return holder_.open(); }

 private:
  class ClaimGuard;
  using DecisionCallback = std::function<void(const ledger::ClaimDecision&)>;
  using Decisions = std::vector<std::pair<AttemptId, ledger::ClaimDecision>>;

  std::optional<AttemptId> Begin(const ledger::ClaimRequest& claim,
                                 DecisionCallback callback);
  void Flush(TimePoint now);
  void AbandonPriorClaims();
  void DeliverDecisions(const Decisions& decisions);

  EntryCore& core_;
  adapter::ControlClient& control_;
  ProcessId owner_;
  ledger::ClaimHolder holder_;
  adapter::AsioTimerService timers_;
  std::map<AttemptId, DecisionCallback> pending_callbacks_;
  bool prior_claims_abandoned_ = false;
};

}  // namespace rattanward::entry
