#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::membership {

/// @brief Times that entries and control agree on.
struct LeaseTimes {
  /// How long a confirmation lets an entry take new work, counted from the
  /// moment that the confirmed heartbeat or probe was sent.
  Duration lease{std::chrono::milliseconds(2000)};
  /// Added by control before it counts an entry's lease as over.
  Duration margin{std::chrono::milliseconds(500)};
  /// Age of the oldest message that a connection may still deliver.
  Duration max_delay{std::chrono::milliseconds(2000)};

  friend bool operator==(const LeaseTimes&, const LeaseTimes&) = default;
};

/// @brief Settings of the gate of one entry.
struct ConfigGateOptions {
  LeaseTimes times;
  FailureDomain failure_domain;
  /// Entries that belong to this failure domain, this one included. Changed
  /// by one at a time, so that any two majorities still meet.
  std::size_t domain_entries = 1;
};

/// @brief Whether an entry may take new work, and why not.
enum class GateState : std::uint8_t {
  kServing,
  /// No configuration was received, or it was never confirmed.
  kNoConfiguration,
  /// A newer configuration is required and not yet received.
  kBehind,
  /// Neither control nor enough peers were heard within the lease.
  kIsolated,
};

/// @brief Decides which configuration an entry runs and whether it may take
/// new work under it.
/// @note Pure; docs/design/configuration-gate.md has the rule and why it
/// holds together with AcceptanceRule on the control side.
class ConfigGate {
 public:
  /// @param started When the process started.
  ConfigGate(ConfigGateOptions options, TimePoint started);

  /// @brief Notes that the entry runs this version from now on.
  /// @return False if the version is not newer than the present one.
  bool Apply(ConfigVersion version, TimePoint now);

  /// @brief Version that the entry runs; 0 until it has one.
  ConfigVersion in_force() const { return in_force_; }

  /// @brief Version below which no new work is taken.
  ConfigVersion required() const { return required_; }

  /// @brief Number of the heartbeat that is being sent to all control VMs;
  /// it reports in_force().
  std::uint64_t NextHeartbeat(TimePoint now);

  /// @brief Takes a control VM's answer to a heartbeat.
  void HandleControlStatus(const protocol::ControlStatus& status,
                           TimePoint now);

  /// @brief Whether peers are to be probed, since control was not heard for
  /// half a lease.
  bool ShouldProbePeers(TimePoint now) const;

  /// @brief Number of the probe that is being sent to peers.
  std::uint64_t NextProbe(TimePoint now);

  /// @brief Takes a peer's answer to a probe.
  void HandleProbeAnswer(const ProcessId& peer,
                         const protocol::PeerProbeAnswer& answer,
                         TimePoint now);

  /// @brief Answers the probe of a peer.
  protocol::PeerProbeAnswer Answer(const protocol::PeerProbe& probe) const;

  /// @brief Whether new work may start now.
  /// @note To be asked right before the first byte goes to an upstream, with
  /// the time of that moment: this is how a frozen process notices on waking.
  GateState State(TimePoint now) const;

  /// @brief State as a status.
  /// Errors: kNoConfiguration; kIsolated when isolated or behind.
  Status MayStart(TimePoint now) const;

 private:
  /// Send times of numbered messages, the newest only.
  class SendTimes {
   public:
    std::uint64_t Next(TimePoint now);
    /// The send time, or null for a number that is too old or unknown.
    const TimePoint* Find(std::uint64_t number) const;

   private:
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, TimePoint> sent_;
  };
  struct PeerRecord {
    FailureDomain failure_domain;
    bool admitted = false;
    /// When the newest probe was sent that the peer answered.
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
  /// Set once control or the peers have confirmed the version.
  bool admitted_ = false;
  bool has_confirmed_heartbeat_ = false;
  /// When the newest heartbeat was sent that a confirmed leader answered.
  TimePoint confirmed_heartbeat_sent_at_;
  SendTimes heartbeats_;
  SendTimes probes_;
  std::map<ProcessId, PeerRecord> peers_;
};

}  // namespace rattanward::membership
