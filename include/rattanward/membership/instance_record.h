#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/address_owners.h"

namespace rattanward::membership {

/// @brief Life cycle state that an upstream instance reports of itself, from
/// least to most advanced.
enum class InstanceState : std::uint8_t { kReady, kDraining, kGone };

/// @brief Orders the reports about one instance id: by start of the process,
/// then by sequence within that start.
struct InstanceStamp {
  /// Start of the process, in Unix milliseconds. An id can start again.
  std::uint64_t born = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const InstanceStamp&, const InstanceStamp&) = default;
};

/// @brief Start that took over the address of another one.
struct Takeover {
  AddressOwner owner;
  /// State that the replaced start had reported.
  InstanceState reported = InstanceState::kReady;

  friend bool operator==(const Takeover&, const Takeover&) = default;
};

/// @brief An upstream instance as registered.
struct InstanceRecord {
  UpstreamId id;
  InstanceStamp stamp;
  ServiceName service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  std::string version;
  std::uint32_t slots = 0;
  InstanceState state = InstanceState::kReady;
  /// Set after several missed heartbeats. The instance may have crashed, or may
  /// only be unable to reach control.
  bool silent = false;
  /// The instance told a caller's entry that it is leaving. Holds for this
  /// start, whatever its heartbeats say.
  bool leaving = false;
  /// What the instance named as its limit in its answers to callers' entries.
  NamedLimit limit;
  /// By how much the sequence of the stamp exceeds that of the newest report of
  /// the instance that is known here; beats raise only the former.
  std::uint64_t beats_ahead = 0;
  /// Whether the upstream may be reclaimed.
  bool spot = false;
  /// Time that an upstream which is being reclaimed had left when it said so;
  /// otherwise 0.
  Duration leaves_in{0};
  /// Set for an instance that is gone because a later start took over its
  /// address. It announced nothing, as far as is known.
  bool replaced = false;
  /// With `replaced`: the evidence. Each process judges it by the services that
  /// it knows to be named.
  Takeover takeover;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

/// @brief Sequence of the report that a record's state, service, endpoint and
/// the like are from.
std::uint64_t ReportSequence(const InstanceRecord& record);

/// @brief Whether two records differ at most in the sequences, and in the time
/// that an upstream which is being reclaimed has left. The latter shrinks with
/// each heartbeat and would otherwise be pushed to all entries each time.
bool HasSameContent(const InstanceRecord& a, const InstanceRecord& b);

/// @brief Combines what is known of one start: its newest report and its newest
/// sign of life. A deregistration is final for its start, even if newer records
/// arrived before it.
InstanceRecord Combine(const InstanceRecord& a, const InstanceRecord& b);

/// @brief What the start itself had reported, without the conclusion that
/// another one took over its address.
/// @note A record of a build that names no evidence stays as it is.
InstanceRecord AsReported(InstanceRecord record);

}  // namespace rattanward::membership
