#include "rattanward/control/replica.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <utility>
#include <variant>

#include "rattanward/adapter/asio_timer_service.h"

namespace rattanward::control {
namespace {

/// Timeout of a proposal or a read.
constexpr Duration kAnswerTimeout{std::chrono::seconds(3)};
/// A smaller log is not worth a snapshot.
constexpr std::uint64_t kMinCompactBytes = 256U << 10U;
constexpr Duration kFirstResumeDelay{std::chrono::milliseconds(100)};
constexpr Duration kLongestResumeDelay{std::chrono::seconds(2)};
/// Time without a snapshot after the disk refused a write.
constexpr Duration kCompactPause{std::chrono::seconds(10)};

using adapter::MonotonicNow;

ledger::LogTime WallClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return ledger::LogTime{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

bool IsBlank(const consensus::PersistedState& state) {
  return state.snapshot.membership.members.empty() && state.entries.empty() &&
         state.snapshot.last.index == 0;
}

}  // namespace

Replica::Replica(asio::io_context& io, adapter::FileLogStorage storage,
                 consensus::NodeOptions options, ReplicaHooks hooks)
    : io_(io),
      storage_(std::move(storage)),
      options_(options),
      hooks_(std::move(hooks)) {
  StartNode(storage_.TakeState());
}

void Replica::StartNode(consensus::PersistedState state) {
  blank_ = IsBlank(state);
  RestoreLedger(state.snapshot);
  node_ = std::make_unique<consensus::Node>(storage_.id(), options_,
                                            std::move(state), MonotonicNow());
}

Status Replica::Bootstrap(consensus::PersistedState state) {
  consensus::Output first;
  first.hard_state = state.hard_state;
  first.snapshot = state.snapshot;
  first.discard_log = true;
  first.entries = state.entries;
  Status saved = storage_.Save(first);
  if (saved) {
    StartNode(std::move(state));
  }
  return saved;
}

void Replica::Tick() {
  if (suspended_) {
    TryResume(MonotonicNow());
    ExpirePending();
    return;
  }
  node_->Tick(MonotonicNow());
  ExpirePending();
  ScheduleFlush();
}

void Replica::Receive(const consensus::Message& message) {
  if (suspended_) {
    if (std::holds_alternative<consensus::AppendRequest>(message.body)) {
      suspended_leader_ = message.from;
    }
    return;
  }
  node_->Receive(message, MonotonicNow());
  ScheduleFlush();
}

Error Replica::NoLeaderError() const {
  return leader().empty() || leader() == id()
             ? MakeError(ErrorCode::kNoQuorum, "no quorum of control VMs")
             : MakeError(ErrorCode::kNotLeader, "not the leader");
}

void Replica::Propose(const ledger::Command& command,
                      OutcomeCallback callback) {
  const TimePoint now = MonotonicNow();
  if (failed_ || suspended_ || !node_->HoldsLease(now)) {
    callback(NoLeaderError());
    return;
  }
  const auto position = node_->Propose(
      ledger::Encode(ledger::StampedCommand{WallClock(), command}), now);
  if (!position) {
    callback(position.error());
    return;
  }
  pending_proposals_[position.value().index] = {
      position.value().term, now + kAnswerTimeout, std::move(callback)};
  ScheduleFlush();
}

void Replica::Read(ReadCallback callback) {
  const TimePoint now = MonotonicNow();
  const consensus::ReadId id = next_read_++;
  if (failed_ || suspended_ || !node_->Read(id, now)) {
    callback(NoLeaderError());
    return;
  }
  pending_reads_[id] = {now + kAnswerTimeout, std::move(callback)};
  ScheduleFlush();
}

Result<consensus::LogPosition> Replica::ChangeMembership(
    const consensus::MembershipChange& change) {
  if (suspended_) {
    return NoLeaderError();
  }
  auto position = node_->ChangeMembership(change, MonotonicNow());
  ScheduleFlush();
  return position;
}

bool Replica::HoldsLease() const {
  return !suspended_ && node_->HoldsLease(MonotonicNow());
}

const VoterId& Replica::leader() const {
  return suspended_ ? suspended_leader_ : node_->leader();
}

std::optional<Endpoint> Replica::leader_endpoint() const {
  if (!suspended_) {
    return node_->leader_endpoint();
  }
  const consensus::Member* member =
      consensus::FindMember(node_->membership(), suspended_leader_);
  return member == nullptr ? std::nullopt : std::optional(member->endpoint);
}

bool Replica::ConfirmedLeader() const {
  return HoldsLease() && applied_term_ == node_->term();
}

void Replica::ScheduleFlush() {
  if (flush_scheduled_ || failed_ || suspended_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(io_, [this] {
    flush_scheduled_ = false;
    Flush();
  });
}

void Replica::Flush() {
  if (suspended_) {
    return;
  }
  consensus::Output output = node_->TakeOutput();
  if (failed_ || !Persist(output)) {
    return;
  }
  for (const consensus::Message& message : output.messages) {
    hooks_.send(message);
  }
  if (output.snapshot && output.discard_log) {
    blank_ = false;
    RestoreLedger(*output.snapshot);
  }
  for (const consensus::Entry& entry : output.committed) {
    Apply(entry);
  }
  for (const consensus::ConfirmedRead& read : output.reads) {
    confirmed_reads_[read.id] = read.index;
  }
  std::erase_if(confirmed_reads_, [this](const auto& read) {
    if (read.second > applied_) {
      return false;
    }
    if (auto waiting = pending_reads_.extract(read.first)) {
      waiting.mapped().callback(outcome::success());
    }
    return true;
  });
  for (const consensus::ReadId id : output.failed_reads) {
    if (auto waiting = pending_reads_.extract(id)) {
      waiting.mapped().callback(NoLeaderError());
    }
  }
  if (output.role_change) {
    LogRoleChange(*output.role_change);
  }
  if (!output.committed.empty() || output.role_change || output.discard_log) {
    hooks_.on_state_change();
  }
  CompactIfLarge();
}

bool Replica::Persist(const consensus::Output& output) {
  if (!output.NeedsSync()) {
    return true;
  }
  const Status saved = storage_.Save(output);
  if (!saved && saved.error().code == ErrorCode::kStorageRefused) {
    Suspend(saved.error());
    return false;
  }
  if (!saved) {
    failed_ = true;
    hooks_.on_storage_failure(saved.error());
    return false;
  }
  if (output.snapshot) {
    hooks_.events({EventId::kSnapshotWritten,
                   {{"index", std::to_string(output.snapshot->last.index)},
                    {"bytes", std::to_string(storage_.snapshot_bytes())}}});
  }
  return true;
}

/// Nothing of the output was acknowledged, since messages and outcomes follow
/// the write. The node's state is ahead of the disk and is not used again.
void Replica::Suspend(const Error& error) {
  const TimePoint now = MonotonicNow();
  suspended_ = true;
  suspended_leader_ = node_->leader() == id() ? VoterId() : node_->leader();
  resume_delay_ = kFirstResumeDelay;
  resume_at_ = now + resume_delay_;
  compact_after_ = now + kCompactPause;
  hooks_.events({EventId::kStorageRefused, {{"reason", error.message}}});
  FailPending();
  hooks_.on_state_change();
}

void Replica::TryResume(TimePoint now) {
  if (now < resume_at_) {
    return;
  }
  auto reopened = storage_.Reopen();
  if (!reopened) {
    if (reopened.error().code != ErrorCode::kStorageRefused) {
      failed_ = true;
      hooks_.on_storage_failure(reopened.error());
      return;
    }
    resume_delay_ = std::min(2 * resume_delay_, kLongestResumeDelay);
    resume_at_ = MonotonicNow() + resume_delay_;
    return;
  }
  storage_ = std::move(reopened.value());
  suspended_ = false;
  StartNode(storage_.TakeState());
  hooks_.events({EventId::kStorageResumed,
                 {{"log_bytes", std::to_string(storage_.log_bytes())}}});
  hooks_.on_state_change();
}

/// Commands may still be committed by another leader.
void Replica::FailPending() {
  confirmed_reads_.clear();
  for (auto& [index, pending] : std::exchange(pending_proposals_, {})) {
    pending.callback(MakeError(ErrorCode::kOutcomeUnknown,
                               "the disk refused a write before the commit of "
                               "the command was known",
                               Verdict::kMayHaveRun));
  }
  for (auto& [id, pending] : std::exchange(pending_reads_, {})) {
    pending.callback(NoLeaderError());
  }
}

void Replica::RestoreLedger(const consensus::Snapshot& snapshot) {
  applied_ = snapshot.last.index;
  applied_term_ = snapshot.last.term;
  if (snapshot.state.empty()) {
    ledger_ = ledger::StateMachine();
    return;
  }
  auto restored = ledger::StateMachine::Restore(snapshot.state);
  if (!restored) {
    failed_ = true;
    hooks_.on_storage_failure(restored.error());
    return;
  }
  ledger_ = std::move(restored.value());
}

void Replica::Apply(const consensus::Entry& entry) {
  applied_ = entry.index;
  applied_term_ = entry.term;
  if (entry.type != consensus::EntryType::kCommand) {
    CompleteProposal(entry,
                     MakeError(ErrorCode::kNotLeader,
                               "leadership changed before the command was "
                               "committed"));
    return;
  }
  const auto stamped = ledger::DecodeStamped(entry.payload);
  if (!stamped) {
    CompleteProposal(entry, stamped.error());
    return;
  }
  CompleteProposal(entry, ledger_.Apply(stamped.value()));
}

void Replica::CompleteProposal(const consensus::Entry& entry,
                               Result<ledger::Outcome> outcome) {
  auto pending = pending_proposals_.extract(entry.index);
  if (pending.empty()) {
    return;
  }
  if (pending.mapped().term != entry.term) {
    outcome = MakeError(ErrorCode::kNotLeader,
                        "leadership changed before the command was committed");
  }
  pending.mapped().callback(std::move(outcome));
}

void Replica::LogRoleChange(const consensus::RoleChange& change) {
  const bool leads = change.role == consensus::Role::kLeader;
  hooks_.events({leads ? EventId::kLeaderElected : EventId::kLeaderStepped,
                 {{"term", std::to_string(change.term)},
                  {"leader", change.leader.str()}}});
}

void Replica::CompactIfLarge() {
  const std::uint64_t limit =
      std::max(kMinCompactBytes, 2 * storage_.snapshot_bytes());
  if (storage_.log_bytes() > limit && applied_ > node_->snapshot_index() &&
      MonotonicNow() >= compact_after_) {
    node_->Compact(applied_, ledger_.Snapshot());
    ScheduleFlush();
  }
}

void Replica::ExpirePending() {
  const TimePoint now = MonotonicNow();
  std::vector<OutcomeCallback> expired_proposals;
  std::erase_if(pending_proposals_, [&](auto& pending) {
    const bool expired = pending.second.deadline <= now;
    if (expired) {
      expired_proposals.push_back(std::move(pending.second.callback));
    }
    return expired;
  });
  for (const OutcomeCallback& callback : expired_proposals) {
    callback(MakeError(ErrorCode::kOutcomeUnknown,
                       "command appended to the log, but its commit was not "
                       "confirmed before the timeout",
                       Verdict::kMayHaveRun));
  }
  std::vector<ReadCallback> expired_reads;
  std::erase_if(pending_reads_, [&](auto& read) {
    const bool expired = read.second.deadline <= now;
    if (expired) {
      expired_reads.push_back(std::move(read.second.callback));
    }
    return expired;
  });
  for (const ReadCallback& callback : expired_reads) {
    callback(MakeError(ErrorCode::kNoQuorum, "no quorum of control VMs"));
  }
}

}  // namespace rattanward::control
