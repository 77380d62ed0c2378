#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/routing.h"

namespace rattanward::policy {

/// @brief Upstreams of one kind in a failure domain.
struct UpstreamPool {
  /// Ready, and heard from.
  std::uint32_t live = 0;
  /// As `live` once the outstanding order is carried out.
  std::uint32_t expected = 0;
  /// Whether the last order was refused a short time ago.
  bool refused = false;

  friend bool operator==(const UpstreamPool&, const UpstreamPool&) = default;
};

/// @brief Upstreams of a service in a failure domain.
struct DomainPools {
  FailureDomain domain;
  UpstreamPool regular;
  UpstreamPool spot;

  friend bool operator==(const DomainPools&, const DomainPools&) = default;
};

/// @brief Why a number of upstreams is ordered.
enum class ScalingReason : std::uint8_t {
  /// The demand, its trend or its recent peak needs more.
  kDemand,
  /// Standing capacity for bursts, which can't be foreseen.
  kStanding,
  /// Those that may be reclaimed are too many in one failure domain.
  kSpread,
  /// Regular upstreams carry half of the mean demand.
  kRegularShare,
  /// Spot upstreams have replaced regular ones.
  kReplaced,
  /// More than wanted for a while.
  kExcess,
  /// The declared bounds.
  kBounds,
  /// An operator fixed the number.
  kPinned,
};

/// @brief The reason as a word for logs.
std::string_view ToString(ScalingReason reason);

/// @brief A number of upstreams to be ordered.
struct ScalingTarget {
  FailureDomain domain;
  bool spot = false;
  std::uint32_t from = 0;
  std::uint32_t count = 0;
  ScalingReason reason = ScalingReason::kDemand;

  friend bool operator==(const ScalingTarget&, const ScalingTarget&) = default;
};

/// @brief Numbers of upstreams of one service by failure domain and kind, while
/// they are being planned.
/// @note Pure. Failure domains are ordered by price.
class ScalingLayout {
 public:
  struct Row {
    DomainPools pools;
    double price = 1;
    /// Numbers planned, with the reasons of the last changes.
    std::uint32_t regular = 0;
    std::uint32_t spot = 0;
    ScalingReason regular_reason = ScalingReason::kDemand;
    ScalingReason spot_reason = ScalingReason::kDemand;
  };

  ScalingLayout(const ScalingTerms& terms, std::vector<DomainPools> pools);

  bool spot_offered() const { return terms_.spot_price.has_value(); }
  std::vector<Row>& rows() { return rows_; }
  const std::vector<Row>& rows() const { return rows_; }

  /// @brief Upstreams that the declared bounds allow in all.
  std::uint32_t MostUpstreams() const;
  /// @brief Upstreams that are there and stay.
  std::uint32_t Present() const;
  std::uint32_t RegularLive() const;
  std::uint32_t RegularExpected() const;
  std::uint32_t SpotExpected() const;
  /// @brief Spot upstreams that can be had beside the regular ones.
  std::uint32_t SpotRoom() const;
  std::uint32_t RegularPlanned() const;
  std::uint32_t Planned() const;

  /// @brief Adds regular upstreams in the cheapest failure domains that have
  /// room, no domain having more than its share. Spot upstreams aren't given
  /// up for them, since capacity would be missing until they have booted.
  void AddRegular(std::uint32_t count, ScalingReason reason);

  /// @brief Removes regular upstreams in the most expensive failure domains, no
  /// other domain coming to have more than its share.
  void RemoveRegular(std::uint32_t count, ScalingReason reason);

  /// @brief Spreads spot upstreams evenly over the failure domains.
  /// @return Numbers in the order of rows(). Their sum is smaller than `count`
  /// where there is no room.
  std::vector<std::uint32_t> SpreadSpot(std::uint32_t count) const;

  /// @brief Applies the declared bounds, and then the numbers that an operator
  /// has fixed.
  void ApplyTerms();

  /// @brief Numbers planned that differ from those expected; additions first.
  /// Nothing is added where it was refused.
  std::vector<ScalingTarget> Targets() const;

 private:
  std::uint32_t ShareLimit(std::uint32_t total) const;
  Row* RowToGrow(std::uint32_t limit);
  Row* RowToShrink();
  std::uint32_t SpotCap(const Row& row) const;
  void ApplyBounds(Row* row) const;

  const ScalingTerms& terms_;
  std::vector<Row> rows_;
};

}  // namespace rattanward::policy
