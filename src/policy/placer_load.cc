#include <algorithm>
#include <cmath>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {
namespace {

/// Parts of each upstream that are kept for the load reports of this entry.
constexpr std::size_t kMaxPlacedParts = 256;
/// Prompt parts tracked for each upstream. All are dropped when it is reached.
constexpr std::size_t kMaxCachedParts = 4096;
/// Half-life of the recorded outcomes.
constexpr Duration kOutcomeHalfLife{std::chrono::seconds(3)};
/// The same while an upstream counts as failing. It gets about one trial a
/// second then, which would have to outweigh all failures before: with 3 s, 65
/// failures hold a sound upstream back for 14 s.
constexpr Duration kFailingHalfLife{std::chrono::seconds(1)};
/// Assumed rate at which an engine reads prompts beside many running streams.
constexpr double kBusyPrefillTokensPerMs = 25;

double DecayFactor(std::chrono::duration<double> passed, Duration half_life) {
  const std::chrono::duration<double> seconds = half_life;
  return std::exp2(-passed.count() / seconds.count());
}

std::uint64_t Decayed(std::uint64_t milli, double factor) {
  return static_cast<std::uint64_t>(static_cast<double>(milli) * factor);
}

}  // namespace

void Placer::SetEntryLoad(const EntryLoad& load, TimePoint now) {
  if (!origin_) {
    origin_ = now;
  }
  RemoteEntry& remote = remote_entries_[load.entry];
  if (!load.partial) {
    SubtractRemoteLoad(remote);
    remote.upstreams.clear();
  }
  for (const UpstreamId& id : load.rejecting) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      RecordRejection(&found->second, now);
    }
  }
  remote.valid_until = std::max(remote.valid_until, now + load.valid_for);
  AddRemoteLoad(load, now, &remote);
  AddPaces(load, now, &remote);
  if (options_.use_remote_placements) {
    for (const auto& [id, placed_parts] : load.placed_parts) {
      const auto found = instances_.find(id);
      if (found != instances_.end()) {
        for (const PromptPart& part : placed_parts) {
          AddCachedPart(&found->second, part);
        }
      }
    }
  }
  std::erase_if(remote_entries_, [&](const auto& item) {
    const bool over = now >= item.second.valid_until;
    if (over) {
      SubtractRemoteLoad(item.second);
    }
    return over;
  });
}

double Placer::MsSinceOrigin(TimePoint now) const {
  const std::chrono::duration<double, std::milli> passed =
      now - origin_.value_or(now);
  return passed.count();
}

/// Replaces the loads of the upstreams that the report names.
void Placer::AddRemoteLoad(const EntryLoad& load, TimePoint now,
                           RemoteEntry* remote) {
  for (const auto& [id, reported] : load.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      ReplaceRemoteLoad(&found->second, {reported, MsSinceOrigin(now)},
                        &remote->upstreams[id]);
    }
  }
}

void Placer::ReplaceRemoteLoad(Instance* instance, const RemoteLoad& load,
                               RemoteLoad* known) {
  instance->remote_load -= known->load;
  instance->remote_load += load.load;
  instance->remote_token_ms += load.token_ms() - known->token_ms();
  *known = load;
}

/// Subtracts the report of another entry from the remote loads.
void Placer::SubtractRemoteLoad(const RemoteEntry& remote) {
  for (const auto& [id, known] : remote.upstreams) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      RemoteLoad subtracted = known;
      ReplaceRemoteLoad(&found->second, RemoteLoad(), &subtracted);
    }
  }
}

/// Drops all reports about an upstream that restarted or was removed: it no
/// longer has that load.
void Placer::DropRemoteLoadsAt(const UpstreamId& id) {
  for (auto& [entry, remote] : remote_entries_) {
    remote.upstreams.erase(id);
  }
}

/// Sums the loads of all entries. The engine goes on reading after a report, so
/// its tokens are reduced by what it reads within the mean age of the reports.
UpstreamLoad Placer::TotalLoad(const Instance& instance, TimePoint now) const {
  UpstreamLoad total = instance.remote_load;
  const auto reported = static_cast<double>(total.pending_prefill_tokens);
  if (reported > 0) {
    const double age_ms =
        MsSinceOrigin(now) - instance.remote_token_ms / reported;
    const double left = reported - kBusyPrefillTokensPerMs * instance.speed *
                                       std::max(0.0, age_ms);
    total.pending_prefill_tokens =
        static_cast<std::uint64_t>(std::max(0.0, left));
  }
  total += instance.local_load;
  return total;
}

void Placer::UpdateSendRate(TimePoint now) {
  constexpr double kAveragingMs = 2000;
  const std::chrono::duration<double, std::milli> passed =
      now - outcomes_decayed_at_;
  if (passed.count() <= 0) {
    return;
  }
  const double weight = std::min(1.0, passed.count() / kAveragingMs);
  sent_tokens_per_ms_ +=
      weight * (sent_tokens_ / passed.count() - sent_tokens_per_ms_);
  sent_tokens_ = 0;
}

