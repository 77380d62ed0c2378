#include "rattanward/membership/config_gate.h"

#include <algorithm>
#include <utility>

namespace rattanward::membership {
namespace {

/// Sent messages whose answers still count.
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

void ConfigGate::ControlAnswered(const protocol::ControlStatus& status,
                                 TimePoint now) {
  required_ = std::max(required_, status.accepted);
  const TimePoint* sent = heartbeats_.Find(status.heartbeat);
  if (!status.leader || status.term < term_ || sent == nullptr) {
    return;
  }
  term_ = status.term;
  control_confirmed_ =
      control_heard_ ? std::max(control_confirmed_, *sent) : *sent;
  control_heard_ = true;
  UpdateAdmission(now);
}

bool ConfigGate::NeedsPeers(TimePoint now) const {
  return !control_heard_ || now - control_confirmed_ > options_.times.lease / 2;
}

std::uint64_t ConfigGate::NextProbe(TimePoint now) { return probes_.Next(now); }

void ConfigGate::PeerAnswered(const ProcessId& peer,
                              const protocol::PeerProbeAnswer& answer,
                              TimePoint now) {
  required_ = std::max({required_, answer.in_force, answer.required});
  const TimePoint* sent = probes_.Find(answer.sequence);
  if (sent == nullptr) {
    return;
  }
  const auto [found, added] = peers_.emplace(peer, PeerRecord{});
  PeerRecord& record = found->second;
  if (added || *sent >= record.probed) {
    record.failure_domain = answer.failure_domain;
    record.admitted = answer.admitted;
    record.probed = *sent;
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
  return ControlLease(now) || PeerLease(now) ? GateState::kServing
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
                   "this entry hears neither control nor enough peers");
}

bool ConfigGate::ControlLease(TimePoint now) const {
  return control_heard_ && now - control_confirmed_ < options_.times.lease;
}

/// A majority of the failure domain, this entry counted. An entry that is
/// alone in its domain needs any other entry instead.
bool ConfigGate::PeerLease(TimePoint now) const {
  if (options_.domain_entries <= 1) {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      return now - peer.second.probed < options_.times.lease;
    });
  }
  return Vouching(now, started_) + 1 >= Majority();
}

/// Peers of the domain that vouch for their version within the lease.
std::size_t ConfigGate::Vouching(TimePoint now, TimePoint probed_after) const {
  const auto count =
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return peer.second.admitted &&
               peer.second.failure_domain == options_.failure_domain &&
               peer.second.probed >= probed_after &&
               now - peer.second.probed < options_.times.lease;
      });
  return static_cast<std::size_t>(count);
}

/// A restarted entry has forgotten what it confirmed before, so it does not
/// count itself, and waits until control has given up its former life.
void ConfigGate::UpdateAdmission(TimePoint now) {
  if (admitted_ || in_force_ == ConfigVersion{} || in_force_ < required_) {
    return;
  }
  const LeaseTimes& times = options_.times;
  const TimePoint settled =
      started_ + times.lease + times.margin + times.max_delay;
  admitted_ = ControlLease(now) || Vouching(now, settled) >= Majority();
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
