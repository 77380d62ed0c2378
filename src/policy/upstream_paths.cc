#include "rattanward/policy/upstream_paths.h"

#include <algorithm>
#include <utility>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Time until a lost path is probed again. Doubles with each further failure,
/// up to kMaxDoublings times.
constexpr Duration kFirstProbeDelay{std::chrono::milliseconds(300)};
constexpr std::uint32_t kMaxDoublings = 2;
/// Times that the silence doubles after which a path found in order is probed.
constexpr std::uint32_t kMaxSilenceDoublings = 5;
constexpr std::size_t kFirstSample = 4;
/// An upstream heard within this time needs no probe.
constexpr Duration kRecentlyHeard{std::chrono::milliseconds(300)};

}  // namespace

void UpstreamPaths::RecordHeard(const UpstreamId& id, TimePoint now) {
  Path& path = paths_[id];
  path.heard_at = now;
  path.needless_probes = 0;
}

bool UpstreamPaths::RecordReached(const UpstreamId& id, TimePoint now) {
  Path& path = paths_[id];
  EndProbe(&path, true);
  path.heard_at = now;
  path.failures = 0;
  if (!std::exchange(path.lost, false)) {
    ++path.needless_probes;
    return false;
  }
  // What came back for one upstream may be back for all.
  for (auto& [other, lost_path] : paths_) {
    lost_path.probe_at = std::min(lost_path.probe_at, now);
  }
  return true;
}

bool UpstreamPaths::RecordLost(const UpstreamId& id, TimePoint now) {
  Path& path = paths_[id];
  EndProbe(&path, false);
  path.probe_at =
      now + kFirstProbeDelay * (1U << std::min(path.failures, kMaxDoublings));
  ++path.failures;
  if (std::exchange(path.lost, true)) {
    return false;
  }
  sample_size_ = std::max(sample_size_, kFirstSample);
  return true;
}

void UpstreamPaths::Forget(const UpstreamId& id) {
  const auto found = paths_.find(id);
  if (found != paths_.end()) {
    EndProbe(&found->second, true);
    paths_.erase(found);
  }
}

bool UpstreamPaths::IsLost(const UpstreamId& id) const {
  const auto found = paths_.find(id);
  return found != paths_.end() && found->second.lost;
}

std::size_t UpstreamPaths::lost() const {
  return static_cast<std::size_t>(
      std::count_if(paths_.begin(), paths_.end(),
                    [](const auto& item) { return item.second.lost; }));
}

void UpstreamPaths::StartProbe(const UpstreamId& id,
                               std::vector<UpstreamId>* due) {
  paths_[id].probing = true;
  ++probing_;
  due->push_back(id);
}

void UpstreamPaths::EndProbe(Path* path, bool reached) {
  if (std::exchange(path->probing, false)) {
    --probing_;
  }
  if (std::exchange(path->sampled, false)) {
    --sample_probing_;
    ++(reached ? sample_reached_ : sample_lost_);
  }
}

std::vector<UpstreamId> UpstreamPaths::TakeDueProbes(
    const std::vector<WaitingUpstream>& waiting,
    const std::vector<UpstreamId>& known, TimePoint now) {
  std::vector<UpstreamId> due;
  TakeSilent(waiting, now, &due);
  TakeSample(known, now, &due);
  TakeLost(now, &due);
  return due;
}

void UpstreamPaths::TakeLost(TimePoint now, std::vector<UpstreamId>* due) {
  for (auto& [id, path] : paths_) {
    if (probing_ >= kMaxProbes) {
      return;
    }
    if (path.lost && !path.probing && now >= path.probe_at) {
      StartProbe(id, due);
    }
  }
}

void UpstreamPaths::TakeSilent(const std::vector<WaitingUpstream>& waiting,
                               TimePoint now, std::vector<UpstreamId>* due) {
  for (const WaitingUpstream& upstream : waiting) {
    const Path& path = paths_[upstream.id];
    const TimePoint since = std::max(upstream.silent_since, path.heard_at);
    const Duration tolerated =
        upstream.usual_silence *
        (1U << std::min(path.needless_probes, kMaxSilenceDoublings));
    if (!path.lost && !path.probing && now - since >= tolerated &&
        probing_ < kMaxProbes) {
      StartProbe(upstream.id, due);
    }
  }
}

/// Probes a sample of the upstreams whose path is not known to be there.
void UpstreamPaths::TakeSample(const std::vector<UpstreamId>& known,
                               TimePoint now, std::vector<UpstreamId>* due) {
  if (sample_size_ == 0 || sample_probing_ > 0) {
    return;
  }
  if (sample_reached_ > sample_lost_) {
    sample_size_ = 0;
  } else if (sample_lost_ > 0 && sample_reached_ == 0) {
    sample_size_ = std::min(2 * sample_size_, kMaxProbes);
  }
  sample_reached_ = 0;
  sample_lost_ = 0;
  if (sample_size_ == 0) {
    return;
  }
  ++samples_;
  std::vector<std::pair<std::uint64_t, UpstreamId>> candidates;
  for (const UpstreamId& id : known) {
    const Path& path = paths_[id];
    if (!path.lost && !path.probing && now - path.heard_at >= kRecentlyHeard) {
      candidates.emplace_back(RendezvousWeight(samples_, StableHash(id.str())),
                              id);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [weight, id] : candidates) {
    if (sample_probing_ == sample_size_ || probing_ >= kMaxProbes) {
      break;
    }
    StartProbe(id, due);
    paths_[id].sampled = true;
    ++sample_probing_;
  }
  if (sample_probing_ == 0) {
    sample_size_ = 0;
  }
}

}  // namespace rattanward::policy
