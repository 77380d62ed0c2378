#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "rattanward/adapter/file_log_storage.h"
#include "rattanward/consensus/node.h"
#include "rattanward/domain/result.h"
#include "rattanward/ledger/state_machine.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief What a replica needs from the rest of the daemon.
struct ReplicaHooks {
  /// Sends a message to another member; it may be lost.
  std::function<void(const consensus::Message&)> send;
  /// Called after entries were applied or the role changed.
  std::function<void()> on_state_change;
  /// Called once when the disk failed; the process must stop.
  std::function<void(const Error&)> on_storage_failure;
  port::EventSink events;
};

/// @brief One member's log, disk and ledger on the control thread.
/// @note All calls and callbacks are on the io_context's thread. Outputs are
/// handled in a posted step, so that what arrived together shares one sync.
class Replica {
 public:
  using OutcomeCallback = std::function<void(Result<ledger::Outcome>)>;
  using ReadCallback = std::function<void(Status)>;

  Replica(asio::io_context& io, adapter::FileLogStorage storage,
          consensus::NodeOptions options, ReplicaHooks hooks);

  /// @brief Whether the data folder holds no log yet, not even a first state.
  bool blank() const { return blank_; }

  /// @brief Writes the first state of a new log; only when blank.
  /// Errors: kStorageFailed.
  Status Bootstrap(consensus::PersistedState state);

  /// @brief Lets time pass.
  void Tick();

  /// @brief Takes a message from another member.
  void Receive(const consensus::Message& message);

  /// @brief Commits and applies a command.
  /// @param command The command; stamped with the time of this VM's clock.
  /// @param callback Called once with the outcome or the error.
  /// Errors: kNotLeader; kNoQuorum if no quorum confirms a leader (both not
  /// run); kOutcomeUnknown (may have run) if the answer is not known in time.
  void Propose(const ledger::Command& command, OutcomeCallback callback);

  /// @brief Waits until the ledger holds all that was committed before.
  /// Errors: kNotLeader, kNoQuorum.
  void Read(ReadCallback callback);

  /// @brief Appends a change of membership; see
  /// consensus::Node::ChangeMembership().
  Result<consensus::LogPosition> ChangeMembership(
      const consensus::MembershipChange& change);

  /// @brief Whether a quorum confirmed this leader within its lease.
  bool HoldsLease() const;

  /// @brief Whether, besides, the ledger holds all that earlier leaders
  /// committed.
  bool ConfirmedLeader() const;

  const consensus::Node& node() const { return *node_; }
  const ledger::StateMachine& ledger() const { return ledger_; }
  const VoterId& id() const { return storage_.id(); }
  consensus::LogIndex applied() const { return applied_; }

 private:
  struct PendingProposal {
    consensus::Term term = 0;
    TimePoint deadline;
    OutcomeCallback callback;
  };
  struct PendingRead {
    TimePoint deadline;
    ReadCallback callback;
  };

  void StartNode(consensus::PersistedState state);
  void ScheduleFlush();
  void Flush();
  bool Persist(const consensus::Output& output);
  void RestoreLedger(const consensus::Snapshot& snapshot);
  void Apply(const consensus::Entry& entry);
  void CompleteProposal(const consensus::Entry& entry,
                        Result<ledger::Outcome> outcome);
  void LogRoleChange(const consensus::RoleChange& change);
  void CompactIfLarge();
  void ExpirePending();
  Error NoLeaderError() const;

  asio::io_context& io_;
  adapter::FileLogStorage storage_;
  consensus::NodeOptions options_;
  ReplicaHooks hooks_;
  std::unique_ptr<consensus::Node> node_;
  ledger::StateMachine ledger_;
  consensus::LogIndex applied_ = 0;
  /// Term of the newest entry applied.
  consensus::Term applied_term_ = 0;
  std::map<consensus::LogIndex, PendingProposal> pending_proposals_;
  std::map<consensus::ReadId, PendingRead> pending_reads_;
  std::map<consensus::ReadId, consensus::LogIndex> confirmed_reads_;
  consensus::ReadId next_read_ = 1;
  bool blank_ = false;
  bool flush_scheduled_ = false;
  bool failed_ = false;
};

}  // namespace rattanward::control
