#pragma once

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <string>

#include "rattanward/adapter/control_client.h"
#include "rattanward/entry/entry_core.h"
#include "rattanward/entry/run_guard.h"
#include "rattanward/ledger/claim_holder.h"

namespace rattanward::entry {

/// @brief Takes, releases and finishes ledger claims for an entry's requests.
/// @note The claim holder lives on the core's control thread.
class ClaimDesk {
 public:
  /// @param core Runs the claim holder.
  /// @param control Commits the commands.
  /// @param owner This process.
  /// @param boot Differs at each start of the process.
  ClaimDesk(EntryCore& core, adapter::ControlClient& control, ProcessId owner,
            const std::string& boot);

  /// @brief Starts sending what is due; before the core starts.
  /// @note Claims wait until the ledger knows that this process restarted.
  void Start();

  /// @brief Makes the guard of one request.
  /// @param claim The request's key and the hash of its body.
  /// @param max_stored_bytes Largest answer that is kept with the claim.
  std::shared_ptr<RunGuard> Guard(ledger::ClaimRequest claim,
                                  std::size_t max_stored_bytes);

  /// @brief Claims that are not settled in the ledger yet.
  std::size_t open() const { return open_; }

 private:
  class ClaimGuard;
  using Waiter = std::promise<ledger::ClaimDecision>;
  using Decisions = std::vector<std::pair<AttemptId, ledger::ClaimDecision>>;

  void Begin(const ledger::ClaimRequest& claim, std::shared_ptr<Waiter> waiter,
             const std::shared_ptr<AttemptId>& attempt);
  void Flush(TimePoint now);
  void AbandonFormerClaims();
  void Deliver(const Decisions& decisions);

  EntryCore& core_;
  adapter::ControlClient& control_;
  ProcessId owner_;
  ledger::ClaimHolder holder_;
  adapter::AsioTimerService timers_;
  std::map<AttemptId, std::shared_ptr<Waiter>> waiters_;
  bool former_abandoned_ = false;
  std::atomic<std::size_t> open_{0};
};

}  // namespace rattanward::entry
