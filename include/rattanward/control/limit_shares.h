#pragma once

#include <map>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/named_limit.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/limit_share.h"

namespace rattanward::control {

/// @brief Shares of the entries in the limits that upstreams named.
/// @note Pure: the time is a parameter. Leaders that know the same entries and
/// limits assign the same shares.
class LimitShares {
 public:
  /// @brief The shares have to be assigned anew, since a limit has changed.
  void Invalidate() { assigned_ = false; }

  /// @brief Whether Assign() is due.
  bool IsDue(TimePoint now) const;

  /// @brief Assigns the shares.
  /// @param limits All limits known.
  /// @param entries The live entries.
  void Assign(const std::vector<UpstreamLimit>& limits,
              const std::vector<ProcessId>& entries, TimePoint now);

  /// @brief Shares of an entry.
  std::vector<policy::LimitShare> Of(const ProcessId& entry) const;

 private:
  std::map<ProcessId, std::vector<policy::LimitShare>> shares_;
  TimePoint assigned_at_;
  bool assigned_ = false;
};

}  // namespace rattanward::control
