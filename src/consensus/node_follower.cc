#include <algorithm>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {
namespace {

/// @brief Largest state that a snapshot may have, in bytes.
constexpr std::uint64_t kMaxStateBytes = 1ULL << 30U;

}  // namespace

void Node::Impl::HandleAppend(const Message& message,
                              const AppendRequest& request) {
  if (role_ == Role::kLeader) {
    return;
  }
  BecomeFollower(hard_state_.term, message.from);
  leader_contact_ = now_;
  ResetElectionDeadline();
  AppendAnswer answer{false, 0, request.round};
  const std::optional<LogIndex> conflict = Conflict(request);
  if (conflict.has_value()) {
    answer.match = *conflict;
  } else if (AppendEntries(request)) {
    answer.accepted = true;
    answer.match = request.previous.index + request.entries.size();
    commit_ = std::max(commit_, std::min(request.commit, answer.match));
  } else {
    return;
  }
  Send(message.from, answer);
}

/// Where the leader should try again, if the logs differ at `previous`.
std::optional<LogIndex> Node::Impl::Conflict(
    const AppendRequest& request) const {
  const LogPosition& previous = request.previous;
  if (previous.index <= commit_) {
    return std::nullopt;
  }
  const std::optional<Term> term = log_.TermAt(previous.index);
  if (!term.has_value()) {
    return log_.last_index();
  }
  if (*term == previous.term) {
    return std::nullopt;
  }
  LogIndex index = previous.index - 1;
  while (index > commit_ && log_.TermAt(index) == term) {
    --index;
  }
  return index;
}

bool Node::Impl::AppendEntries(const AppendRequest& request) {
  for (const Entry& entry : request.entries) {
    if (entry.index <= commit_ || log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index > log_.last_index() + 1) {
      return false;
    }
    if (entry.index <= log_.last_index()) {
      log_.TruncateFrom(entry.index);
    }
    unsaved_ = std::min(unsaved_, entry.index);
    log_.Append(entry);
  }
  return true;
}

void Node::Impl::HandleChunk(const Message& message,
                             const SnapshotChunk& chunk) {
  if (role_ == Role::kLeader || chunk.total > kMaxStateBytes) {
    return;
  }
  BecomeFollower(hard_state_.term, message.from);
  leader_contact_ = now_;
  ResetElectionDeadline();
  SnapshotAnswer answer{chunk.last, 0, false, chunk.round};
  if (chunk.last.index <= commit_) {
    answer.installed = true;
    incoming_.reset();
    Send(message.from, answer);
    return;
  }
  if (!incoming_ || incoming_->last != chunk.last) {
    incoming_ = Incoming{chunk.last, std::string()};
  }
  if (chunk.offset == incoming_->data.size() &&
      chunk.offset + chunk.data.size() <= chunk.total) {
    incoming_->data += chunk.data;
  }
  answer.offset = incoming_->data.size();
  if (answer.offset == chunk.total) {
    Install(chunk);
    answer.installed = true;
  }
  Send(message.from, answer);
}

void Node::Impl::Install(const SnapshotChunk& last_chunk) {
  Snapshot snapshot{last_chunk.last, last_chunk.membership,
                    std::move(incoming_->data)};
  incoming_.reset();
  log_.Restore(snapshot);
  commit_ = snapshot.last.index;
  emitted_ = commit_;
  unsaved_ = commit_ + 1;
  pending_.snapshot = std::move(snapshot);
  pending_.discard_log = true;
}

}  // namespace rattanward::consensus
