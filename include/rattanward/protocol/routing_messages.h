#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/text_difference.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/limit_share.h"
#include "rattanward/policy/part_quarantine.h"
#include "rattanward/policy/service_demand.h"
#include "rattanward/protocol/codec.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::protocol {

/// @brief A request that was running where an upstream seems to have crashed.
struct CrashWitness {
  /// Hash of path, account and body.
  std::uint64_t fingerprint = 0;
  UpstreamId upstream;
  /// Start of the upstream that crashed.
  std::uint64_t born = 0;

  friend auto operator<=>(const CrashWitness&, const CrashWitness&) = default;
};

/// @brief Number of requests of a client account.
struct UsageCount {
  ClientAccountId account;
  std::uint64_t requests = 0;

  friend bool operator==(const UsageCount&, const UsageCount&) = default;
};

/// @brief Requests that began to run in a window, as one entry counted them.
struct UsageWindow {
  std::uint64_t window = 0;
  /// Whether the entry expects no further counts for the window.
  bool complete = false;
  std::vector<UsageCount> counts;

  friend bool operator==(const UsageWindow&, const UsageWindow&) = default;
};

/// @brief Entry to every control VM: once a period, and at once after news.
struct EntryReport {
  ProcessId process;
  FailureDomain failure_domain;
  /// Grows with each start of the process.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// Version of the routes that it runs; 0 until it has one.
  ConfigVersion routing;
  /// Number of the newest InstancePush of the receiver that it heeds.
  std::uint64_t push_heeded = 0;
  /// Where entries of its failure domain reach it.
  Endpoint peer_endpoint;
  std::vector<CrashWitness> witnesses;
  /// Changes that no control VM has confirmed yet; see PartQuarantine.
  std::vector<policy::PartSuspicion> suspicions;
  /// Upstreams that told this entry lately that they are leaving, and the
  /// starts of those that control told it as departed.
  std::vector<membership::InstanceStart> leaving;
  /// Limits that upstreams told this entry lately.
  std::vector<UpstreamLimit> limits;
  /// Witnesses that other evidence has cleared; see CrashMemory.
  std::vector<CrashWitness> cleared;
  /// Counts of the windows that are not stored yet as far as the entry knows;
  /// each report repeats them whole.
  std::vector<UsageWindow> usage;
  /// What runs and waits at this entry, by service.
  std::vector<policy::ServiceDemand> demand;

  friend bool operator==(const EntryReport&, const EntryReport&) = default;
};

/// @brief An entry that others may talk to.
struct EntryPeer {
  ProcessId process;
  FailureDomain failure_domain;
  Endpoint endpoint;

  friend bool operator==(const EntryPeer&, const EntryPeer&) = default;
};

/// @brief Control VM to entry, in answer to each EntryReport.
struct ControlReport {
  /// Set only by a leader that a quorum has confirmed within its lease.
  bool leader = false;
  /// Newest version of the routes that is committed there.
  ConfigVersion committed;
  /// Every control VM that this one knows.
  std::vector<Endpoint> control;
  /// Entries that were heard here lately and are talked to directly, the asking
  /// one included: all of them, or those of its failure domain.
  std::vector<EntryPeer> entries;
  /// Number of all entries that were heard here lately.
  std::uint32_t entry_count = 0;
  /// Entries of other failure domains that pass on what they are told there;
  /// empty where all entries are talked to.
  std::vector<Endpoint> relays;
  /// Shares of the asking entry in the limits that upstreams named.
  std::vector<policy::LimitShare> limit_shares;
  /// Time since this control VM started, from which it knows which upstreams
  /// there were.
  std::uint64_t history_ms = 0;
  /// Place of the asking entry among the live ones, and their number; 0 of 0
  /// while not all may have been heard.
  std::uint32_t entry_index = 0;
  std::uint32_t indexed_entries = 0;
  /// Wall clock of this control VM, in microseconds since the Unix epoch; 0
  /// unless it takes usage counts.
  std::uint64_t wall_us = 0;
  /// Newest usage window that is stored there; 0 if there is none.
  std::uint64_t usage_stored = 0;
  /// Length of a usage window, in microseconds; 0 unless it takes usage counts.
  std::uint64_t usage_window_us = 0;

  friend bool operator==(const ControlReport&, const ControlReport&) = default;
};

/// @brief Control VM to entry: newer routes, whole or as a difference.
struct RoutingPush {
  ConfigVersion version;
  /// Version that the difference starts from; 0 if the text is whole.
  ConfigVersion base;
  /// Empty where there is a base.
  std::string text;
  TextDifference difference;

  friend bool operator==(const RoutingPush&, const RoutingPush&) = default;
};

/// @brief Control VM to the leader, as a call: the operator's routes.
struct RoutesDeclare {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const RoutesDeclare&, const RoutesDeclare&) = default;
};

/// @brief Answer to RoutesDeclare, once the routes are acknowledged or refused.
struct RoutesDeclared {
  /// 0 is success; else the ErrorCode.
  int error = 0;
  std::string message;

  friend bool operator==(const RoutesDeclared&,
                         const RoutesDeclared&) = default;
};

/// @brief Changed records, to entries and between control VMs.
struct InstancePush {
  /// Grows with each push of the sender; 0 where none is awaited.
  std::uint64_t number = 0;
  std::vector<membership::InstanceRecord> records;
  /// Upstreams that departed with a start that the sender doesn't know: the
  /// latest one that the receiver knows is gone.
  std::vector<UpstreamId> departed;

