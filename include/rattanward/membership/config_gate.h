#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::membership {

/// @brief Lease times, which must be equal on entries and control.
struct LeaseTimes {
  /// How long a confirmation allows an entry to take new work, measured from
  /// the time at which the confirmed heartbeat or probe was sent.
  Duration lease{std::chrono::milliseconds(2000)};
  /// Added to the lease by control before it treats an entry's lease as
  /// expired.
  Duration margin{std::chrono::milliseconds(500)};
  /// Largest age of a message that a connection may still deliver.
  Duration max_delay{std::chrono::milliseconds(2000)};

  friend bool operator==(const LeaseTimes&, const LeaseTimes&) = default;
};

/// @brief Settings of one entry's ConfigGate.
struct ConfigGateOptions {
  LeaseTimes times;
  FailureDomain failure_domain;
  /// Number of entries in this failure domain, including this one. It must
  /// change by one at a time, so that any two majorities overlap.
  std::size_t domain_entries = 1;
};

/// @brief Whether an entry may take new work, and why not.
enum class GateState : std::uint8_t {
  kServing,
  /// This process has received no configuration, or none was confirmed yet.
  kNoConfiguration,
  /// A newer configuration is required but has not been received.
  kBehind,
  /// Neither control nor enough peers have confirmed within the lease.
  kIsolated,
};

/// @brief Decides which configuration version an entry runs and whether the
/// entry may take new work under it.
/// @note Pure: no I/O, and the time is a parameter. AcceptanceRule is the
/// counterpart on control. docs/design/configuration-gate.md states the rule
/// of both sides and why no entry starts work under a version older than an
/// accepted one.
class ConfigGate {
 public:
  /// @param started When the process started.
  ConfigGate(ConfigGateOptions options, TimePoint started);

  /// @brief Sets the version that the entry runs.
  /// @return False if the version is not newer than the current one, which is
  /// then kept.
  bool Apply(ConfigVersion version, TimePoint now);

  /// @brief Version that the entry runs, or 0 if it has none yet.
  ConfigVersion in_force() const { return in_force_; }

  /// @brief Oldest version under which new work may start.
  ConfigVersion required() const { return required_; }

  /// @brief Assigns a number to a heartbeat, which the caller sends now to all
  /// control VMs and which reports in_force().
  std::uint64_t NextHeartbeat(TimePoint now);

  /// @brief Handles a control VM's answer to a heartbeat.
  /// @note Only a confirmed leader of the newest known term renews the lease,
  /// but every answer can raise required().
  void HandleControlStatus(const protocol::ControlStatus& status,
                           TimePoint now);

  /// @brief Whether to probe the peers, because no leader has confirmed a
  /// heartbeat that was sent within the last half lease.
  bool ShouldProbePeers(TimePoint now) const;

  /// @brief Assigns a number to a probe, which the caller sends now to peers.
  std::uint64_t NextProbe(TimePoint now);

  /// @brief Handles a peer's answer to a probe.
  void HandleProbeAnswer(const ProcessId& peer,
                         const protocol::PeerProbeAnswer& answer,
                         TimePoint now);

  /// @brief The answer to a peer's probe.
  protocol::PeerProbeAnswer Answer(const protocol::PeerProbe& probe) const;

  /// @brief Whether new work may start now.
  /// @note Call it directly before the first byte is sent to an upstream, with
  /// the current time. A process that was frozen then finds its lease expired.
  GateState State(TimePoint now) const;

  /// @brief State() as a status.
  /// Errors: kNoConfiguration; kIsolated if isolated or behind.
  Status MayStart(TimePoint now) const;

 private:
  /// Send times of the newest numbered messages.
  class SendTimes {
   public:
    std::uint64_t Next(TimePoint now);
    /// The send time, or null if the number is unknown or no longer kept.
    const TimePoint* Find(std::uint64_t number) const;

   private:
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, TimePoint> sent_;
  };
  struct PeerRecord {
    FailureDomain failure_domain;
    bool admitted = false;
    /// Send time of the newest probe that the peer answered.
    TimePoint probe_sent_at;
  };

  bool HasControlLease(TimePoint now) const;
  bool HasPeerLease(TimePoint now) const;
  std::size_t CountAdmittedPeers(TimePoint now, TimePoint sent_after) const;
  std::size_t Majority() const { return options_.domain_entries / 2 + 1; }
  void UpdateAdmission(TimePoint now);

  ConfigGateOptions options_;
  TimePoint started_;
  ConfigVersion in_force_;
  ConfigVersion required_;
  std::uint64_t term_ = 0;
  /// Set once control or enough peers have confirmed a version since the
  /// process started. Reported to peers in the answers to their probes.
  bool admitted_ = false;
  bool has_confirmed_heartbeat_ = false;
  /// Send time of the newest heartbeat that a confirmed leader answered.
  TimePoint confirmed_heartbeat_sent_at_;
  SendTimes heartbeats_;
  SendTimes probes_;
  std::map<ProcessId, PeerRecord> peers_;
};

}  // namespace rattanward::membership
