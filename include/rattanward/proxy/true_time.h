#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::proxy {

/// @brief Estimates true time from the wall clocks of the control VMs.
/// @note The median is taken, so that a step of the wall clock of a minority
/// has no effect. Pure decision, without a clock of its own.
class TrueTime {
 public:
  /// @brief Records the wall clock of a control VM, read between two moments.
  /// @param wall Time since the start of 1970.
  void Record(const Endpoint& control, TimePoint sent, TimePoint received,
              Duration wall) {
    const Duration round_trip = received - sent;
    const auto known = samples_.find(control);
    const bool slow = round_trip > kLongestRoundTrip;
    if (slow && known != samples_.end() &&
        received - known->second.at <= kSampleLifetime) {
      return;
    }
    const TimePoint middle = sent + round_trip / 2;
    samples_[control] = {received, wall - middle.time_since_epoch()};
    std::erase_if(samples_, [received](const auto& item) {
      return received - item.second.at > kSampleLifetime;
    });
    offset_ = Median();
  }

  bool known() const { return offset_.has_value(); }

  /// @brief Time since the start of 1970 at a moment. Requires known().
  Duration At(TimePoint moment) const {
    return moment.time_since_epoch() + *offset_;
  }

 private:
  static constexpr Duration kSampleLifetime{std::chrono::seconds(10)};
  /// The middle of a longer call says little about when the clock was read.
  static constexpr Duration kLongestRoundTrip{std::chrono::milliseconds(200)};

  struct Sample {
    TimePoint at;
    Duration offset{0};
  };

  Duration Median() const {
    std::vector<Duration> offsets;
    for (const auto& [control, sample] : samples_) {
      offsets.push_back(sample.offset);
    }
    std::sort(offsets.begin(), offsets.end());
    return offsets[(offsets.size() - 1) / 2];
  }

  std::map<Endpoint, Sample> samples_;
  /// Kept while no control VM is heard: the monotonic clock drifts little.
  std::optional<Duration> offset_;
};

}  // namespace rattanward::proxy
