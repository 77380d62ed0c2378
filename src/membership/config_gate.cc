#include "rattanward/membership/config_gate.h"

#include <algorithm>
#include <utility>

namespace rattanward::membership {
namespace {

/// Number of sent messages whose answers are still accepted.
constexpr std::size_t kMaxSendTimes = 64;

}  // namespace

ConfigGate::ConfigGate(ConfigGateOptions options, TimePoint started)
    : options_(std::move(options)), started_(started) {}

bool ConfigGate::Apply(ConfigVersion version, TimePoint now) {
  if (version <= in_force_) {
    return false;
  }
  in_force_ = version;
  UpdateAdmission(now);
  return true;
}

std::uint64_t ConfigGate::NextHeartbeat(TimePoint now) {
  return heartbeats_.Next(now);
}

void ConfigGate::HandleControlStatus(const protocol::ControlStatus& status,
                                     TimePoint now) {
  required_ = std::max(required_, status.accepted);
  const TimePoint* sent = heartbeats_.Find(status.heartbeat);
  if (!status.leader || status.term < term_ || sent == nullptr) {
    return;
  }
  term_ = status.term;
  confirmed_heartbeat_sent_at_ =
      has_confirmed_heartbeat_ ? std::max(confirmed_heartbeat_sent_at_, *sent)
                               : *sent;
  has_confirmed_heartbeat_ = true;
  UpdateAdmission(now);
}

bool ConfigGate::ShouldProbePeers(TimePoint now) const {
  return !has_confirmed_heartbeat_ ||
         now - confirmed_heartbeat_sent_at_ > options_.times.lease / 2;
}

std::uint64_t ConfigGate::NextProbe(TimePoint now) { return probes_.Next(now); }

void ConfigGate::HandleProbeAnswer(const ProcessId& peer,
                                   const protocol::PeerProbeAnswer& answer,
                                   TimePoint now) {
  required_ = std::max({required_, answer.in_force, answer.required});
  const TimePoint* sent = probes_.Find(answer.sequence);
  if (sent == nullptr) {
    return;
  }
  const auto [found, added] = peers_.emplace(peer, PeerRecord{});
  PeerRecord& record = found->second;
  if (added || *sent >= record.probe_sent_at) {
    record.failure_domain = answer.failure_domain;
    record.admitted = answer.admitted;
    record.probe_sent_at = *sent;
  }
  UpdateAdmission(now);
}

protocol::PeerProbeAnswer ConfigGate::Answer(
    const protocol::PeerProbe& probe) const {
  return {probe.sequence, admitted_, in_force_, required_,
          options_.failure_domain};
}

GateState ConfigGate::State(TimePoint now) const {
  if (in_force_ == ConfigVersion{} || !admitted_) {
    return GateState::kNoConfiguration;
  }
  if (in_force_ < required_) {
    return GateState::kBehind;
  }
  return HasControlLease(now) || HasPeerLease(now) ? GateState::kServing
                                                   : GateState::kIsolated;
}

Status ConfigGate::MayStart(TimePoint now) const {
  switch (State(now)) {
    case GateState::kServing:
      return outcome::success();
    case GateState::kNoConfiguration:
      return MakeError(ErrorCode::kNoConfiguration,
                       "this entry has no confirmed configuration yet");
    case GateState::kBehind:
      return MakeError(ErrorCode::kIsolated,
                       "this entry waits for configuration version " +
                           std::to_string(required_.value));
    case GateState::kIsolated:
      break;
  }
  return MakeError(ErrorCode::kIsolated,
                   "this entry has no confirmation from control or from "
                   "enough peers within the lease");
}

bool ConfigGate::HasControlLease(TimePoint now) const {
  return has_confirmed_heartbeat_ &&
         now - confirmed_heartbeat_sent_at_ < options_.times.lease;
}

/// Whether a majority of the failure domain, including this entry, has
/// confirmed within the lease. An entry that is alone in its domain needs an
/// answer from any one other entry instead.
bool ConfigGate::HasPeerLease(TimePoint now) const {
  if (options_.domain_entries <= 1) {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      return now - peer.second.probe_sent_at < options_.times.lease;
    });
  }
  return CountAdmittedPeers(now, started_) + 1 >= Majority();
}

/// Admitted peers of this failure domain whose newest answered probe was sent
/// within the lease and not before `sent_after`.
std::size_t ConfigGate::CountAdmittedPeers(TimePoint now,
                                           TimePoint sent_after) const {
  const auto count =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return peer.second.admitted &&
               peer.second.failure_domain == options_.failure_domain &&
               peer.second.probe_sent_at >= sent_after &&
               now - peer.second.probe_sent_at < options_.times.lease;
      });
  return static_cast<std::size_t>(count);
}

/// Admits the entry once control or enough peers have confirmed its version. A
/// restarted entry has lost the versions that its previous process confirmed.
/// It therefore does not count itself, and counts only probes that were sent
/// after control has certainly treated the previous process's lease as expired.
void ConfigGate::UpdateAdmission(TimePoint now) {
  if (admitted_ || in_force_ == ConfigVersion{} || in_force_ < required_) {
    return;
  }
  const LeaseTimes& times = options_.times;
  const TimePoint previous_lease_expired =
      started_ + times.lease + times.margin + times.max_delay;
  admitted_ = HasControlLease(now) ||
              CountAdmittedPeers(now, previous_lease_expired) >= Majority();
}

std::uint64_t ConfigGate::SendTimes::Next(TimePoint now) {
  sent_.emplace(++last_, now);
  if (sent_.size() > kMaxSendTimes) {
    sent_.erase(sent_.begin());
  }
  return last_;
}

const TimePoint* ConfigGate::SendTimes::Find(std::uint64_t number) const {
  const auto found = sent_.find(number);
  return found == sent_.end() ? nullptr : &found->second;
}

}  // namespace rattanward::membership
