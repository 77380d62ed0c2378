#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief Quantiles of recent latencies and output lengths, by class and
/// target.
/// @note The output length of an answer is unknown until it ends. Estimates
/// are therefore based on recent answers of the same class and target, or on
/// the values declared by the class while there are none.
class LatencyEstimator {
 public:
  /// @brief Records the time from the start of an attempt to its first token.
  void RecordFirstToken(const RequestClassName& request_class,
                        const Target& target, Duration wait, TimePoint now);

  /// @brief Records a complete answer.
  /// @param streaming Time from the first token to the end of the answer.
  void RecordCompletion(const RequestClassName& request_class,
                        const Target& target, std::uint32_t output_tokens,
                        Duration streaming, TimePoint now);

  /// @brief Estimates the time from the start of an attempt to its first token.
  /// @param permille Quantile in thousandths, 0 to 1000.
  /// @return Zero while there are no samples, so that no request is refused
  /// without evidence.
  Duration FirstTokenWait(const RequestClassName& request_class,
                          const Target& target, std::uint32_t permille,
                          TimePoint now) const;

  /// @brief Estimates the output length, in tokens.
  /// @param permille Quantile in thousandths, 0 to 1000.
  std::uint32_t OutputTokens(const RequestClass& request_class,
                             const Target& target, std::uint32_t permille,
                             TimePoint now) const;

  /// @brief Estimates how long an attempt occupies its slot, from start to end.
  /// @param permille Quantile in thousandths, 0 to 1000.
  Duration ServiceTime(const RequestClass& request_class, const Target& target,
                       std::uint32_t permille, TimePoint now) const;

 private:
  struct Windows {
    QuantileWindow first_token_us;
    QuantileWindow output_tokens;
    QuantileWindow token_us;
  };
  using Key = std::pair<RequestClassName, Target>;

  const Windows* Find(const RequestClassName& request_class,
                      const Target& target) const;

  std::map<Key, Windows> windows_;
};

}  // namespace rattanward::policy
