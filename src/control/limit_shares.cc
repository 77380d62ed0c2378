#include "rattanward/control/limit_shares.h"

namespace rattanward::control {
namespace {

/// Entries come and go less often than they ask for their shares.
constexpr Duration kAssignPeriod{std::chrono::milliseconds(300)};

}  // namespace

bool LimitShares::IsDue(TimePoint now) const {
  return !assigned_ || now - assigned_at_ >= kAssignPeriod;
}

void LimitShares::Assign(const std::vector<UpstreamLimit>& limits,
                         const std::vector<ProcessId>& entries, TimePoint now) {
  assigned_ = true;
  assigned_at_ = now;
  shares_.clear();
  for (const UpstreamLimit& named : limits) {
    if (!named.limit.limited) {
      continue;
    }
    const std::vector<ProcessId> holders =
        policy::ChooseLimitHolders(named.id, named.limit.rate, entries);
    for (const ProcessId& holder : holders) {
      shares_[holder].push_back(
          {named.id, named.born, static_cast<std::uint32_t>(holders.size())});
    }
  }
}

std::vector<policy::LimitShare> LimitShares::Of(const ProcessId& entry) const {
  const auto found = shares_.find(entry);
  return found == shares_.end() ? std::vector<policy::LimitShare>()
                                : found->second;
}

}  // namespace rattanward::control
