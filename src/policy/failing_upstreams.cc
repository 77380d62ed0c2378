#include "rattanward/policy/failing_upstreams.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <numeric>

#include "rattanward/policy/rendezvous.h"

namespace rattanward::policy {
namespace {

/// Outcomes that must be known before an upstream counts as failing, and its
/// share of failures from which it does.
constexpr std::uint64_t kMinOutcomesMilli = 5000;
constexpr double kFailingShare = 0.5;
/// An upstream recovers below this share. The sums hold about one request that
/// ended lately, somewhat decayed, even if trials are rare.
constexpr double kRecoveredShare = 1.0 / 3;
constexpr std::uint64_t kMinTrialsMilli = 900;
/// The share without one standard deviation of the failures must be above this,
/// so that a few failures by chance among few requests don't suffice.
constexpr double kCertainShare = 0.35;
/// An upstream counts as failing only if it fails this many times as often as
/// the best quarter of the service's upstreams.
constexpr double kTimesReference = 2;
constexpr std::size_t kReferencePart = 4;

/// Share of failures over the best quarter of the reachable upstreams.
double ReferenceShare(const std::vector<RecentOutcomes>& upstreams,
                      const std::vector<std::size_t>& worst_first) {
  std::vector<std::size_t> reachable;
  std::copy_if(worst_first.begin(), worst_first.end(),
               std::back_inserter(reachable),
               [&](std::size_t i) { return upstreams[i].reachable; });
  RecentOutcomes best;
  const std::size_t worse =
      reachable.size() * (kReferencePart - 1) / kReferencePart;
  for (std::size_t k = worse; k < reachable.size(); ++k) {
    best.success_milli += upstreams[reachable[k]].success_milli;
    best.failure_milli += upstreams[reachable[k]].failure_milli;
  }
  return best.failure_share();
}

/// Share of failures that is hardly due to chance.
double CertainShare(const RecentOutcomes& one) {
  constexpr double kMilliPerRequest = 1000;
  const double failures =
      static_cast<double>(one.failure_milli) / kMilliPerRequest;
  const double total =
      static_cast<double>(one.total_milli()) / kMilliPerRequest;
  return total > 0 ? (failures - std::sqrt(failures)) / total : 0;
}

bool Fails(const RecentOutcomes& one, double reference) {
  if (one.failing) {
    const bool recovered = one.total_milli() >= kMinTrialsMilli &&
                           one.failure_share() < kRecoveredShare;
    return !recovered && one.failure_share() >= kTimesReference * reference;
  }
  return one.total_milli() >= kMinOutcomesMilli &&
         one.failure_share() >= kFailingShare &&
         CertainShare(one) >=
             std::max(kCertainShare, kTimesReference * reference);
}

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

std::vector<bool> FailingUpstreams(
    const std::vector<RecentOutcomes>& upstreams) {
  std::vector<std::size_t> worst_first(upstreams.size());
  std::iota(worst_first.begin(), worst_first.end(), 0);
  std::stable_sort(worst_first.begin(), worst_first.end(),
                   [&](std::size_t a, std::size_t b) {
                     return upstreams[a].failure_share() >
                            upstreams[b].failure_share();
                   });
  const double reference = ReferenceShare(upstreams, worst_first);
  auto reachable = static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(),
                    [](const RecentOutcomes& one) { return one.reachable; }));
  std::size_t left = upstreams.size() / 2;
  std::vector<bool> failing(upstreams.size(), false);
  for (const std::size_t i : worst_first) {
    const bool last_one = upstreams[i].reachable && reachable <= 1;
    if (left == 0 || last_one || !Fails(upstreams[i], reference)) {
      continue;
    }
    failing[i] = true;
    --left;
    reachable -= upstreams[i].reachable ? 1 : 0;
  }
  return failing;
}

/// The clocks of the entries differ, so turns are drawn: each second, one entry
/// has a turn on average.
bool FailingTrials::Due(std::uint64_t upstream_hash, std::uint64_t entry_hash,
                        std::size_t entries, bool repeatable,
                        TimePoint now) const {
  const std::int64_t second = SecondOf(now);
  if (second == last_second_) {
    return false;
  }
  const std::uint64_t turn = RendezvousWeight(
      upstream_hash,
      RendezvousWeight(entry_hash, static_cast<std::uint64_t>(second)));
  if (turn % std::max<std::size_t>(entries, 1) != 0) {
    return false;
  }
  constexpr Duration kForRepeatable = std::chrono::milliseconds(500);
  const Duration into_second =
      now.time_since_epoch() - std::chrono::seconds(second);
  return repeatable || into_second >= kForRepeatable;
}

void FailingTrials::RecordSend(TimePoint now) { last_second_ = SecondOf(now); }

}  // namespace rattanward::policy
