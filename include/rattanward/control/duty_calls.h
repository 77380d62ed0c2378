#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "rattanward/domain/ids.h"

namespace rattanward::control {

/// @brief Singleton duties: calls to the platform that one process at a time
/// may make.
enum class DutyKind : std::uint8_t { kUsageReport, kScaling };

/// @brief What a fenced lease is held for.
struct DutySubject {
  DutyKind kind = DutyKind::kUsageReport;
  /// Scaling: the service and the failure domain. Usage has one subject only.
  ServiceName service;
  FailureDomain failure_domain;

  friend auto operator<=>(const DutySubject&, const DutySubject&) = default;
};

/// @brief Requests of each client account that began to run in one window.
struct UsageReport {
  std::uint64_t window = 0;
  std::map<ClientAccountId, std::uint64_t> counts;

  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// @brief Number of upstreams of one kind that a service is to have in a
/// failure domain.
struct ScalingOrder {
  ServiceName service;
  FailureDomain failure_domain;
  std::uint32_t count = 0;
  /// Whether the order is for upstreams that may be reclaimed.
  bool spot = false;

  friend bool operator==(const ScalingOrder&, const ScalingOrder&) = default;
};

/// @brief Outcome of a call to the platform.
enum class DutyResult : std::uint8_t {
  kAccepted,
  /// A higher fencing token was seen, or no upstream is available.
  kConflict,
  /// The platform or the own budget takes no further call now.
  kThrottled,
  /// No answer; the call may still be executed.
  kUnknown,
  /// This process does not hold the lease; nothing was sent.
  kNotHeld,
};

/// @brief Calls to the platform under fenced leases.
/// @note Control thread only. One call a subject at a time.
class DutyCalls {
 public:
  using Done = std::function<void(DutyResult)>;

  virtual ~DutyCalls() = default;

  /// @brief Whether this process may call on the subject now.
  virtual bool Holds(const DutySubject& subject) const = 0;

  /// @brief Wants the lease of a subject from now on, as long as this process
  /// leads.
  virtual void Want(const DutySubject& subject) = 0;

  virtual void Report(const UsageReport& report, Done done) = 0;
  virtual void Order(const ScalingOrder& order, Done done) = 0;
};

}  // namespace rattanward::control
