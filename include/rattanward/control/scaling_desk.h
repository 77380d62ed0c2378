#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/control/duty_calls.h"
#include "rattanward/control/scaling_orders.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/routing.h"
#include "rattanward/domain/time.h"
#include "rattanward/ledger/state_machine.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/scaling_plan.h"
#include "rattanward/policy/service_demand.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief What the desk learns from the rest of a control VM.
struct ScalingDeskHooks {
  /// Whether this control VM is a confirmed leader.
  std::function<bool()> leads;
  /// The newest committed routes, and how their text is decoded.
  std::function<const ledger::RoutingRecord&()> routing;
  std::function<Result<RoutingDeclaration>(const std::string&)> decode_routing;
  std::function<std::vector<membership::InstanceRecord>()> instances;
  /// Demand at all live entries together.
  std::function<std::vector<policy::ServiceDemand>()> demand;
  port::EventSink events;
};

/// @brief Orders upstreams for the services that declare terms of scaling.
/// @note Every control VM observes, so that a new leader knows the recent
/// demand; only the leader orders. Reads no clock: the time is that of the last
/// tick. Control thread only.
class ScalingDesk {
 public:
  /// Period in which Tick() is to be called.
  static constexpr Duration kPeriod = std::chrono::milliseconds(250);

  /// @param calls Must outlive the desk.
  ScalingDesk(ScalingDeskHooks hooks, DutyCalls& calls);

  /// @brief Observes, and gives the orders that are due if this control VM
  /// leads.
  void Tick(TimePoint now);

  /// @brief Counters and gauges in the text format for scraping.
  std::string ScrapeText() const;

 private:
  struct Service {
    policy::ScalingPlan plan;
    ScalingOrders orders;
    policy::ScalingDecision decision;
    /// Orders that the dry run logged last.
    std::vector<policy::ScalingTarget> logged;
    bool was_short = false;
  };
  struct Counters {
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t throttled = 0;
    std::uint64_t unknown = 0;
    std::uint64_t not_held = 0;
    std::uint64_t dry = 0;
    std::uint64_t routes_not_decoded = 0;
  };

  void UpdateRouting();
  void Observe(const RoutedService& declared,
               const std::vector<membership::InstanceRecord>& records,
               const std::vector<policy::ServiceDemand>& demand);
  void Plan(const RoutedService& declared, Service* service);
  void WantLeases(const RoutedService& declared, const Service& service);
  void LogDryRun(const ServiceName& name, Service* service);
  void LogShortage(const ServiceName& name, Service* service);
  void Order(const ServiceName& name, Service* service,
             const policy::ScalingTarget& target);
  void TakeResult(const ServiceName& name, const policy::ScalingTarget& target,
                  const policy::ScalingDecision& decision, DutyResult result);
  void Log(EventId id, const ServiceName& name,
           const policy::ScalingTarget& target,
           const policy::ScalingDecision& decision);

  ScalingDeskHooks hooks_;
  DutyCalls& calls_;
  std::optional<RoutingDeclaration> declaration_;
  ConfigVersion seen_version_;
  std::map<ServiceName, Service> services_;
  Counters counters_;
  TimePoint now_;
  bool led_ = false;
  /// Calls that end after the desk has gone find it expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rattanward::control
