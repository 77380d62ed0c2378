#include "rattanward/policy/limit_share.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Holders for each request a second, and in any case.
constexpr double kHoldersPerRequest = 2;
constexpr double kFixedHolders = 4;
/// Rate at which the withdrawal of even the lowest limit is noticed.
constexpr double kSlowestPerSecond = 0.05;
/// Requests that were not started for longer than this are lost.
constexpr double kBurstSeconds = 0.25;
constexpr double kRoundingError = 1e-6;

}  // namespace

std::size_t MaxLimitHolders(RequestRate limit) {
  return static_cast<std::size_t>(kHoldersPerRequest * limit.per_second() +
                                  kFixedHolders);
}

std::vector<ProcessId> ChooseLimitHolders(const UpstreamId& upstream,
                                          RequestRate limit,
                                          std::vector<ProcessId> entries) {
  const std::size_t holders = std::min(entries.size(), MaxLimitHolders(limit));
  if (holders == entries.size()) {
    return entries;
  }
  const std::uint64_t key = StableHash(upstream.str());
  std::vector<std::pair<std::uint64_t, ProcessId>> weighted;
  weighted.reserve(entries.size());
  for (ProcessId& entry : entries) {
    const std::uint64_t weight = RendezvousWeight(key, StableHash(entry.str()));
    weighted.emplace_back(weight, std::move(entry));
  }
  std::nth_element(weighted.begin(),
                   weighted.begin() + static_cast<std::ptrdiff_t>(holders),
                   weighted.end(), std::greater<>());
  std::vector<ProcessId> chosen;
  chosen.reserve(holders);
  for (std::size_t i = 0; i < holders; ++i) {
    chosen.push_back(std::move(weighted[i].second));
  }
  return chosen;
}

double ShareRate(RequestRate limit, std::uint32_t holders, bool confirmed) {
  if (holders == 0) {
    return 0;
  }
  const double rate = std::max(limit.per_second(), kSlowestPerSecond) / holders;
  return confirmed ? rate : rate / 2;
}

void PacedShare::SetRate(double per_second, TimePoint now) {
  available_ = Available(now);
  updated_at_ = now;
  per_second_ = per_second;
  available_ = std::min(available_, Capacity());
}

bool PacedShare::Allows(TimePoint now) const {
  return per_second_ > 0 && Available(now) >= 1 - kRoundingError;
}

void PacedShare::Take(TimePoint now) {
  available_ = Available(now) - 1;
  updated_at_ = now;
}

std::optional<TimePoint> PacedShare::AllowedFrom(TimePoint now) const {
  if (per_second_ <= 0) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, 1 - Available(now));
  return now + std::chrono::ceil<Duration>(
                   std::chrono::duration<double>(missing / per_second_));
}

double PacedShare::Capacity() const {
  return std::max(1.0, per_second_ * kBurstSeconds);
}

double PacedShare::Available(TimePoint now) const {
  if (now <= updated_at_) {
    return available_;
  }
  const std::chrono::duration<double> passed = now - updated_at_;
  return std::min(Capacity(), available_ + per_second_ * passed.count());
}

}  // namespace rattanward::policy
