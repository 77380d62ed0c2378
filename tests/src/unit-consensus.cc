#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "fakes/consensus_cluster.h"

namespace rattanward::consensus {
namespace {

using fakes::ConsensusCluster;
using fakes::Slot;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 3;
constexpr std::uint64_t kSeed = 11;

/// Returns the VM that leads the highest term. There must be a leader.
Slot LeaderOf(ConsensusCluster& cluster) {
  std::optional<Slot> leader;
  for (Slot slot = 0; slot < cluster.size(); ++slot) {
    if (cluster.Running(slot) && !cluster.Frozen(slot) &&
        cluster.node(slot).role() == Role::kLeader &&
        (!leader || cluster.node(slot).term() > cluster.node(*leader).term())) {
      leader = slot;
    }
  }
  REQUIRE(leader.has_value());
  return *leader;
}

ConsensusCluster ElectedCluster() {
  ConsensusCluster cluster(kVms, kSeed);
  cluster.AdvanceTime(seconds(2));
  return cluster;
}

/// Drops all messages to a VM; messages from it still arrive.
void CutInboundLinks(ConsensusCluster& cluster, Slot to) {
  for (Slot from = 0; from < cluster.size(); ++from) {
    cluster.network().Cut(from, to);
  }
}

/// Time in milliseconds after the start of a node in these tests.
TimePoint At(int ms) { return TimePoint(milliseconds(1000 + ms)); }

const VoterId kA("a");
const VoterId kB("b");
const VoterId kC("c");

Membership Voters(const std::vector<VoterId>& ids) {
  Membership members;
  for (const VoterId& id : ids) {
    members.members.push_back({id, {"10.0.0.1", 1}, MemberRole::kVoter});
  }
  return members;
}

NodeOptions Options() {
  NodeOptions options;
  options.heartbeat = milliseconds(50);
  options.election_timeout = milliseconds(300);
  options.lease = milliseconds(200);
  return options;
}

/// Returns node a of {a, b, c}, elected leader at `now` with the votes of b.
Node LeaderA(PersistedState state, TimePoint now) {
  Node node(kA, Options(), std::move(state), At(0));
  node.Tick(now);
  const Term term = node.term() + 1;
  node.Receive({kB, kA, term - 1, VoteResponse{true, term, true}}, now);
  node.Receive({kB, kA, term, VoteResponse{false, term, true}}, now);
  REQUIRE(node.role() == Role::kLeader);
  return node;
}

/// A message from b that accepts the leader's entries up to `match`.
Message AcceptedResponse(const Node& leader, LogIndex match,
                         std::uint64_t round) {
  return {kB, kA, leader.term(), AppendResponse{true, match, round}};
}

}  // namespace

TEST_CASE("a leader that receives no messages steps down") {
  ConsensusCluster cluster = ElectedCluster();
  const Slot leader = LeaderOf(cluster);
  // The others still receive the leader's heartbeats.
  CutInboundLinks(cluster, leader);
  cluster.AdvanceTime(milliseconds(400));
  CHECK(cluster.node(leader).role() != Role::kLeader);
  cluster.AdvanceTime(seconds(2));
  CHECK(LeaderOf(cluster) != leader);
}

TEST_CASE("a voter that was partitioned does not depose the leader") {
  ConsensusCluster cluster = ElectedCluster();
  const Slot leader = LeaderOf(cluster);
  const Term term = cluster.node(leader).term();
  CutInboundLinks(cluster, (leader + 1) % kVms);
  cluster.AdvanceTime(seconds(5));
  cluster.network().Heal();
  cluster.AdvanceTime(seconds(2));
  CHECK(LeaderOf(cluster) == leader);
  CHECK(cluster.node(leader).term() == term);
}

TEST_CASE("a frozen leader that resumes accepts no reads or proposals") {
  ConsensusCluster cluster = ElectedCluster();
  const Slot old_leader = LeaderOf(cluster);
  cluster.Freeze(old_leader);
  cluster.AdvanceTime(seconds(3));
  CHECK(LeaderOf(cluster) != old_leader);
  Node& node = cluster.node(old_leader);
  CHECK(node.role() == Role::kLeader);
  CHECK_FALSE(node.HoldsLease(cluster.now()));
  CHECK(node.Read(1, cluster.now()).error().code == ErrorCode::kNotLeader);
  CHECK(node.Propose("x", cluster.now()).error().code == ErrorCode::kNotLeader);
}

TEST_CASE("a lease starts when the acknowledged heartbeat round was sent") {
  Node node = LeaderA(InitialState(Voters({kA, kB, kC})), At(700));
  node.TakeOutput();
  CHECK_FALSE(node.HoldsLease(At(700)));
  node.Receive(AcceptedResponse(node, node.last_index(), 1), At(850));
  CHECK(node.HoldsLease(At(899)));
  CHECK_FALSE(node.HoldsLease(At(901)));
}

TEST_CASE("a restarted voter grants no vote for one election timeout") {
  Node node(kB, Options(), InitialState(Voters({kA, kB, kC})), At(0));
  const Message request{kA, kB, 1, VoteRequest{false, 1, {1, 0}}};
  node.Receive(request, At(299));
  CHECK(node.TakeOutput() == Output());
  node.Receive(request, At(301));
  const Output output = node.TakeOutput();
  CHECK(output.hard_state == HardState{1, kA});
  REQUIRE(output.messages.size() == 1);
  CHECK(output.messages[0].body == MessageBody(VoteResponse{false, 1, true}));
}

TEST_CASE("an entry of an earlier term is not committed by counting replicas") {
  PersistedState state = InitialState(Voters({kA, kB, kC}));
  state.hard_state.term = 3;
  state.entries = {{2, 3, EntryType::kCommand, "old"}};
  Node node = LeaderA(state, At(700));
  node.TakeOutput();
  node.Receive(AcceptedResponse(node, 2, 1), At(710));
  CHECK(node.TakeOutput().committed.empty());
  node.Receive(AcceptedResponse(node, 3, 1), At(720));
  CHECK(node.TakeOutput().committed.size() == 2);
}

TEST_CASE(
    "proposals between two outputs share one write and one message per peer") {
  Node node = LeaderA(InitialState(Voters({kA, kB, kC})), At(700));
  node.TakeOutput();
  node.Receive(AcceptedResponse(node, 2, 1), At(710));
  node.TakeOutput();
  for (int i = 0; i < 5; ++i) {
    REQUIRE(node.Propose("x", At(720)).has_value());
  }
  CHECK(node.Propose(std::string(kMaxPayloadBytes + 1, 'x'), At(720))
            .error()
            .code == ErrorCode::kFrameTooLarge);
  const Output output = node.TakeOutput();
  CHECK(output.entries.size() == 5);
  CHECK(output.messages.size() == 2);
  CHECK(node.TakeOutput() == Output());
}

TEST_CASE(
    "a single voter returns its entries as saved and committed in one output") {
  Node node(kA, Options(), InitialState(Voters({kA})), At(0));
  node.Tick(At(700));
  REQUIRE(node.Propose("x", At(700)).has_value());
  REQUIRE(node.Read(7, At(700)).has_value());
  const Output output = node.TakeOutput();
  CHECK(output.entries == output.committed);
  CHECK(output.committed.size() == 2);
  CHECK(output.reads == std::vector<ConfirmedRead>{{7, 2}});
}

TEST_CASE("reads fail when the leader steps down") {
  Node node = LeaderA(InitialState(Voters({kA, kB, kC})), At(700));
  REQUIRE(node.Read(7, At(710)).has_value());
  node.Receive({kB, kA, 9, AppendResponse{}}, At(720));
  const Output output = node.TakeOutput();
  CHECK(output.failed_reads == std::vector<ReadId>{7});
  CHECK(output.role_change == RoleChange{Role::kFollower, 9, VoterId()});
}

TEST_CASE("a message addressed to another id is dropped") {
  Node node(kB, Options(), PersistedState(), At(0));
  node.Receive({kA, kC, 5, VoteRequest{false, 5, {9, 4}}}, At(500));
  CHECK(node.TakeOutput() == Output());
  CHECK(node.term() == 0);
}

TEST_CASE("a vote from an id that is not a voter does not count") {
  Node node(kA, Options(), InitialState(Voters({kA, kB, kC})), At(0));
  node.Tick(At(700));
  // A VM with a replaced disk has a new id, which is not a voter yet.
  const VoterId replaced("d");
  node.Receive({replaced, kA, 0, VoteResponse{true, 1, true}}, At(710));
  CHECK(node.role() == Role::kPreCandidate);
  node.Receive({kB, kA, 0, VoteResponse{true, 1, true}}, At(710));
  node.Receive({replaced, kA, 1, VoteResponse{false, 1, true}}, At(720));
  CHECK(node.role() == Role::kCandidate);
  node.Receive({kB, kA, 1, VoteResponse{false, 1, true}}, At(720));
  CHECK(node.role() == Role::kLeader);
}

TEST_CASE("unsafe or concurrent membership changes are rejected") {
  using Kind = MembershipChange::Kind;
  Node node = LeaderA(InitialState(Voters({kA, kB, kC})), At(700));
  node.TakeOutput();
  const auto code = [&node](Kind kind, const VoterId& id) {
    return node.ChangeMembership({kind, id, {}}, At(730)).error().code;
  };
  CHECK(code(Kind::kRemove, kC) == ErrorCode::kVoterChangePending);
  node.Receive(AcceptedResponse(node, 2, 1), At(710));
  CHECK(code(Kind::kRemove, VoterId("z")) == ErrorCode::kUnknownVoter);
  // Without b, only a would be active, because c has not responded yet.
  CHECK(code(Kind::kRemove, kB) == ErrorCode::kNoQuorum);
  REQUIRE(
      node.ChangeMembership({Kind::kAddLearner, VoterId("d"), {}}, At(720)));
  CHECK(code(Kind::kRemove, kC) == ErrorCode::kVoterChangePending);
  node.TakeOutput();
  node.Receive(AcceptedResponse(node, 3, 1), At(730));
  CHECK(node.membership_committed());
  CHECK(code(Kind::kPromote, VoterId("d")) == ErrorCode::kLearnerBehind);
  CHECK(node.ChangeMembership({Kind::kRemove, kC, {}}, At(730)).has_value());

  Node single(kA, Options(), InitialState(Voters({kA})), At(0));
  single.Tick(At(700));
  single.TakeOutput();
  CHECK(
      single.ChangeMembership({Kind::kRemove, kA, {}}, At(700)).error().code ==
      ErrorCode::kLastVoter);
}

TEST_CASE("a voter whose own removal is uncommitted can still be elected") {
  PersistedState state = InitialState(Voters({kA, kB}));
  state.entries = {
      {2, 1, EntryType::kMembership, EncodeMembership(Voters({kB}))}};
  state.hard_state.term = 1;
  Node node(kA, Options(), state, At(0));
  node.Tick(At(700));
  CHECK(node.role() == Role::kPreCandidate);
  node.Receive({kB, kA, 1, VoteResponse{true, 2, true}}, At(710));
  node.Receive({kB, kA, 2, VoteResponse{false, 2, true}}, At(710));
  CHECK(node.role() == Role::kLeader);
  node.TakeOutput();
  node.Receive({kB, kA, 2, AppendResponse{true, 3, 1}}, At(720));
  CHECK(node.TakeOutput().committed.size() == 2);
  CHECK(node.role() == Role::kFollower);
  node.Tick(At(2000));
  CHECK(node.role() == Role::kFollower);
}

TEST_CASE("each VM in turn can lose its disk and be repaired") {
  ConsensusCluster cluster = ElectedCluster();
  for (Slot lost = 0; lost < kVms; ++lost) {
    cluster.Propose("before " + std::to_string(lost));
    cluster.AdvanceTime(milliseconds(200));
    cluster.Compact(LeaderOf(cluster));
    cluster.ReplaceDisk(lost);
    cluster.AdvanceTime(seconds(5));
    REQUIRE_FALSE(cluster.repair().has_value());
  }
  CHECK(cluster.oracle().violations().empty());
  for (Slot slot = 0; slot < kVms; ++slot) {
    CHECK(cluster.applied(slot) == cluster.oracle().last_committed());
    CHECK(VoterCount(cluster.node(slot).membership()) == kVms);
  }
}

TEST_CASE(
    "messages round-trip through the codec and malformed ones are rejected") {
  const Snapshot snapshot{{9, 2}, Voters({kA, kB}), "state"};
  const std::vector<MessageBody> bodies = {
      VoteRequest{true, 4, {9, 2}},
      VoteResponse{true, 4, true},
      AppendRequest{{9, 2}, {{10, 3, EntryType::kCommand, "x"}}, 9, 77},
      AppendResponse{true, 10, 77},
      SnapshotChunk{snapshot.last, snapshot.membership, 0, 5, "state", 78},
      SnapshotResponse{snapshot.last, 5, true, 78}};
  for (const MessageBody& body : bodies) {
    const Message message{kA, kB, 3, body};
    const std::string bytes = EncodeMessage(message);
    CHECK(DecodeMessage(bytes).value() == message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK(DecodeMessage(bytes.substr(0, size)).has_error());
    }
  }
  const auto code = [](const std::string& bytes) {
    return DecodeMessage(bytes).error().code;
  };
  CHECK(code(std::string(kMaxMessageBytes + 1, 'x')) ==
        ErrorCode::kFrameTooLarge);
  CHECK(code("\xdd\xff\xff\xff\xff") == ErrorCode::kMalformedMessage);
  std::string other_version = EncodeMessage({kA, kB, 3, bodies[0]});
  other_version[1] = 2;
  CHECK(code(other_version) == ErrorCode::kUnknownProtocol);
  const std::vector<MessageBody> inconsistent_bodies = {
      AppendRequest{{9, 2}, {{11, 3, EntryType::kNoOp, ""}}, 9, 1},
      AppendRequest{{9, 2}, {{10, 1, EntryType::kNoOp, ""}}, 9, 1},
      AppendRequest{{9, 2}, {{10, 2, EntryType::kMembership, "x"}}, 9, 1},
      AppendRequest{{~LogIndex{0}, 2}, {}, 9, 1},
      VoteRequest{false, ~Term{0}, {9, 2}},
      SnapshotChunk{{9, 2}, {}, 0, 5, "state", 1},
      SnapshotChunk{{9, 2}, snapshot.membership, 1, 5, "state", 1}};
  for (const MessageBody& body : inconsistent_bodies) {
    CHECK(code(EncodeMessage({kA, kB, 3, body})) ==
          ErrorCode::kMalformedMessage);
  }
  CHECK(code(EncodeMessage({kA, kB, ~Term{0}, bodies[0]})) ==
        ErrorCode::kMalformedMessage);
}

}  // namespace rattanward::consensus
