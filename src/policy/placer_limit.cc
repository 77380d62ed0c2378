#include <algorithm>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {

void Placer::SetLimit(const UpstreamId& id,
                      const std::optional<RequestRate>& limit, TimePoint now) {
  const auto found = instances_.find(id);
  if (found != instances_.end() && found->second.limit != limit) {
    if (!found->second.limit) {
      found->second.share = PacedShare();
    }
    found->second.limit = limit;
    UpdateShareRate(&found->second, now);
  }
}

void Placer::SetLimitShares(const std::vector<LimitShare>& shares,
                            TimePoint confirmed_at, TimePoint now) {
  std::map<UpstreamId, LimitShare> by_upstream;
  for (const LimitShare& share : shares) {
    by_upstream[share.upstream] = share;
  }
  shares_confirmed_at_ = std::max(shares_confirmed_at_, confirmed_at);
  shares_confirmed_ = now - shares_confirmed_at_ < kLimitShareLease;
  for (auto& [id, instance] : instances_) {
    const auto share = by_upstream.find(id);
    const bool held = share != by_upstream.end() &&
                      share->second.born == instance.record.stamp.born;
    instance.limit_holders = held ? share->second.holders : 0;
    UpdateShareRate(&instance, now);
  }
}

void Placer::AgeLimitShares(TimePoint now) {
  UpdateRoomParts(now);
  if (!shares_confirmed_ || now - shares_confirmed_at_ < kLimitShareLease) {
    return;
  }
  shares_confirmed_ = false;
  for (auto& [id, instance] : instances_) {
    UpdateShareRate(&instance, now);
  }
}

void Placer::UpdateShareRate(Instance* instance, TimePoint now) const {
  if (instance->limit) {
    instance->share.SetRate(
        ShareRate(*instance->limit, instance->limit_holders, shares_confirmed_),
        now);
  }
}

std::optional<TimePoint> Placer::HeldBackUntil(
    const ServiceName& service, const std::set<UpstreamId>& excluded,
    TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  const bool has_alternative = HasAlternative(service, excluded);
  std::optional<TimePoint> earliest;
  for (const Instance* instance : found->second.instances) {
    if (has_alternative && excluded.count(instance->record.id) > 0) {
      continue;
    }
    const TimePoint until = HeldBackUntil(*instance, now);
    if (until <= now) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(until), until);
  }
  return earliest;
}

/// Time until which an upstream's back-off or limit allows no request of this
/// entry; TimePoint::max() if it is not known.
TimePoint Placer::HeldBackUntil(const Instance& instance, TimePoint now) {
  TimePoint until = instance.backoff.end();
  if (instance.limit) {
    until = std::max(
        until, instance.share.AllowedFrom(now).value_or(TimePoint::max()));
  }
  return until;
}

std::size_t Placer::UpstreamsWithLimit() const {
  return static_cast<std::size_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [](const auto& item) { return item.second.limit.has_value(); }));
}

}  // namespace rattanward::policy
