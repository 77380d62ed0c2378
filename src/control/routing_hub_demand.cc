#include <algorithm>
#include <map>

#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

/// Sums over the entries, for one service.
struct Sum {
  policy::ServiceDemand demand;
  /// Rates of reading that the entries saw.
  std::vector<std::uint64_t> read_rates;
};

void Add(const policy::ServiceDemand& told, Sum* sum) {
  sum->demand.service = told.service;
  sum->demand.running += told.running;
  sum->demand.waiting += told.waiting;
  sum->demand.prompt_tokens_per_s += told.prompt_tokens_per_s;
  sum->demand.reserved_tokens += told.reserved_tokens;
  if (told.read_tokens_per_s > 0) {
    sum->read_rates.push_back(told.read_tokens_per_s);
  }
}

/// The median, since a few entries may have used the fastest engines only.
std::uint64_t Median(std::vector<std::uint64_t> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::vector<policy::ServiceDemand> RoutingHub::Demand() const {
  const TimePoint alive_since =
      adapter::MonotonicNow() - options_.entry_timeout;
  std::map<ServiceName, Sum> sums;
  for (const auto& [process, entry] : entries_) {
    if (entry.last_report_at < alive_since) {
      continue;
    }
    for (const policy::ServiceDemand& told : entry.demand) {
      Add(told, &sums[told.service]);
    }
  }
  std::vector<policy::ServiceDemand> demands;
  for (auto& [service, sum] : sums) {
    sum.demand.read_tokens_per_s = Median(std::move(sum.read_rates));
    demands.push_back(sum.demand);
  }
  return demands;
}

}  // namespace rattanward::control
