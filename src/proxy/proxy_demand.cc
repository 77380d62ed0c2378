#include <map>

#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Adds a request to the demand for its service.
void AddRequest(const Exchange& exchange, policy::ServiceDemand* demand) {
  if (exchange.waiting()) {
    ++demand->waiting;
  } else if (exchange.sent_to_upstream()) {
    const policy::PlacementRequest& placement = exchange.placement();
    ++demand->running;
    demand->reserved_tokens +=
        std::uint64_t{placement.prompt_tokens} + placement.max_output_tokens;
  }
}

}  // namespace

/// Requests that another entry runs for this one count there.
std::vector<policy::ServiceDemand> Proxy::Demand() const {
  std::map<ServiceName, policy::ServiceDemand> by_service;
  for (const std::shared_ptr<Exchange>& exchange : exchanges_) {
    AddRequest(*exchange, &by_service[exchange->placement().service]);
  }
  const TimePoint now = MonotonicNow();
  std::vector<policy::ServiceDemand> demands;
  if (!table_) {
    return demands;
  }
  for (const RoutedService& service : table_->declaration().services) {
    if (!service.scaling) {
      continue;
    }
    policy::ServiceDemand demand = by_service[service.name];
    demand.service = service.name;
    demand.prompt_tokens_per_s =
        prompt_meter_.TokensPerSecond(service.name, now);
    demand.read_tokens_per_s =
        prompt_meter_.ReadTokensPerSecond(service.name, now);
    demands.push_back(demand);
  }
  return demands;
}

}  // namespace rattanward::proxy
