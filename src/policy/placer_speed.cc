#include <algorithm>
#include <cmath>
#include <utility>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {
namespace {

/// Own paces that are kept for the load reports.
constexpr std::size_t kMaxOwnPaces = 256;
/// Speeds change slowly, and homes move with them.
constexpr Duration kUpdatePeriod = std::chrono::milliseconds(500);
/// Updates in a row that must find another speed class. Paces vary with the
/// load and with single streams.
constexpr std::uint32_t kConfirmations = 6;
/// Share of its slots above which an engine's paces don't count. Many of its
/// requests may still be read, and then slow no stream.
constexpr double kMaxLoad = 0.75;

std::uint64_t MicrosecondsSinceOrigin(TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch())
          .count());
}

}  // namespace

/// The sequence follows the clock, so that it also grows over a restart of this
/// entry, which the others may not notice.
void Placer::RecordPace(const UpstreamId& id, Duration event_time,
                        TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  const auto service = services_.find(instance.record.service);
  if (service == services_.end() || !service->second.declared.engine) {
    return;
  }
  const std::uint32_t running = TotalLoad(instance, now).running;
  if (running > kMaxLoad * instance.record.slots) {
    return;
  }
  const double token_us = UnloadedTokenUs(
      event_time, service->second.declared.engine->tokens_per_event, running,
      instance.record.slots);
  instance.pace.Record(token_us, now);
  last_pace_ = std::max(last_pace_ + 1, MicrosecondsSinceOrigin(now));
  own_paces_.emplace_back(
      now, PaceSample{last_pace_, id,
                      static_cast<std::uint32_t>(std::llround(token_us))});
  if (own_paces_.size() > kMaxOwnPaces) {
    own_paces_.pop_front();
  }
}

std::vector<PaceSample> Placer::PacesSince(TimePoint since) const {
  std::vector<PaceSample> paces;
  for (const auto& [at, sample] : own_paces_) {
    if (at >= since) {
      paces.push_back(sample);
    }
  }
  return paces;
}

/// Counts the samples that earlier reports of the entry didn't have.
void Placer::AddPaces(const EntryLoad& load, TimePoint now,
                      RemoteEntry* remote) {
  const std::uint64_t counted = remote->last_pace;
  for (const PaceSample& sample : load.paces) {
    const auto found = instances_.find(sample.upstream);
    if (sample.sequence > counted && found != instances_.end()) {
      found->second.pace.Record(sample.token_us, now);
    }
    remote->last_pace = std::max(remote->last_pace, sample.sequence);
  }
}

void Placer::UpdateSpeeds(TimePoint now) {
  if (!options_.uses_speeds || now - speeds_updated_at_ < kUpdatePeriod) {
    return;
  }
  speeds_updated_at_ = now;
  bool changed = false;
  for (const auto& [name, service] : services_) {
    if (service.declared.engine) {
      changed = UpdateSpeeds(service) || changed;
    }
  }
  if (changed) {
    IndexInstances();
  }
}

/// Returns whether the speed class of any engine has changed.
bool Placer::UpdateSpeeds(const Service& service) {
  std::vector<EnginePace> paces;
  paces.reserve(service.instances.size());
  for (const Instance* instance : service.instances) {
    paces.push_back({instance->pace.token_us(), instance->speed});
  }
  const std::vector<double> speeds = LearnedSpeeds(paces);
  bool changed = false;
  for (std::size_t i = 0; i < speeds.size(); ++i) {
    Instance& instance = instances_.at(service.instances[i]->record.id);
    const bool differs = ClassOf(speeds[i]) != ClassOf(instance.speed);
    instance.class_confirmations =
        differs ? instance.class_confirmations + 1 : 0;
    if (differs && instance.class_confirmations < kConfirmations) {
      continue;
    }
    if (differs) {
      speed_changes_.push_back({instance.record.id, speeds[i]});
      changed = true;
    }
    instance.speed = speeds[i];
  }
  return changed;
}

double Placer::SpeedOf(const UpstreamId& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? 1 : found->second.speed;
}

std::vector<SpeedChange> Placer::TakeSpeedChanges() {
  return std::exchange(speed_changes_, {});
}

std::size_t Placer::EnginesSlow() const {
  return static_cast<std::size_t>(
      std::count_if(instances_.begin(), instances_.end(), [](const auto& item) {
        return ClassOf(item.second.speed) == SpeedClass::kSlow;
      }));
}

}  // namespace rattanward::policy
