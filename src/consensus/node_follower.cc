#include <algorithm>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {
namespace {

/// @brief Maximum size of the state in a snapshot, in bytes.
constexpr std::uint64_t kMaxSnapshotBytes = 1ULL << 30U;

}  // namespace

void Node::Impl::HandleAppend(const Message& message,
                              const AppendRequest& request) {
  if (role_ == Role::kLeader) {
    return;
  }
  BecomeFollower(hard_state_.term, message.from);
  last_leader_contact_ = now_;
  ResetElectionDeadline();
  AppendResponse response{false, 0, request.round};
  const std::optional<LogIndex> retry_index = ConflictRetryIndex(request);
  if (retry_index.has_value()) {
    response.match = *retry_index;
  } else if (AppendEntries(request)) {
    response.accepted = true;
    response.match = request.previous.index + request.entries.size();
    commit_index_ =
        std::max(commit_index_, std::min(request.commit, response.match));
  } else {
    return;
  }
  Send(message.from, response);
}

std::optional<LogIndex> Node::Impl::ConflictRetryIndex(
    const AppendRequest& request) const {
  const LogPosition& previous = request.previous;
  if (previous.index <= commit_index_) {
    return std::nullopt;
  }
  const std::optional<Term> term = log_.TermAt(previous.index);
  if (!term.has_value()) {
    return log_.last_index();
  }
  if (*term == previous.term) {
    return std::nullopt;
  }
  // Skips all entries of the conflicting term in one step.
  LogIndex index = previous.index - 1;
  while (index > commit_index_ && log_.TermAt(index) == term) {
    --index;
  }
  return index;
}

bool Node::Impl::AppendEntries(const AppendRequest& request) {
  for (const Entry& entry : request.entries) {
    if (entry.index <= commit_index_ ||
        log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index > log_.last_index() + 1) {
      return false;
    }
    if (entry.index <= log_.last_index()) {
      log_.TruncateFrom(entry.index);
    }
    first_unsaved_ = std::min(first_unsaved_, entry.index);
    log_.Append(entry);
  }
  return true;
}

void Node::Impl::HandleSnapshotChunk(const Message& message,
                                     const SnapshotChunk& chunk) {
  if (role_ == Role::kLeader || chunk.total > kMaxSnapshotBytes) {
    return;
  }
  BecomeFollower(hard_state_.term, message.from);
  last_leader_contact_ = now_;
  ResetElectionDeadline();
  SnapshotResponse response{chunk.last, 0, false, chunk.round};
  // The log already contains everything that the snapshot covers.
  if (chunk.last.index <= commit_index_) {
    response.installed = true;
    incoming_snapshot_.reset();
    Send(message.from, response);
    return;
  }
  if (!incoming_snapshot_ || incoming_snapshot_->last != chunk.last) {
    incoming_snapshot_ = IncomingSnapshot{chunk.last, std::string()};
  }
  // A chunk that does not continue the received data is ignored, and the
  // response repeats the expected offset.
  if (chunk.offset == incoming_snapshot_->data.size() &&
      chunk.offset + chunk.data.size() <= chunk.total) {
    incoming_snapshot_->data += chunk.data;
  }
  response.offset = incoming_snapshot_->data.size();
  if (response.offset == chunk.total) {
    InstallSnapshot(chunk);
    response.installed = true;
  }
  Send(message.from, response);
}

void Node::Impl::InstallSnapshot(const SnapshotChunk& last_chunk) {
  Snapshot snapshot{last_chunk.last, last_chunk.membership,
                    std::move(incoming_snapshot_->data)};
  incoming_snapshot_.reset();
  log_.Restore(snapshot);
  commit_index_ = snapshot.last.index;
  last_emitted_ = commit_index_;
  first_unsaved_ = commit_index_ + 1;
  pending_output_.snapshot = std::move(snapshot);
  pending_output_.discard_log = true;
}

}  // namespace rattanward::consensus
