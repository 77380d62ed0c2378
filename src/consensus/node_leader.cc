#include <algorithm>
#include <functional>
#include <utility>

#include "rattanward/consensus/detail/node_impl.h"

namespace rattanward::consensus {
namespace {

/// @brief Most AppendRequests to one member in one output.
constexpr int kMaxAppendsAtOnce = 4;

}  // namespace

void Node::Impl::Replicate(const VoterId& to, Peer* peer) {
  if (!peer->transfer && !log_.TermAt(peer->next - 1).has_value()) {
    peer->transfer = Transfer{log_.snapshot()};
  }
  if (peer->transfer) {
    SendChunk(to, peer);
  } else if (!peer->probing) {
    for (int sent = 0;
         sent < kMaxAppendsAtOnce && peer->next <= log_.last_index() &&
         peer->next <= peer->match + options_.max_inflight_entries;
         ++sent) {
      SendAppend(to, peer);
    }
  } else if (!peer->probe_sent || peer->heartbeat_due) {
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
  request.commit = commit_;
  request.round = round_;
  peer->next += request.entries.size();
  peer->heartbeat_due = false;
  Send(to, std::move(request));
}

void Node::Impl::SendHeartbeat(const VoterId& to, Peer* peer) {
  AppendRequest request;
  if (!peer->transfer) {
    request.previous = {peer->next - 1, log_.TermAt(peer->next - 1).value()};
  }
  request.commit = commit_;
  request.round = round_;
  peer->heartbeat_due = false;
  Send(to, std::move(request));
}

void Node::Impl::SendChunk(const VoterId& to, Peer* peer) {
  Transfer& transfer = *peer->transfer;
  if (!transfer.due && !peer->heartbeat_due) {
    return;
  }
  transfer.due = false;
  const Snapshot& snapshot = *transfer.snapshot;
  SnapshotChunk chunk{snapshot.last,   snapshot.membership,
                      transfer.offset, snapshot.state.size(),
                      std::string(),   round_};
  chunk.data = snapshot.state.substr(transfer.offset, options_.max_chunk_bytes);
  peer->heartbeat_due = false;
  Send(to, std::move(chunk));
}

void Node::Impl::HandleAppendAnswer(const Message& message,
                                    const AppendAnswer& answer) {
  const auto found = peers_.find(message.from);
  if (role_ != Role::kLeader || found == peers_.end() ||
      answer.match > log_.last_index()) {
    return;
  }
  Peer& peer = found->second;
  AcknowledgeRound(&peer, answer.round);
  if (answer.accepted) {
    if (peer.probing || answer.match > peer.match) {
      peer.probing = false;
      peer.match = std::max(peer.match, answer.match);
      peer.next = std::max(peer.next, peer.match + 1);
      AdvanceCommit();
    }
    return;
  }
  const LogIndex next = std::max(peer.match, answer.match) + 1;
  if (!peer.transfer && next < peer.next) {
    peer.next = next;
    peer.probing = true;
    peer.probe_sent = false;
  }
}

void Node::Impl::HandleSnapshotAnswer(const Message& message,
                                      const SnapshotAnswer& answer) {
  const auto found = peers_.find(message.from);
  if (role_ != Role::kLeader || found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  AcknowledgeRound(&peer, answer.round);
  if (!peer.transfer || peer.transfer->snapshot->last != answer.last) {
    return;
  }
  if (answer.installed) {
    peer.match = std::max(peer.match, answer.last.index);
    peer.next = peer.match + 1;
    peer.probing = false;
    peer.transfer.reset();
    AdvanceCommit();
  } else if (answer.offset != peer.transfer->offset &&
             answer.offset <= peer.transfer->snapshot->state.size()) {
    peer.transfer->offset = answer.offset;
    peer.transfer->due = true;
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
  const LogIndex agreed = matches[quorum - 1];
  if (agreed > commit_ && log_.TermAt(agreed) == hard_state_.term) {
    commit_ = agreed;
    if (membership_committed() && !IsVoter(log_.membership(), id_)) {
      BecomeFollower(hard_state_.term, VoterId());
    }
  }
}

}  // namespace rattanward::consensus
