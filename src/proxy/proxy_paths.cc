#include <algorithm>
#include <string>
#include <utility>

#include "rattanward/http/reachability.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using membership::InstanceState;

/// Silences that are usual: an engine may be reading a long prompt.
constexpr Duration kUsualEngineSilence{std::chrono::milliseconds(700)};
constexpr Duration kUsualServiceSilence{std::chrono::milliseconds(400)};

}  // namespace

void Proxy::ProbePaths(TimePoint now) {
  std::vector<UpstreamId> known;
  if (paths_.sampling()) {
    known = ReadyUpstreams();
  }
  for (const UpstreamId& id :
       paths_.TakeDueProbes(WaitingUpstreams(), known, now)) {
    const membership::InstanceRecord* record = directory_.Find(id);
    if (record == nullptr || record->state != InstanceState::kReady) {
      paths_.Forget(id);
      placer_.SetPathLost(id, false);
      continue;
    }
    http::CheckReachable(io_, record->endpoint, kProbeTimeout,
                         [this, id, born = record->stamp.born](bool reached) {
                           OnProbed(id, born, reached);
                         });
  }
}

std::vector<UpstreamId> Proxy::ReadyUpstreams() const {
  std::vector<UpstreamId> ready;
  for (const membership::InstanceRecord& record : directory_.All()) {
    if (record.state == InstanceState::kReady) {
      ready.push_back(record.id);
    }
  }
  return ready;
}

std::vector<policy::WaitingUpstream> Proxy::WaitingUpstreams() const {
  std::map<UpstreamId, policy::WaitingUpstream> waiting;
  for (const std::shared_ptr<Exchange>& exchange : exchanges_) {
    if (!exchange->sent_to_upstream()) {
      continue;
    }
    policy::WaitingUpstream& one = waiting[exchange->upstream()];
    one.id = exchange->upstream();
    one.silent_since = std::max(one.silent_since, exchange->last_byte_at());
    one.usual_silence = placer_.HasEngines(exchange->placement().service)
                            ? kUsualEngineSilence
                            : kUsualServiceSilence;
  }
  std::vector<policy::WaitingUpstream> all;
  all.reserve(waiting.size());
  for (const auto& [id, one] : waiting) {
    all.push_back(one);
  }
  return all;
}

void Proxy::OnProbed(const UpstreamId& id, std::uint64_t born, bool reached) {
  const TimePoint now = MonotonicNow();
  const auto let_go = abandoned_.FindAt({id, born}, now);
  if (reached) {
    abandoned_.RecordAlive({id, born}, now);
  } else if (let_go) {
    ConfirmCrash(*let_go, kMaxReachQuestions);
  }
  if (StartOf(id) != born) {
    paths_.Forget(id);
  } else if (reached) {
    MarkPathReached(id);
  } else {
    MarkPathLost(id);
  }
}

void Proxy::MarkPathReached(const UpstreamId& id) {
  if (!paths_.RecordReached(id, MonotonicNow())) {
    return;
  }
  placer_.SetPathLost(id, false);
  hooks_.events({EventId::kPathRestored,
                 {{"upstream", id.str()},
                  {"lost_paths", std::to_string(paths_.lost())}}});
  ScheduleDrain();
}

void Proxy::MarkPathLost(const UpstreamId& id) {
  const TimePoint now = MonotonicNow();
  const bool newly_lost = paths_.RecordLost(id, now);
  placer_.RecordFailure(id, true, now);
  placer_.SetPathLost(id, true);
  pool_.CloseAllIdle(id);
  if (newly_lost) {
    hooks_.events({EventId::kPathLost,
                   {{"upstream", id.str()},
                    {"lost_paths", std::to_string(paths_.lost())}}});
    ProbePaths(now);
  }
  ScheduleDrain();
}

/// Requests that may be sent again don't wait for a path that is lost if
/// another attempt can begin at once. Otherwise their upstream may still
/// answer.
void Proxy::AbandonSilent(TimePoint now) {
  if (paths_.lost() == 0) {
    return;
  }
  const auto exchanges = exchanges_;
  for (const std::shared_ptr<Exchange>& exchange : exchanges) {
    if (exchange->MayAbandonSilent(now) &&
        paths_.IsLost(exchange->upstream()) && MaySendOn(*exchange, now) &&
        TryTakeRetry(*exchange)) {
      exchange->LeaveLostPath();
      FullServices none_known;
      TryPlace(exchange, &none_known);
    }
  }
}

/// Whether a request that an upstream has could be sent to another one, or be
/// relayed, at once.
bool Proxy::MaySendOn(const Exchange& exchange, TimePoint now) {
  policy::PlacementRequest placement = exchange.placement();
  if (!MayStart(exchange) ||
      !CheckNotQuarantined(exchange.routed().fingerprint, placement.prompt)) {
    return false;
  }
  std::set<UpstreamId> excluded = exchange.excluded();
  excluded.insert(exchange.upstream());
  auto versions = VersionsFor(exchange, excluded);
  if (!versions) {
    return false;
  }
  if (placer_.ShouldRelay(placement.service, now)) {
    return !exchange.routed().relayed && ChoosePeer(exchange, now).has_value();
  }
  placement.versions = std::move(versions.value());
  return placer_.Choose(placement, excluded, now).has_value();
}

}  // namespace rattanward::proxy
