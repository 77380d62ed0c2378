#include "rattanward/control/scaling_desk.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanward::control {
namespace {

using policy::ScalingDecision;
using policy::ScalingTarget;

std::string KindName(bool spot) { return spot ? "spot" : "regular"; }

std::string Rounded(double value) {
  return std::to_string(std::llround(value));
}

EventId EventOf(DutyResult result) {
  switch (result) {
    case DutyResult::kAccepted:
      return EventId::kScalingOrdered;
    case DutyResult::kUnknown:
      return EventId::kScalingUnanswered;
    default:
      return EventId::kScalingRefused;
  }
}

}  // namespace

ScalingDesk::ScalingDesk(ScalingDeskHooks hooks, DutyCalls& calls)
    : hooks_(std::move(hooks)), calls_(calls) {}

void ScalingDesk::Tick(TimePoint now) {
  now_ = now;
  UpdateRouting();
  const bool leads = hooks_.leads();
  if (led_ && !leads) {
    for (auto& [name, service] : services_) {
      service.orders.Clear();
    }
  }
  led_ = leads;
  if (!declaration_ || services_.empty()) {
    return;
  }
  const std::vector<membership::InstanceRecord> records = hooks_.instances();
  const std::vector<policy::ServiceDemand> demand = hooks_.demand();
  for (const RoutedService& declared : declaration_->services) {
    if (declared.scaling) {
      Observe(declared, records, demand);
    }
  }
}

/// Keeps what is known of the services that remain.
void ScalingDesk::UpdateRouting() {
  const ledger::RoutingRecord& routing = hooks_.routing();
  if (routing.version == seen_version_) {
    return;
  }
  seen_version_ = routing.version;
  auto decoded = hooks_.decode_routing(routing.text);
  if (!decoded) {
    // Committed by a process that allows more; the former terms stay in force.
    ++counters_.routes_not_decoded;
    hooks_.events({EventId::kRoutesNotTaken,
                   {{"routes", std::to_string(routing.version.value)},
                    {"reason", decoded.error().message}}});
    return;
  }
  declaration_ = std::move(decoded.value());
  std::map<ServiceName, Service> services;
  for (const RoutedService& declared : declaration_->services) {
    if (declared.scaling) {
      services[declared.name] = std::move(services_[declared.name]);
    }
  }
  services_ = std::move(services);
}

void ScalingDesk::Observe(
    const RoutedService& declared,
    const std::vector<membership::InstanceRecord>& records,
    const std::vector<policy::ServiceDemand>& demand) {
  Service& service = services_[declared.name];
  service.orders.Count(declared, records, now_);
  const auto found = std::find_if(demand.begin(), demand.end(),
                                  [&](const policy::ServiceDemand& candidate) {
                                    return candidate.service == declared.name;
                                  });
  policy::UpstreamCapacity capacity = service.orders.capacity();
  double need = 0;
  if (found != demand.end()) {
    capacity.read_tokens_per_s = found->read_tokens_per_s;
    need = policy::NeededUpstreams(*found, capacity);
  }
  service.plan.Observe(service.orders.Pools(now_), need, now_);
  if (led_) {
    Plan(declared, &service);
  }
}

void ScalingDesk::Plan(const RoutedService& declared, Service* service) {
  service->decision = service->plan.Decide(*declared.scaling,
                                           service->orders.Pools(now_), now_);
  LogShortage(declared.name, service);
  if (declared.scaling->dry_run) {
    LogDryRun(declared.name, service);
    return;
  }
  WantLeases(declared, *service);
  for (const ScalingTarget& target : service->decision.targets) {
    const DutySubject subject{DutyKind::kScaling, declared.name, target.domain};
    if (calls_.Holds(subject) && service->orders.MayOrder(target, now_)) {
      Order(declared.name, service, target);
    }
  }
}

void ScalingDesk::WantLeases(const RoutedService& declared,
                             const Service& service) {
  for (const policy::DomainPools& pools : service.orders.Pools(now_)) {
    const DutySubject subject{DutyKind::kScaling, declared.name, pools.domain};
    if (!calls_.Holds(subject)) {
      calls_.Want(subject);
    }
  }
}

