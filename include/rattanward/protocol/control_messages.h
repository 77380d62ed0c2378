#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::protocol {

/// @brief Kind of a message between the system's own processes.
enum class MessageKind : std::uint16_t {
  kEntryStatus = 1,
  kControlStatus = 2,
  kConfigFetch = 3,
  kConfigPush = 4,
  kOperatorState = 5,
  kPropose = 10,
  kProposeAnswer = 11,
  kConsensus = 20,
  kVoterHello = 21,
  kGossip = 30,
  kPeerProbe = 31,
  kPeerProbeAnswer = 32,
  kPortionRequest = 33,
  kPortionGrant = 34,
  kSuspicions = 35,
  kEntryReport = 40,
  kControlReport = 41,
  kRoutingPush = 42,
  kInstancePush = 43,
  kInstanceBeats = 44,
  kCrashesTold = 45,
  kLoadTold = 46,
  kDeparturesKept = 47,
  kRoutesDeclare = 48,
  kRoutesDeclared = 49,
};

/// @brief Entry to every control VM, once a heartbeat.
struct EntryStatus {
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;
  /// Version that this entry runs; 0 until it has one.
  ConfigVersion in_force;
  /// Sequence of the heartbeat, echoed by ControlStatus.
  std::uint64_t heartbeat = 0;
  /// Grows with each start of the process. Control ignores a status whose
  /// (incarnation, heartbeat) is not above the last one of the process.
  std::uint64_t incarnation = 0;

  friend bool operator==(const EntryStatus&, const EntryStatus&) = default;
};

/// @brief Control VM to entry, in answer to each EntryStatus.
struct ControlStatus {
  /// Set only by a leader that a quorum has confirmed within its lease.
  bool leader = false;
  std::uint64_t term = 0;
  /// Where the leader was last seen; empty if unknown.
  std::string leader_endpoint;
  /// Newest committed version known here.
  ConfigVersion committed;
  std::uint64_t heartbeat = 0;
  /// Newest version that was said to be accepted; an entry below it takes no
  /// new work.
  ConfigVersion accepted;

  friend bool operator==(const ControlStatus&, const ControlStatus&) = default;
};

/// @brief Entry to control (or to a peer entry): send what is newer than this.
struct ConfigFetch {
  ConfigVersion known;

  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

/// @brief A committed configuration, as its declared TOML text.
struct ConfigPush {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const ConfigPush&, const ConfigPush&) = default;
};

/// @brief Control VM to entry: what operators have drained or quarantined.
/// @note Sent on each change and to an entry that is new; the highest revision
/// holds.
struct OperatorState {
  /// Log index of the state that this was read from.
  std::uint64_t revision = 0;
  std::vector<UpstreamId> drained;
  /// Fingerprints of requests that must not run.
  std::vector<std::uint64_t> quarantined;

  friend bool operator==(const OperatorState&, const OperatorState&) = default;
};

/// @brief Entry to control: commit this ledger command (its encoded bytes).
struct Propose {
  std::string command;

  friend bool operator==(const Propose&, const Propose&) = default;
};

/// @brief Control to entry: outcome of a Propose.
struct ProposeAnswer {
  /// 0 is success; else the ErrorCode.
  int error = 0;
  std::string message;
  /// Encoded ledger outcome; empty on error.
  std::string outcome;
  /// On kNotLeader: where to go instead; may be empty.
  std::string leader_endpoint;

  friend bool operator==(const ProposeAnswer&, const ProposeAnswer&) = default;
};

/// @brief Between control VMs, as call and answer: who is at this endpoint.
struct VoterHello {
  VoterId id;
  ProcessId process;
  /// Connections of other control VMs and of entries.
  Endpoint peer_endpoint;
  /// Operator RPC.
  Endpoint operator_endpoint;
  /// Encoded consensus::Membership; empty while the data folder is blank.
  std::string membership;
  /// Number of kinds of log commands that it can read; 0 from a build that
  /// doesn't tell.
  std::uint32_t command_kinds = 0;
  /// Whether it takes RoutesDeclare from other control VMs.
  bool takes_declarations = false;
  /// Whether it has been told to stop and hands over its vote.
  bool leaving = false;
  /// Whether it leads, is confirmed by a quorum, and `membership` is committed.
  bool confirms_membership = false;

  friend bool operator==(const VoterHello&, const VoterHello&) = default;
};

/// @brief Entry to entry, while control is not heard: which version do you run?
struct PeerProbe {
  std::uint64_t sequence = 0;

  friend bool operator==(const PeerProbe&, const PeerProbe&) = default;
};

/// @brief Answer to PeerProbe.
struct PeerProbeAnswer {
  /// Sequence of the probe.
  std::uint64_t sequence = 0;
  /// Whether the answering entry may vouch for its version; a restarted one
  /// may not until it was confirmed itself.
  bool admitted = false;
  /// Version that it runs; 0 until it has one.
  ConfigVersion in_force;
  /// Version below which it takes no new work.
  ConfigVersion required;
  FailureDomain failure_domain;

  friend bool operator==(const PeerProbeAnswer&,
                         const PeerProbeAnswer&) = default;
};

}  // namespace rattanward::protocol
