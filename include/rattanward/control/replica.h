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

/// @brief Callbacks from a replica to the daemon.
struct ReplicaHooks {
  /// Sends a message to another member. Delivery is not guaranteed.
  std::function<void(const consensus::Message&)> send;
  /// Called after log entries were applied, a snapshot was installed or the
  /// role changed.
  std::function<void()> on_state_change;
  /// Called once if it is unknown what is on disk, or a snapshot cannot be
  /// restored. The process must stop.
  std::function<void(const Error&)> on_storage_failure;
  port::EventSink events;
};

/// @brief One member of the consensus group: consensus node, log storage and
/// ledger.
/// @note All calls and callbacks are on the io_context's thread. The node's
/// output is processed in a posted handler, so that messages and proposals that
/// arrive together share one disk sync.
/// If the disk refuses a write, the replica is suspended: to the other members
/// it is as silent as one that has stopped, while the ledger can still be read
/// here. It starts again from what is on disk once the folder takes writes.
class Replica {
 public:
  using OutcomeCallback = std::function<void(Result<ledger::Outcome>)>;
  using ReadCallback = std::function<void(Status)>;

  Replica(asio::io_context& io, adapter::FileLogStorage storage,
          consensus::NodeOptions options, ReplicaHooks hooks);

  /// @brief Whether the data folder contains neither log nor initial state.
  bool blank() const { return blank_; }

  /// @brief Writes the initial state of a new log. Requires blank().
  /// Errors: kStorageFailed.
  Status Bootstrap(consensus::PersistedState state);

  /// @brief Advances the node's timers and expires pending proposals and reads.
  void Tick();

  /// @brief Handles a message from another member.
  void Receive(const consensus::Message& message);

  /// @brief Commits and applies a command.
  /// @param command The command. It is stamped with this VM's wall clock.
  /// @param callback Called once with the outcome or an error.
  /// Errors: kNotLeader, or kNoQuorum if no quorum confirms a leader; after
  /// either, the command was not run. kOutcomeUnknown if the outcome is not
  /// known before the timeout; the command may have run.
  void Propose(const ledger::Command& command, OutcomeCallback callback);

  /// @brief Linearizable read: waits until the ledger contains everything that
  /// was committed before this call.
  /// Errors: kNotLeader, kNoQuorum.
  void Read(ReadCallback callback);

  /// @brief Appends a membership change; see
  /// consensus::Node::ChangeMembership().
  Result<consensus::LogPosition> ChangeMembership(
      const consensus::MembershipChange& change);

  /// @brief Whether this replica is a leader that a quorum confirmed within its
  /// lease.
  bool HoldsLease() const;

  /// @brief Whether the disk has refused a write and takes none yet.
  bool suspended() const { return suspended_; }

  /// @brief The leader that this replica knows; empty if there is none. While
  /// suspended, the one that members last heard of it.
  const VoterId& leader() const;

  /// @brief Where the leader can be reached, if it is known.
  std::optional<Endpoint> leader_endpoint() const;

  /// @brief Whether this replica holds the lease and its ledger contains
  /// everything that earlier leaders committed.
  bool ConfirmedLeader() const;

  const consensus::Node& node() const { return *node_; }
  const ledger::StateMachine& ledger() const { return ledger_; }
  const VoterId& id() const { return storage_.id(); }
  const adapter::FileLogStorage& storage() const { return storage_; }
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
  void Suspend(const Error& error);
  void TryResume(TimePoint now);
  void FailPending();
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
  /// Term of the last applied log entry.
  consensus::Term applied_term_ = 0;
  std::map<consensus::LogIndex, PendingProposal> pending_proposals_;
  std::map<consensus::ReadId, PendingRead> pending_reads_;
  std::map<consensus::ReadId, consensus::LogIndex> confirmed_reads_;
  consensus::ReadId next_read_ = 1;
  bool blank_ = false;
  bool flush_scheduled_ = false;
  bool failed_ = false;
  bool suspended_ = false;
  /// While suspended: the leader, the next attempt to resume, and the time
  /// between two attempts.
  VoterId suspended_leader_;
  TimePoint resume_at_;
  Duration resume_delay_{0};
  /// No snapshot is taken before this, after the disk refused one.
  TimePoint compact_after_;
};

}  // namespace rattanward::control
