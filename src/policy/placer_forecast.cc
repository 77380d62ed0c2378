#include <algorithm>
#include <cmath>

#include "rattanward/policy/placer.h"

namespace rattanward::policy {

void Placer::RecordReading(const UpstreamId& id, const PlacementCharge& charge,
                           TimePoint now) {
  const auto found = instances_.find(id);
  if (found != instances_.end() && charge.reads_alone) {
    reading_rates_[found->second.record.service].Record(
        charge.pending_prefill_tokens, now - charge.sent_at, now);
  }
}

double Placer::ReadingTokensPerMs(const ServiceName& service,
                                  TimePoint now) const {
  const auto found = reading_rates_.find(service);
  return found == reading_rates_.end() ? ReadingRate::kInitialTokensPerMs
                                       : found->second.TokensPerMs(now);
}

std::optional<Duration> Placer::ExpectedFirstEvent(
    const PlacementRequest& request, const std::set<UpstreamId>& excluded,
    TimePoint now) const {
  const auto service = services_.find(request.service);
  if (service == services_.end() || !service->second.declared.engine) {
    return std::nullopt;
  }
  std::optional<double> fewest;
  for (const Instance* instance : service->second.instances) {
    if (!IsUsable(*instance, now) || instance->failing ||
        !HasPermittedVersion(instance->record, request) ||
        excluded.count(instance->record.id) > 0) {
      continue;
    }
    const double tokens =
        ReadingTokens(*instance, TokensAhead(*instance, request, now));
    fewest = std::min(fewest.value_or(tokens), tokens);
  }
  if (!fewest) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::milli> time(
      *fewest / ReadingTokensPerMs(request.service, now));
  return std::chrono::duration_cast<Duration>(time);
}

/// Tokens that an engine reads before the first event of a request.
double Placer::TokensAhead(const Instance& instance,
                           const PlacementRequest& request,
                           TimePoint now) const {
  return static_cast<double>(TotalLoad(instance, now).pending_prefill_tokens) +
         UncachedTokens(instance, request);
}

}  // namespace rattanward::policy
