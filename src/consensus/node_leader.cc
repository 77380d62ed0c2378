#include <algorithm>
#include <functional>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {
namespace {

/// @brief Maximum number of AppendRequests to one member in one Output.
constexpr int kMaxAppendsPerOutput = 4;

}  // namespace

void Node::Impl::Replicate(const VoterId& to, Peer* peer) {
  if (!peer->transfer && !log_.TermAt(peer->next - 1).has_value()) {
    peer->transfer = SnapshotTransfer{log_.snapshot()};
  }
  if (peer->transfer) {
    SendSnapshotChunk(to, peer);
  } else if (!peer->probing) {
    for (int sent = 0;
         sent < kMaxAppendsPerOutput && peer->next <= log_.last_index() &&
         peer->next <= peer->match + options_.max_inflight_entries;
         ++sent) {
      SendAppend(to, peer);
    }
  } else if (!peer->probe_sent || peer->heartbeat_due) {
    // `next` only advances once the member has accepted the probe.
    const LogIndex probed = peer->next;
    SendAppend(to, peer);
    peer->next = probed;
    peer->probe_sent = true;
  }
  if (peer->heartbeat_due) {
    SendHeartbeat(to, peer);
  }
}

void Node::Impl::SendAppend(const VoterId& to, Peer* peer) {
  AppendRequest request;
  request.previous = {peer->next - 1, log_.TermAt(peer->next - 1).value()};
  request.entries = log_.Slice(peer->next, options_.max_append_bytes);
  request.commit = commit_index_;
  request.round = current_round_;
  peer->next += request.entries.size();
  peer->heartbeat_due = false;
  Send(to, std::move(request));
}

void Node::Impl::SendHeartbeat(const VoterId& to, Peer* peer) {
  AppendRequest request;
  // During a snapshot transfer, `previous` stays zero, which every log matches.
  if (!peer->transfer) {
    request.previous = {peer->next - 1, log_.TermAt(peer->next - 1).value()};
  }
  request.commit = commit_index_;
  request.round = current_round_;
  peer->heartbeat_due = false;
  Send(to, std::move(request));
}

void Node::Impl::SendSnapshotChunk(const VoterId& to, Peer* peer) {
  SnapshotTransfer& transfer = *peer->transfer;
  if (!transfer.chunk_due && !peer->heartbeat_due) {
    return;
  }
  transfer.chunk_due = false;
  const Snapshot& snapshot = *transfer.snapshot;
  SnapshotChunk chunk{snapshot.last,   snapshot.membership,
                      transfer.offset, snapshot.state.size(),
                      std::string(),   current_round_};
  chunk.data = snapshot.state.substr(transfer.offset, options_.max_chunk_bytes);
  peer->heartbeat_due = false;
  Send(to, std::move(chunk));
}

void Node::Impl::HandleAppendResponse(const Message& message,
                                      const AppendResponse& response) {
  const auto found = peers_.find(message.from);
  if (role_ != Role::kLeader || found == peers_.end() ||
      response.match > log_.last_index()) {
    return;
  }
  Peer& peer = found->second;
  AcknowledgeRound(&peer, response.round);
  if (response.accepted) {
    if (peer.probing || response.match > peer.match) {
      peer.probing = false;
      peer.match = std::max(peer.match, response.match);
      peer.next = std::max(peer.next, peer.match + 1);
      AdvanceCommit();
    }
    return;
  }
  // Retries at an earlier position. Delayed responses never move it forward.
  const LogIndex next = std::max(peer.match, response.match) + 1;
  if (!peer.transfer && next < peer.next) {
    peer.next = next;
    peer.probing = true;
    peer.probe_sent = false;
  }
}

void Node::Impl::HandleSnapshotResponse(const Message& message,
                                        const SnapshotResponse& response) {
  const auto found = peers_.find(message.from);
  if (role_ != Role::kLeader || found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  AcknowledgeRound(&peer, response.round);
  if (!peer.transfer || peer.transfer->snapshot->last != response.last) {
    return;
  }
  if (response.installed) {
    peer.match = std::max(peer.match, response.last.index);
    peer.next = peer.match + 1;
    peer.probing = false;
    peer.transfer.reset();
    AdvanceCommit();
  } else if (response.offset != peer.transfer->offset &&
             response.offset <= peer.transfer->snapshot->state.size()) {
    peer.transfer->offset = response.offset;
    peer.transfer->chunk_due = true;
  }
}

void Node::Impl::AdvanceCommit() {
  std::vector<LogIndex> matches;
  for (const Member& member : log_.membership().members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    matches.push_back(peer == peers_.end() ? log_.last_index()
                                           : peer->second.match);
  }
  const std::size_t quorum = QuorumSize(log_.membership());
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex quorum_match = matches[quorum - 1];
  // Only entries of the current term are committed by counting. An entry of an
  // earlier term can still be overwritten even if a majority has it.
  if (quorum_match > commit_index_ &&
      log_.TermAt(quorum_match) == hard_state_.term) {
    commit_index_ = quorum_match;
    // A leader that removed itself steps down once the removal is committed.
    if (membership_committed() && !IsVoter(log_.membership(), id_)) {
      BecomeFollower(hard_state_.term, VoterId());
    }
  }
}

}  // namespace rattanward::consensus