void ScalingDesk::LogDryRun(const ServiceName& name, Service* service) {
  if (service->decision.targets == service->logged) {
    return;
  }
  service->logged = service->decision.targets;
  for (const ScalingTarget& target : service->logged) {
    ++counters_.dry;
    Log(EventId::kScalingPlanned, name, target, service->decision);
  }
}

void ScalingDesk::LogShortage(const ServiceName& name, Service* service) {
  const bool is_short = service->decision.is_short();
  if (is_short && !service->was_short) {
    hooks_.events({EventId::kScalingShort,
                   {{"service", name.str()},
                    {"need", Rounded(service->decision.need)},
                    {"planned", std::to_string(service->decision.planned)}}});
  }
  service->was_short = is_short;
}

void ScalingDesk::Order(const ServiceName& name, Service* service,
                        const ScalingTarget& target) {
  const std::uint32_t count = service->orders.Begin(target);
  calls_.Order({name, target.domain, count, target.spot},
               [this, name, target, decision = service->decision,
                alive = std::weak_ptr<bool>(alive_)](DutyResult result) {
                 if (!alive.expired()) {
                   TakeResult(name, target, decision, result);
                 }
               });
}

void ScalingDesk::TakeResult(const ServiceName& name,
                             const ScalingTarget& target,
                             const ScalingDecision& decision,
                             DutyResult result) {
  const auto service = services_.find(name);
  if (service != services_.end()) {
    service->second.orders.End(target, result, now_);
  }
  switch (result) {
    case DutyResult::kAccepted:
      ++counters_.accepted;
      break;
    case DutyResult::kConflict:
      ++counters_.conflicts;
      break;
    case DutyResult::kUnknown:
      ++counters_.unknown;
      break;
    case DutyResult::kThrottled:
      ++counters_.throttled;
      return;
    case DutyResult::kNotHeld:
      ++counters_.not_held;
      return;
  }
  Log(EventOf(result), name, target, decision);
}

void ScalingDesk::Log(EventId id, const ServiceName& name,
                      const ScalingTarget& target,
                      const ScalingDecision& decision) {
  hooks_.events({id,
                 {{"service", name.str()},
                  {"domain", target.domain.str()},
                  {"kind", KindName(target.spot)},
                  {"count", std::to_string(target.count)},
                  {"from", std::to_string(target.from)},
                  {"reason", std::string(policy::ToString(target.reason))},
                  {"need", Rounded(decision.need)},
                  {"wanted", std::to_string(decision.wanted)},
                  {"present", std::to_string(decision.present)}}});
}

std::string ScalingDesk::ScrapeText() const {
  std::string text;
  const auto add = [&](const std::string& name, std::uint64_t value) {
    text += "rattanward_control_scaling_" + name + ' ' + std::to_string(value) +
            '\n';
  };
  add("orders_accepted_total", counters_.accepted);
  add("orders_refused_total", counters_.conflicts);
  add("orders_throttled_total", counters_.throttled);
  add("orders_unanswered_total", counters_.unknown);
  add("orders_not_held_total", counters_.not_held);
  add("orders_dry_total", counters_.dry);
  add("routes_not_decoded_total", counters_.routes_not_decoded);
  for (const auto& [name, service] : services_) {
    const std::string label = "{service=\"" + name.str() + "\"}";
    const ScalingDecision& decision = service.decision;
    add("need" + label, static_cast<std::uint64_t>(std::ceil(decision.need)));
    add("need_peak" + label,
        static_cast<std::uint64_t>(std::ceil(decision.peak)));
    add("need_mean" + label,
        static_cast<std::uint64_t>(std::ceil(decision.mean)));
    add("wanted" + label, decision.wanted);
    add("present" + label, decision.present);
    add("planned" + label, decision.planned);
    add("short" + label, decision.is_short() ? 1 : 0);
  }
  return text;
}

}  // namespace rattanward::control
