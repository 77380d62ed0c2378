#pragma once

#include <tuple>

#include "rattanward/domain/upstream.h"
#include "rattanward/policy/account_portions.h"
#include "rattanward/protocol/codec.h"
#include "rattanward/protocol/control_messages.h"
#include "rattanward/protocol/envelope.h"
#include "rattanward/protocol/gossip_messages.h"

namespace rattanward::protocol {

template <>
struct FieldsOf<Endpoint> {
  static auto Tie(auto& m) { return std::tie(m.address, m.port); }
};

template <>
struct FieldsOf<LoadReport> {
  static auto Tie(auto& m) {
    return std::tie(m.running, m.waiting, m.cache_used_permille,
                    m.accepted_total);
  }
};

template <>
struct FieldsOf<Announcement> {
  static auto Tie(auto& m) {
    return std::tie(m.instance, m.sequence, m.kind, m.endpoint,
                    m.failure_domain, m.models, m.service, m.adapters,
                    m.version, m.role, m.capacity, m.load, m.draining,
                    m.not_run_statuses);
  }
};

template <>
struct FieldsOf<Envelope> {
  static auto Tie(auto& m) {
    return std::tie(m.version, m.kind, m.request, m.body, m.clock);
  }
};

template <>
struct FieldsOf<Hello> {
  static auto Tie(auto& m) { return std::tie(m.version, m.process, m.nonce); }
};

template <>
struct FieldsOf<Challenge> {
  static auto Tie(auto& m) {
    return std::tie(m.version, m.process, m.nonce, m.proof);
  }
};

template <>
struct FieldsOf<ChallengeAnswer> {
  static auto Tie(auto& m) { return std::tie(m.proof); }
};

template <>
struct FieldsOf<EntryStatus> {
  static auto Tie(auto& m) {
    return std::tie(m.process, m.vm, m.failure_domain, m.in_force, m.heartbeat,
                    m.incarnation);
  }
};

template <>
struct FieldsOf<ControlStatus> {
  static auto Tie(auto& m) {
    return std::tie(m.leader, m.term, m.leader_endpoint, m.committed,
                    m.heartbeat, m.accepted);
  }
};

template <>
struct FieldsOf<ConfigFetch> {
  static auto Tie(auto& m) { return std::tie(m.known); }
};

template <>
struct FieldsOf<ConfigPush> {
  static auto Tie(auto& m) { return std::tie(m.version, m.text); }
};

template <>
struct FieldsOf<Propose> {
  static auto Tie(auto& m) { return std::tie(m.command); }
};

template <>
struct FieldsOf<ProposeAnswer> {
  static auto Tie(auto& m) {
    return std::tie(m.error, m.message, m.outcome, m.leader_endpoint);
  }
};

template <>
struct FieldsOf<OperatorState> {
  static auto Tie(auto& m) {
    return std::tie(m.revision, m.drained, m.quarantined);
  }
};

template <>
struct FieldsOf<VoterHello> {
  static auto Tie(auto& m) {
    return std::tie(m.id, m.process, m.peer_endpoint, m.operator_endpoint,
                    m.membership, m.command_kinds, m.takes_declarations,
                    m.leaving, m.confirms_membership);
  }
};

template <>
struct FieldsOf<PeerProbe> {
  static auto Tie(auto& m) { return std::tie(m.sequence); }
};

template <>
struct FieldsOf<PeerProbeAnswer> {
  static auto Tie(auto& m) {
    return std::tie(m.sequence, m.admitted, m.in_force, m.required,
                    m.failure_domain);
  }
};

template <>
struct FieldsOf<UpstreamBeat> {
  static auto Tie(auto& m) { return std::tie(m.instance, m.sequence, m.load); }
};

template <>
struct FieldsOf<EntryBeat> {
  static auto Tie(auto& m) {
    return std::tie(m.process, m.failure_domain, m.incarnation, m.counter,
                    m.in_force);
  }
};

template <>
struct FieldsOf<policy::Suspicion> {
  static auto Tie(auto& m) {
    return std::tie(m.fingerprint, m.deaths, m.quarantined);
  }
};

template <>
struct FieldsOf<policy::PortionRequest> {
  static auto Tie(auto& m) {
    return std::tie(m.account, m.entry, m.incarnation, m.sequence, m.held_slots,
                    m.wanted_slots, m.wanted_starts);
  }
};

template <>
struct FieldsOf<policy::PortionGrant> {
  static auto Tie(auto& m) {
    return std::tie(m.account, m.entry, m.incarnation, m.sequence, m.slots,
                    m.starts);
  }
};

template <>
struct FieldsOf<policy::PartSuspicion> {
  static auto Tie(auto& m) { return std::tie(m.part, m.clearances, m.crashes); }
};

template <>
struct FieldsOf<RequestRate> {
  static auto Tie(auto& m) { return std::tie(m.milli_per_second); }
};

template <>
struct FieldsOf<NamedLimit> {
  static auto Tie(auto& m) {
    return std::tie(m.revision, m.limited, m.rate, m.rejection_limit);
  }
};

template <>
struct FieldsOf<UpstreamLimit> {
  static auto Tie(auto& m) { return std::tie(m.id, m.born, m.limit); }
};

template <>
struct FieldsOf<SuspicionsTold> {
  static auto Tie(auto& m) { return std::tie(m.suspicions, m.parts, m.limits); }
};

template <>
struct FieldsOf<GossipMessage> {
  static auto Tie(auto& m) {
    return std::tie(m.from, m.entries, m.announcements, m.beats, m.suspicions,
                    m.in_force);
  }
};

}  // namespace rattanward::protocol
