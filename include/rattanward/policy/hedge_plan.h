#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"

namespace rattanward::policy {

/// @brief Requests whose response times are comparable.
struct HedgeKind {
  std::string route;
  ServiceName service;

  friend auto operator<=>(const HedgeKind&, const HedgeKind&) = default;
};

/// @brief Room of a service, as far as an entry knows it.
struct ServiceRoom {
  std::uint64_t slots = 0;
  std::uint64_t running = 0;
  /// Whether any request waits for the service at this entry.
  bool waiting = false;

  friend bool operator==(const ServiceRoom&, const ServiceRoom&) = default;
};

/// @brief Whether a hedge may start.
enum class HedgeVerdict : std::uint8_t { kStart, kNoBudget, kNoRoom };

/// @brief Decides when a second attempt of a slow request starts, within a
/// budget of extra work.
/// @note Performs no I/O and reads no clock. Answers the load of a service with
/// spare room, a few of whose answers are much slower than the others. Work is
/// counted in one unit for each service: tokens at engines, microseconds at
/// plain services. Each entry keeps to the share of its own work, so the sum
/// over all entries keeps to it without coordination.
class HedgePlan {
 public:
  /// Kinds of requests that are told apart, at most.
  static constexpr std::size_t kMaxKinds = 1024;

  /// @brief Records a request that was sent to a service.
  /// @param permille Granted share of extra work, in thousandths.
  void RecordRequest(const ServiceName& service, std::uint64_t work,
                     std::uint32_t permille);

  /// @brief Records how long a request took to its answer, or to the first
  /// event of a stream.
  void RecordTime(const HedgeKind& kind, Duration took, TimePoint now);

  /// @brief Time after which a request without an answer counts as slow: half
  /// of its target, or what 95 of 100 of its kind took lately if that is
  /// longer.
  Duration Delay(const HedgeKind& kind, Duration target, TimePoint now) const;

  /// @brief Usual time of a kind; 0 if it isn't known.
  Duration UsualTime(const HedgeKind& kind, TimePoint now) const;

  /// @brief Decides on a hedge, and takes its work from the budget if it may
  /// start.
  HedgeVerdict Decide(const ServiceName& service, std::uint64_t work,
                      const ServiceRoom& room);

  /// @brief Takes work from the budget that a hedge caused beyond what was
  /// expected when it started.
  void RecordExcess(const ServiceName& service, std::uint64_t work);

  /// @brief Work that hedges of a service may cause now.
  std::int64_t Budget(const ServiceName& service) const;

 private:
  std::map<ServiceName, std::int64_t> budgets_;
  std::map<HedgeKind, QuantileWindow> times_us_;
};

}  // namespace rattanward::policy