void Placer::AddCachedPart(Instance* instance, const PromptPart& part) {
  if (instance->cached_parts.size() >= kMaxCachedParts) {
    instance->cached_parts.clear();
    instance->cached_tokens = 0;
  }
  if (instance->cached_parts.insert(part.id).second) {
    instance->cached_tokens += part.tokens;
  }
}

PlacementCharge Placer::RecordSend(const UpstreamId& id,
                                   const PlacementRequest& request,
                                   TimePoint now) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return {};
  }
  Instance& instance = found->second;
  const std::uint32_t uncached = UncachedTokens(instance, request);
  const bool tight = request.tight_pauses && Disturbance(uncached) < 1;
  const PlacementCharge charge{
      uncached,
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens,
      tight ? 1U : 0U,
      TotalLoad(instance, now).pending_prefill_tokens == 0,
      now,
      instance.failing};
  sent_tokens_ += uncached;
  if (instance.limit) {
    instance.share.Take(now);
  }
  if (instance.failing) {
    instance.trials.RecordSend(now);
  }
  if (uncached > options_.urgent_tokens) {
    urgent_.insert(id);
  }
  ++instance.local_load.running;
  instance.local_load.pending_prefill_tokens += charge.pending_prefill_tokens;
  instance.local_load.reserved_tokens += charge.reserved_tokens;
  instance.local_load.tight_streams += charge.tight_streams;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    AddCachedPart(&instance, request.prompt[i]);
    instance.placed_parts.emplace_back(now, request.prompt[i]);
  }
  while (instance.placed_parts.size() > kMaxPlacedParts) {
    instance.placed_parts.pop_front();
  }
  return charge;
}

void Placer::RecordFirstEvent(const UpstreamId& id, PlacementCharge* charge) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& local_load = found->second.local_load;
    local_load.pending_prefill_tokens -= std::min(
        local_load.pending_prefill_tokens, charge->pending_prefill_tokens);
  }
  charge->pending_prefill_tokens = 0;
}

void Placer::ReleaseCharge(const UpstreamId& id,
                           const PlacementCharge& charge) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return;
  }
  UpstreamLoad& local_load = found->second.local_load;
  local_load.running -= std::min(local_load.running, 1U);
  local_load.tight_streams -=
      std::min(local_load.tight_streams, charge.tight_streams);
  local_load.reserved_tokens -=
      std::min(local_load.reserved_tokens, charge.reserved_tokens);
  local_load.pending_prefill_tokens -= std::min(
      local_load.pending_prefill_tokens, charge.pending_prefill_tokens);
  if (local_load.running == 0) {
    local_load.pending_prefill_tokens = 0;
    local_load.reserved_tokens = 0;
    local_load.tight_streams = 0;
  }
}

void Placer::RecordOutcome(const UpstreamId& id, bool well) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    UpstreamLoad& local_load = found->second.local_load;
    (well ? local_load.success_milli : local_load.failure_milli) +=
        UpstreamLoad::kMilliPerOutcome;
  }
}

void Placer::DecayOutcomes(TimePoint now) {
  const std::chrono::duration<double> passed = now - outcomes_decayed_at_;
  const double factor = DecayFactor(passed, kOutcomeHalfLife);
  const double factor_of_failing = DecayFactor(passed, kFailingHalfLife);
  outcomes_decayed_at_ = now;
  for (auto& [id, instance] : instances_) {
    const double own_factor = instance.failing ? factor_of_failing : factor;
    instance.local_load.success_milli =
        Decayed(instance.local_load.success_milli, own_factor);
    instance.local_load.failure_milli =
        Decayed(instance.local_load.failure_milli, own_factor);
  }
}

UpstreamLoad Placer::LoadOf(const UpstreamId& id, TimePoint now) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? UpstreamLoad()
                                   : TotalLoad(found->second, now);
}

EntryLoad Placer::OwnLoad(const ProcessId& self, TimePoint placed_since,
                          TimePoint now) {
  UpdateSendRate(now);
  DecayOutcomes(now);
  UpdateFailing();
  UpdateSpeeds(now);
  EntryLoad load;
  load.paces = PacesSince(placed_since);
  load.entry = self;
  for (const auto& [id, instance] : instances_) {
    if (instance.local_load.running > 0 || MustTellOutcomes(instance)) {
      load.upstreams[id] = instance.local_load;
    }
    for (auto it = instance.placed_parts.rbegin();
         it != instance.placed_parts.rend() && it->first >= placed_since;
         ++it) {
      load.placed_parts[id].push_back(it->second);
    }
  }
  return load;
}

EntryLoad Placer::TakeUrgentLoad(const ProcessId& self) {
  EntryLoad load;
  load.entry = self;
  load.partial = true;
  for (const UpstreamId& id : urgent_) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
      load.upstreams[id] = found->second.local_load;
    }
  }
  urgent_.clear();
  load.rejecting.assign(rejecting_.begin(), rejecting_.end());
  rejecting_.clear();
  return load;
}

}  // namespace rattanward::policy
