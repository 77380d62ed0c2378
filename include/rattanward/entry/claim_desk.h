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

/// @brief Acquires, releases and completes the ledger claims of an entry's
/// requests.
/// @note Not thread-safe: all calls must be made on the core's event loop.
class ClaimCoordinator {
 public:
  /// @param core Provides the event loop.
  /// @param control Proposes commands to the ledger.
  /// @param owner Id of this process, which owns the claims.
  /// @param boot_id Identifies this run of the process; differs at each start.
  ClaimCoordinator(EntryCore& core, adapter::ControlClient& control,
                   ProcessId owner, const std::string& boot_id);

  /// @brief Starts proposing claims. Must be called before the core starts.
  /// @note No claim is proposed until the ledger has recorded that this process
  /// abandons the claims of its previous run.
  void Start();

  /// @brief Creates the guard of one request.
  /// @param claim Idempotency key and body hash of the request.
  /// @param max_stored_bytes Size limit in bytes of a response body that is
  /// stored with the claim; a larger body is not stored.
  std::shared_ptr<RunGuard> MakeGuard(ledger::ClaimRequest claim,
                                      std::size_t max_stored_bytes);

  /// @brief Number of claims that are not settled in the ledger yet.
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