  friend bool operator==(const InstancePush&, const InstancePush&) = default;
};

/// @brief Answer of a control VM to an InstancePush that was sent as a call:
/// whether the upstreams that left, as far as it knows, are on its disk.
struct DeparturesKept {
  bool kept = false;
  /// Whether those with an unknown start are, too.
  bool ids_kept = false;

  friend bool operator==(const DeparturesKept&,
                         const DeparturesKept&) = default;
};

/// @brief Between control VMs: signs of life without news.
struct InstanceBeats {
  std::vector<membership::InstanceBeat> beats;

  friend bool operator==(const InstanceBeats&, const InstanceBeats&) = default;
};

/// @brief Control VM to entries and other control VMs: crashes to remember, and
/// what is known against parts of prompts.
struct CrashesTold {
  std::vector<CrashWitness> witnesses;
  std::vector<policy::PartSuspicion> suspicions;
  /// Witnesses that other evidence has cleared.
  std::vector<CrashWitness> cleared;

  friend bool operator==(const CrashesTold&, const CrashesTold&) = default;
};

template <>
struct FieldsOf<CrashWitness> {
  static auto Tie(auto& m) {
    return std::tie(m.fingerprint, m.upstream, m.born);
  }
};

template <>
struct FieldsOf<membership::InstanceStart> {
  static auto Tie(auto& m) { return std::tie(m.id, m.born); }
};

template <>
struct FieldsOf<UsageCount> {
  static auto Tie(auto& m) { return std::tie(m.account, m.requests); }
};

template <>
struct FieldsOf<UsageWindow> {
  static auto Tie(auto& m) { return std::tie(m.window, m.complete, m.counts); }
};

template <>
struct FieldsOf<EntryReport> {
  static auto Tie(auto& m) {
    return std::tie(m.process, m.failure_domain, m.incarnation, m.sequence,
                    m.routing, m.push_heeded, m.peer_endpoint, m.witnesses,
                    m.suspicions, m.leaving, m.limits, m.cleared, m.usage,
                    m.demand);
  }
};

template <>
struct FieldsOf<policy::ServiceDemand> {
  static auto Tie(auto& m) {
    return std::tie(m.service, m.running, m.waiting, m.prompt_tokens_per_s,
                    m.reserved_tokens, m.read_tokens_per_s);
  }
};

template <>
struct FieldsOf<EntryPeer> {
  static auto Tie(auto& m) {
    return std::tie(m.process, m.failure_domain, m.endpoint);
  }
};

template <>
struct FieldsOf<policy::LimitShare> {
  static auto Tie(auto& m) { return std::tie(m.upstream, m.born, m.holders); }
};

template <>
struct FieldsOf<ControlReport> {
  static auto Tie(auto& m) {
    return std::tie(m.leader, m.committed, m.control, m.entries, m.entry_count,
                    m.relays, m.limit_shares, m.history_ms, m.entry_index,
                    m.indexed_entries, m.wall_us, m.usage_stored,
                    m.usage_window_us);
  }
};

template <>
struct FieldsOf<TextPart> {
  static auto Tie(auto& m) { return std::tie(m.from, m.copied, m.own); }
};

template <>
struct FieldsOf<TextDifference> {
  static auto Tie(auto& m) { return std::tie(m.parts, m.hash); }
};

template <>
struct FieldsOf<RoutingPush> {
  static auto Tie(auto& m) {
    return std::tie(m.version, m.base, m.text, m.difference);
  }
};

template <>
struct FieldsOf<RoutesDeclare> {
  static auto Tie(auto& m) { return std::tie(m.version, m.text); }
};

template <>
struct FieldsOf<RoutesDeclared> {
  static auto Tie(auto& m) { return std::tie(m.error, m.message); }
};

template <>
struct FieldsOf<membership::InstanceStamp> {
  static auto Tie(auto& m) { return std::tie(m.born, m.sequence); }
};

template <>
struct FieldsOf<membership::InstanceRecord> {
  static auto Tie(auto& m) {
    return std::tie(m.id, m.stamp, m.service, m.endpoint, m.failure_domain,
                    m.version, m.slots, m.state, m.silent, m.leaving, m.limit,
                    m.beats_ahead, m.spot, m.leaves_in, m.replaced, m.takeover);
  }
};

template <>
struct FieldsOf<membership::Takeover> {
  static auto Tie(auto& m) { return std::tie(m.owner, m.reported); }
};

template <>
struct FieldsOf<membership::AddressOwner> {
  static auto Tie(auto& m) { return std::tie(m.service, m.born); }
};

template <>
struct FieldsOf<membership::InstanceBeat> {
  static auto Tie(auto& m) { return std::tie(m.id, m.stamp); }
};

template <>
struct FieldsOf<InstancePush> {
  static auto Tie(auto& m) { return std::tie(m.number, m.records, m.departed); }
};

template <>
struct FieldsOf<DeparturesKept> {
  static auto Tie(auto& m) { return std::tie(m.kept, m.ids_kept); }
};

template <>
struct FieldsOf<InstanceBeats> {
  static auto Tie(auto& m) { return std::tie(m.beats); }
};

template <>
struct FieldsOf<CrashesTold> {
  static auto Tie(auto& m) {
    return std::tie(m.witnesses, m.suspicions, m.cleared);
  }
};

}  // namespace rattanward::protocol
