#pragma once

#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief Measures, by service, the prompt tokens that an entry sends and the
/// rate at which engines read them.
/// @note Pure: the time is a parameter.
class PromptMeter {
 public:
  /// @brief Records a request that was sent to an upstream.
  /// @param tokens Prompt tokens that the upstream has to read.
  void RecordSent(const ServiceName& service, std::uint64_t tokens,
                  TimePoint now);

  /// @brief Records that an engine has read a prompt.
  /// @param tokens Tokens that it had to read.
  /// @param took Time from the send to the first event. It includes the time
  /// that the prompt waited at the engine, so the rate is a lower bound.
  void RecordRead(const ServiceName& service, std::uint64_t tokens,
                  Duration took, TimePoint now);

  /// @brief Prompt tokens sent a second: the larger of the last whole second
  /// and the present one.
  std::uint64_t TokensPerSecond(const ServiceName& service,
                                TimePoint now) const;

  /// @brief The highest rate of reading seen lately; 0 if there is none.
  std::uint64_t ReadTokensPerSecond(const ServiceName& service,
                                    TimePoint now) const;

 private:
  /// Two periods, so that a value is kept for one period at least.
  struct Periods {
    std::int64_t number = 0;
    std::uint64_t present = 0;
    std::uint64_t last = 0;

    void MoveTo(std::int64_t period);
    std::uint64_t Larger(std::int64_t period) const;
  };

  std::map<ServiceName, Periods> sent_;
  std::map<ServiceName, Periods> read_;
};

}  // namespace rattanward::policy
