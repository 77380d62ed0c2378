#include "rattanward/policy/scaling_layout.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>
#include <utility>

namespace rattanward::policy {
namespace {

using Row = ScalingLayout::Row;

/// Largest part of the regular upstreams in one failure domain because of its
/// price, where there are at least kMinDomainsForShare. Traffic between failure
/// domains costs too.
constexpr double kMaxDomainShare = 0.4;
constexpr std::size_t kMinDomainsForShare = 3;

template <class Fn>
std::uint32_t Sum(const std::vector<Row>& rows, Fn value) {
  return std::accumulate(
      rows.begin(), rows.end(), std::uint32_t{0},
      [&](std::uint32_t sum, const Row& row) { return sum + value(row); });
}

std::uint32_t Rest(std::uint32_t whole, std::uint32_t part) {
  return whole - std::min(whole, part);
}

}  // namespace

std::string_view ToString(ScalingReason reason) {
  switch (reason) {
    case ScalingReason::kDemand:
      return "demand";
    case ScalingReason::kStanding:
      return "standing-capacity";
    case ScalingReason::kSpread:
      return "spread";
    case ScalingReason::kRegularShare:
      return "regular-share";
    case ScalingReason::kReplaced:
      return "replaced-by-spot";
    case ScalingReason::kExcess:
      return "excess";
    case ScalingReason::kBounds:
      return "bounds";
    case ScalingReason::kPinned:
      return "pinned";
  }
  return "unknown";
}

ScalingLayout::ScalingLayout(const ScalingTerms& terms,
                             std::vector<DomainPools> pools)
    : terms_(terms) {
  for (DomainPools& pool : pools) {
    Row row;
    const auto price = terms.prices.find(pool.domain);
    row.price = price == terms.prices.end() ? 1 : price->second;
    row.regular = pool.regular.expected;
    row.spot = pool.spot.expected;
    row.pools = std::move(pool);
    rows_.push_back(std::move(row));
  }
  std::sort(rows_.begin(), rows_.end(), [](const Row& a, const Row& b) {
    return std::tie(a.price, a.pools.domain) <
           std::tie(b.price, b.pools.domain);
  });
}

std::uint32_t ScalingLayout::MostUpstreams() const {
  return Sum(rows_, [this](const Row&) { return terms_.max; });
}

std::uint32_t ScalingLayout::Present() const {
  return Sum(rows_, [](const Row& row) {
    const auto& [domain, regular, spot] = row.pools;
    return std::min(regular.live, regular.expected) +
           std::min(spot.live, spot.expected);
  });
}

std::uint32_t ScalingLayout::RegularLive() const {
  return Sum(rows_, [](const Row& row) { return row.pools.regular.live; });
}

std::uint32_t ScalingLayout::RegularExpected() const {
  return Sum(rows_, [](const Row& row) { return row.pools.regular.expected; });
}

std::uint32_t ScalingLayout::SpotExpected() const {
  return Sum(rows_, [](const Row& row) { return row.pools.spot.expected; });
}

std::uint32_t ScalingLayout::SpotRoom() const {
  return Sum(rows_, [this](const Row& row) { return SpotCap(row); });
}

std::uint32_t ScalingLayout::RegularPlanned() const {
  return Sum(rows_, [](const Row& row) { return row.regular; });
}

std::uint32_t ScalingLayout::Planned() const {
  return Sum(rows_, [](const Row& row) { return row.regular + row.spot; });
}

std::uint32_t ScalingLayout::ShareLimit(std::uint32_t total) const {
  if (rows_.size() < kMinDomainsForShare) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return static_cast<std::uint32_t>(kMaxDomainShare * total);
}

/// The cheapest failure domain below the limit; or else the one with the fewest
/// regular upstreams. Null if none has room.
ScalingLayout::Row* ScalingLayout::RowToGrow(std::uint32_t limit) {
  Row* fewest = nullptr;
  for (Row& row : rows_) {
    if (row.pools.regular.refused || row.regular + row.spot >= terms_.max) {
      continue;
    }
    if (row.regular < limit) {
      return &row;
    }
    if (fewest == nullptr || row.regular < fewest->regular) {
      fewest = &row;
    }
  }
  return fewest;
}

void ScalingLayout::AddRegular(std::uint32_t count, ScalingReason reason) {
  const std::uint32_t limit = ShareLimit(RegularPlanned() + count);
  for (std::uint32_t i = 0; i < count; ++i) {
    Row* row = RowToGrow(limit);
    if (row == nullptr) {
      return;
    }
    ++row->regular;
    row->regular_reason = reason;
  }
}

/// The most expensive failure domain without which no other has more than its
/// share; or else the one with the most regular upstreams.
ScalingLayout::Row* ScalingLayout::RowToShrink() {
  const std::uint32_t limit = ShareLimit(Rest(RegularPlanned(), 1));
  Row* most = &*std::max_element(
      rows_.begin(), rows_.end(),
      [](const Row& a, const Row& b) { return a.regular < b.regular; });
  if (most->regular > limit) {
    return most;
  }
  const auto found =
      std::find_if(rows_.rbegin(), rows_.rend(),
                   [](const Row& row) { return row.regular > 0; });
  return found == rows_.rend() ? nullptr : &*found;
}

void ScalingLayout::RemoveRegular(std::uint32_t count, ScalingReason reason) {
  for (std::uint32_t i = 0; i < count && !rows_.empty(); ++i) {
    Row* row = RowToShrink();
    if (row == nullptr || row->regular == 0) {
      return;
    }
    --row->regular;
    row->regular_reason = reason;
  }
}

/// Regular upstreams that are given back take room until they have left.
std::uint32_t ScalingLayout::SpotCap(const Row& row) const {
  const std::uint32_t beside =
      Rest(terms_.max, std::max(row.pools.regular.expected, row.regular));
  const UpstreamPool& spot = row.pools.spot;
  return spot.refused ? std::min(spot.expected, beside) : beside;
}

std::vector<std::uint32_t> ScalingLayout::SpreadSpot(
    std::uint32_t count) const {
  std::vector<std::uint32_t> spread(rows_.size(), 0);
  for (std::uint32_t i = 0; i < count; ++i) {
    std::size_t best = rows_.size();
    for (std::size_t k = 0; k < rows_.size(); ++k) {
      const bool has_room = spread[k] < SpotCap(rows_[k]);
      if (has_room && (best == rows_.size() || spread[k] < spread[best])) {
        best = k;
      }
    }
    if (best == rows_.size()) {
      break;
    }
    ++spread[best];
  }
  return spread;
}

void ScalingLayout::ApplyBounds(Row* row) const {
  if (row->regular > terms_.max) {
    row->regular = terms_.max;
    row->regular_reason = ScalingReason::kBounds;
  }
  if (row->regular + row->spot > terms_.max) {
    row->spot = terms_.max - row->regular;
    row->spot_reason = ScalingReason::kBounds;
  }
  const std::uint32_t missing = Rest(terms_.min, row->regular + row->spot);
  if (missing == 0) {
    return;
  }
  if (spot_offered() && !row->pools.spot.refused) {
    row->spot += missing;
    row->spot_reason = ScalingReason::kBounds;
  } else {
    row->regular += missing;
    row->regular_reason = ScalingReason::kBounds;
  }
}

void ScalingLayout::ApplyTerms() {
  for (Row& row : rows_) {
    ApplyBounds(&row);
    const auto pinned = terms_.pinned.find(row.pools.domain);
    if (pinned != terms_.pinned.end()) {
      row.regular = pinned->second.regular;
      row.spot = pinned->second.spot;
      row.regular_reason = ScalingReason::kPinned;
      row.spot_reason = ScalingReason::kPinned;
    }
  }
}

std::vector<ScalingTarget> ScalingLayout::Targets() const {
  std::vector<ScalingTarget> targets;
  const auto add = [&targets](const Row& row, bool spot, std::uint32_t count,
                              ScalingReason reason) {
    const UpstreamPool& pool = spot ? row.pools.spot : row.pools.regular;
    if (count < pool.expected || (count > pool.expected && !pool.refused)) {
      targets.push_back({row.pools.domain, spot, pool.expected, count, reason});
    }
  };
  for (const Row& row : rows_) {
    add(row, true, row.spot, row.spot_reason);
    add(row, false, row.regular, row.regular_reason);
  }
  std::stable_partition(
      targets.begin(), targets.end(),
      [](const ScalingTarget& target) { return target.count > target.from; });
  return targets;
}

}  // namespace rattanward::policy
