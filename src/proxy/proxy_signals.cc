#include <cmath>
#include <string>

#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

}  // namespace

void Proxy::OnLeaving(const Exchange& exchange) {
  OnRelayedLeaving({exchange.upstream(), exchange.upstream_start()});
}

void Proxy::OnRelayedLeaving(const membership::InstanceStart& upstream) {
  if (!directory_.MarkLeaving(upstream)) {
    return;
  }
  hooks_.events({EventId::kUpstreamLeaving, {{"upstream", upstream.id.str()}}});
  ApplyDirectoryChanges();
  RecordPlannedExits({upstream});
  hooks_.leaving(upstream);
}

std::vector<membership::InstanceStart> Proxy::RecordDeparted(
    const std::vector<UpstreamId>& ids) {
  std::vector<membership::InstanceStart> departed;
  for (const UpstreamId& id : ids) {
    const membership::InstanceRecord* record = directory_.Find(id);
    if (record == nullptr) {
      continue;
    }
    departed.push_back({id, record->stamp.born});
    directory_.Deregister(id, std::nullopt, MonotonicNow());
  }
  ApplyDirectoryChanges();
  RecordPlannedExits(departed);
  return departed;
}

void Proxy::OnBackoff(const Exchange& exchange, Duration backoff_for) {
  if (StartOf(exchange.upstream()) != exchange.upstream_start()) {
    return;
  }
  const Duration counted =
      placer_.RecordBackoff(exchange.upstream(), backoff_for, MonotonicNow());
  Log(EventId::kUpstreamBackoff, exchange,
      {{"backoff_ms", MillisecondText(counted)}});
}

void Proxy::OnLimit(const Exchange& exchange, const NamedTerms& named) {
  const std::optional<UpstreamLimit> changed = directory_.ReadLimit(
      exchange.upstream(), exchange.upstream_start(), named);
  if (!changed) {
    return;
  }
  Log(EventId::kUpstreamLimit, exchange,
      {{"limited", changed->limit.limited ? "1" : "0"},
       {"milli_per_second",
        std::to_string(changed->limit.rate.milli_per_second)},
       {"rejection_limit", std::to_string(changed->limit.rejection_limit)},
       {"revision", std::to_string(changed->limit.revision)}});
  ApplyDirectoryChanges();
  hooks_.limit(*changed);
}

void Proxy::LogFailingChanges() {
  constexpr double kMilliPerRequest = policy::UpstreamLoad::kMilliPerOutcome;
  const auto requests = [](std::uint64_t milli) {
    return std::to_string(
        std::llround(static_cast<double>(milli) / kMilliPerRequest));
  };
  for (const policy::FailingChange& change : placer_.TakeFailingChanges()) {
    hooks_.events({change.failing ? EventId::kUpstreamFailing
                                  : EventId::kUpstreamRecovered,
                   {{"upstream", change.upstream.str()},
                    {"successes", requests(change.success_milli)},
                    {"failures", requests(change.failure_milli)}}});
  }
}

void Proxy::OnShortestGap(const Exchange& exchange, Duration event_time) {
  if (StartOf(exchange.upstream()) == exchange.upstream_start()) {
    placer_.RecordPace(exchange.upstream(), event_time, MonotonicNow());
  }
}

void Proxy::LogSpeedChanges() {
  constexpr double kPermille = 1000;
  for (const policy::SpeedChange& change : placer_.TakeSpeedChanges()) {
    hooks_.events({EventId::kEngineSpeed,
                   {{"upstream", change.upstream.str()},
                    {"permille",
                     std::to_string(std::llround(change.speed * kPermille))}}});
  }
}

void Proxy::SetRoomShare(const policy::RoomShare& share,
                         TimePoint confirmed_at) {
  placer_.SetRoomShare(share, confirmed_at, MonotonicNow());
  room_share_ = share;
  room_share_confirmed_at_ = confirmed_at;
}

void Proxy::SetLimitShares(const std::vector<policy::LimitShare>& shares,
                           TimePoint confirmed_at) {
  placer_.SetLimitShares(shares, confirmed_at, MonotonicNow());
  ScheduleDrain();
}

}  // namespace rattanward::proxy
